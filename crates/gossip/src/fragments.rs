//! Small message parts of other crates that are disseminated with gossip: their encoding, who has
//! which, and what waits to be forwarded.

use crate::token_bucket::TokenBucket;
use crate::{Micros, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::ops::RangeInclusive;

/// Kinds of fragments that are carried for others. Those below are the fleet's own, those above
/// nobody's yet.
pub const CARRIED: RangeInclusive<u8> = 128..=191;
/// Longest body of such a fragment that spreads, in bytes: two and observations fit into a
/// datagram.
pub const MAX_BODY_BYTES: usize = 512;
/// Longest body of one for a single member, in bytes: it has a datagram of 1,200 for itself.
pub const MAX_DIRECT_BYTES: usize = 1024;
/// From this age on a fragment is neither taken nor forwarded: by then whoever is reached has it
/// (nine sends at ten a second), and from then on nobody need remember that it came.
pub const BOUND: Micros = 5 * SECOND;
/// Fragments that a member gives to be spread, a second, and to single members; and at once.
const RATE: f64 = 20.0;
const RATE_DIRECT: f64 = 40.0;
const BURST: f64 = 40.0;
/// Fragments that wait to be forwarded. The one that was forwarded most often makes room, of those
/// the one longest here.
const MAX_WAITING: usize = 256;
/// Numbers below an origin's highest that are told apart (an anti-replay window as in RFC 4303,
/// section 3.4.3): more than a member gives in the bound, 140.
const WINDOW: u64 = 256;
/// Incarnations of members of which numbers are remembered: all of the largest fleet.
const MAX_ORIGINS: usize = 10_240;

/// A fragment as it is written, behind its kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FragmentEnvelope<'a> {
    /// Hash of the name of who said it.
    pub origin: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// Grows with each fragment of that incarnation, of whatever kind.
    pub sequence: u64,
    /// When it was said, by its clock.
    pub said: Micros,
    /// It is to be forwarded, and not for this member alone.
    pub spreads: bool,
    /// What the kind makes of it.
    pub body: &'a [u8],
}

/// Longest body of a fragment that spreads, or of one that does not, in bytes.
pub fn longest(spreads: bool) -> usize {
    if spreads {
        MAX_BODY_BYTES
    } else {
        MAX_DIRECT_BYTES
    }
}

/// Why a fragment is not carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FragmentRefused {
    /// Its kind is not in [`CARRIED`].
    Kind,
    /// It is longer than [`longest`] says.
    TooLong,
    /// More than 20 a second (40 to single members), and 40 at once.
    TooMany,
    /// That member is not known to run.
    Nobody,
}

impl fmt::Display for FragmentRefused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Kind => "a kind that is not carried",
            Self::TooLong => "too long to be carried",
            Self::TooMany => "too many to be carried",
            Self::Nobody => "to nobody who is known to run",
        })
    }
}

impl std::error::Error for FragmentRefused {}

/// A fragment that waits to be forwarded.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Its kind.
    pub kind: u8,
    /// It as a [`FragmentEnvelope`].
    pub envelope: Vec<u8>,
    /// How often it is still to be forwarded.
    pub left: u8,
    said: Micros,
}

/// Which numbers of one incarnation came.
#[derive(Clone, Copy, Debug, Default)]
struct ReceivedSequence {
    highest: u64,
    /// A bit for each of the numbers from the highest downwards.
    bits: [u64; (WINDOW / 64) as usize],
    last: Micros,
}

impl ReceivedSequence {
    fn bit(&mut self, number: u64) -> (&mut u64, u64) {
        let place = number % WINDOW;
        (&mut self.bits[(place / 64) as usize], 1 << (place % 64))
    }

    /// Whether that number comes for the first time.
    fn is_new(&mut self, number: u64) -> bool {
        if number > self.highest {
            let skipped = (number - self.highest).min(WINDOW);
            for n in number + 1 - skipped..=number {
                let (word, bit) = self.bit(n);
                *word &= !bit;
            }
            self.highest = number;
        } else if self.highest - number >= WINDOW {
            return false;
        }
        let (word, bit) = self.bit(number);
        let new = *word & bit == 0;
        *word |= bit;
        new
    }
}

/// What came of a fragment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// It is new here.
    New,
    /// It, or many later ones, came before.
    Before,
    /// No more origins are remembered.
    Full,
}

/// All of them at one member.
#[derive(Clone, Debug)]
pub struct FragmentCarrier {
    spread: TokenBucket,
    direct: TokenBucket,
    sequence: u64,
    had: HashMap<(u64, u64), ReceivedSequence>,
    forgets_at: Micros,
    waiting: VecDeque<Waiting>,
}

impl FragmentCarrier {
    /// Nothing yet.
    pub fn new(now: Micros) -> Self {
        Self {
            spread: TokenBucket::new(now, BURST),
            direct: TokenBucket::new(now, BURST),
            sequence: 0,
            had: HashMap::new(),
            forgets_at: now,
            waiting: VecDeque::new(),
        }
    }

    /// The number of the next fragment of this member's own, where it may give one.
    ///
    /// # Errors
    /// Why it may not.
    pub fn next(
        &mut self,
        now: Micros,
        kind: u8,
        length: usize,
        spreads: bool,
    ) -> Result<u64, FragmentRefused> {
        if !CARRIED.contains(&kind) {
            return Err(FragmentRefused::Kind);
        }
        if length > longest(spreads) {
            return Err(FragmentRefused::TooLong);
        }
        let (tokens, rate) = if spreads {
            (&mut self.spread, RATE)
        } else {
            (&mut self.direct, RATE_DIRECT)
        };
        if !tokens.take(now, rate, BURST) {
            return Err(FragmentRefused::TooMany);
        }
        self.sequence += 1;
        Ok(self.sequence)
    }

    /// The number of the last fragment of this member's life.
    pub fn last(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// The highest number that this member gave.
    pub fn given(&self) -> u64 {
        self.sequence
    }

    /// A fragment of another's came, within its bound.
    pub fn came(&mut self, now: Micros, envelope: &FragmentEnvelope<'_>) -> Receipt {
        let life = (envelope.origin, envelope.incarnation);
        if !self.had.contains_key(&life) && self.had.len() >= MAX_ORIGINS {
            return Receipt::Full;
        }
        let had = self.had.entry(life).or_default();
        had.last = now;
        if had.is_new(envelope.sequence) {
            Receipt::New
        } else {
            Receipt::Before
        }
    }

    /// Passes a fragment on; false where another made room for it.
    pub fn disseminate(&mut self, kind: u8, envelope: Vec<u8>, said: Micros, sends: u8) -> bool {
        let room = self.waiting.len() < MAX_WAITING;
        if !room {
            let most_sent = self
                .waiting
                .iter()
                .enumerate()
                .min_by_key(|(i, w)| (w.left, *i))
                .map(|(i, _)| i);
            most_sent.and_then(|i| self.waiting.remove(i));
        }
        self.waiting.push_back(Waiting {
            kind,
            envelope,
            left: sends,
            said,
        });
        room
    }

    /// Forgets what is past its bound, by a clock that may be `skew` off from others.
    pub fn expire(&mut self, now: Micros, skew: Micros) {
        self.waiting.retain(|w| w.left > 0 && now - w.said < BOUND);
        if now < self.forgets_at {
            return;
        }
        self.forgets_at = now + BOUND;
        self.had.retain(|_, had| now - had.last < BOUND + 2 * skew);
    }

    /// What waits, the least often forwarded first.
    pub fn waiting(&mut self) -> impl Iterator<Item = &mut Waiting> {
        self.waiting
            .make_contiguous()
            .sort_by_key(|w| std::cmp::Reverse(w.left));
        self.waiting.iter_mut().filter(|w| w.left > 0)
    }

    /// Nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
