//! Small message fragments of other crates that are disseminated along with observations: their
//! encoding, duplicate detection, and the queue of fragments to forward.

use crate::token_bucket::TokenBucket;
use crate::{Micros, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::ops::RangeInclusive;

/// Kinds of fragments for other crates. Lower kinds belong to this crate; higher ones are
/// unassigned.
pub const FRAGMENT_KINDS: RangeInclusive<u8> = 128..=191;
/// Maximum body of a broadcast fragment in bytes: two of them and observations fit into a datagram.
pub const MAX_BODY_BYTES: usize = 512;
/// Maximum body of a fragment to a single member in bytes; it has a datagram of 1,200 bytes to
/// itself.
pub const MAX_DIRECT_BODY_BYTES: usize = 1024;
/// Age from which on a fragment is neither accepted nor forwarded: all reachable members have
/// received it by then (nine sends at ten per second), so duplicates need not be remembered for
/// longer.
pub const MAX_FRAGMENT_AGE: Micros = 5 * SECOND;
/// Fragments per second that a member may broadcast or send to single members, and per burst.
const BROADCAST_RATE: f64 = 20.0;
const DIRECT_RATE: f64 = 40.0;
const BURST: f64 = 40.0;
/// Maximum number of fragments to forward. The one forwarded most often is dropped first; among
/// equals the oldest.
const MAX_QUEUED: usize = 256;
/// Number of sequence numbers below the highest that are told apart (an anti-replay window as in
/// RFC 4303, section 3.4.3): more than the 140 that a member can send within the maximum age.
const REPLAY_WINDOW: u64 = 256;
/// Maximum number of origins whose sequence numbers are remembered: those of the largest fleet.
const MAX_ORIGINS: usize = 10_240;

/// A fragment as sent, after its kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FragmentEnvelope<'a> {
    /// Hash of the name of its origin.
    pub origin: u64,
    /// Incarnation of its origin.
    pub incarnation: u64,
    /// Increases with each fragment of that incarnation, of any kind.
    pub sequence: u64,
    /// When it was created, by its origin's clock.
    #[serde(rename = "said")]
    pub created_at: Micros,
    /// Whether it is broadcast, rather than sent to one member.
    #[serde(rename = "spreads")]
    pub broadcast: bool,
    /// Its content.
    pub body: &'a [u8],
}

/// Returns the maximum body of a broadcast or direct fragment, in bytes.
pub fn max_body_bytes(broadcast: bool) -> usize {
    if broadcast {
        MAX_BODY_BYTES
    } else {
        MAX_DIRECT_BODY_BYTES
    }
}

/// Reason why a fragment is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FragmentError {
    /// Its kind is not in [`FRAGMENT_KINDS`].
    Kind,
    /// Its body exceeds [`max_body_bytes`].
    TooLong,
    /// More than 20 per second (40 to single members), or 40 per burst.
    TooMany,
    /// The recipient is not a running member.
    UnknownMember,
}

impl fmt::Display for FragmentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Kind => "not a fragment kind",
            Self::TooLong => "fragment is too long",
            Self::TooMany => "fragment rate limit exceeded",
            Self::UnknownMember => "recipient is not a running member",
        })
    }
}

impl std::error::Error for FragmentError {}

/// A fragment to forward.
#[derive(Clone, Debug)]
pub struct QueuedFragment {
    /// Its kind.
    pub kind: u8,
    /// The encoded [`FragmentEnvelope`].
    pub envelope: Vec<u8>,
    /// How many more times to forward it.
    pub remaining_sends: u8,
    created_at: Micros,
}

/// The sequence numbers received from one incarnation.
#[derive(Clone, Copy, Debug, Default)]
struct ReceivedSequence {
    highest: u64,
    /// One bit for each number of the window, indexed by the number modulo its size.
    bits: [u64; (REPLAY_WINDOW / 64) as usize],
    last_received: Micros,
}

impl ReceivedSequence {
    fn bit(&mut self, number: u64) -> (&mut u64, u64) {
        let place = number % REPLAY_WINDOW;
        (&mut self.bits[(place / 64) as usize], 1 << (place % 64))
    }

    /// Records a number. Returns whether it was received for the first time.
    fn record(&mut self, number: u64) -> bool {
        if number > self.highest {
            let skipped = (number - self.highest).min(REPLAY_WINDOW);
            for n in number + 1 - skipped..=number {
                let (word, bit) = self.bit(n);
                *word &= !bit;
            }
            self.highest = number;
        } else if self.highest - number >= REPLAY_WINDOW {
            return false;
        }
        let (word, bit) = self.bit(number);
        let new = *word & bit == 0;
        *word |= bit;
        new
    }
}

/// Result of receiving a fragment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveResult {
    /// It was not received before.
    New,
    /// It was received before, or is below the window.
    Duplicate,
    /// Too many origins are remembered.
    Full,
}

/// The fragments of one member.
#[derive(Clone, Debug)]
pub struct FragmentCarrier {
    broadcast_tokens: TokenBucket,
    direct_tokens: TokenBucket,
    sequence: u64,
    received: HashMap<(u64, u64), ReceivedSequence>,
    next_expiry: Micros,
    queue: VecDeque<QueuedFragment>,
}

impl FragmentCarrier {
    /// Creates an empty queue.
    pub fn new(now: Micros) -> Self {
        Self {
            broadcast_tokens: TokenBucket::new(now, BURST),
            direct_tokens: TokenBucket::new(now, BURST),
            sequence: 0,
            received: HashMap::new(),
            next_expiry: now,
            queue: VecDeque::new(),
        }
    }

    /// Returns the sequence number of the next fragment of this member.
    ///
    /// # Errors
    /// Returns the reason why no fragment may be sent.
    pub fn next_sequence(
        &mut self,
        now: Micros,
        kind: u8,
        length: usize,
        broadcast: bool,
    ) -> Result<u64, FragmentError> {
        if !FRAGMENT_KINDS.contains(&kind) {
            return Err(FragmentError::Kind);
        }
        if length > max_body_bytes(broadcast) {
            return Err(FragmentError::TooLong);
        }
        let (tokens, rate) = if broadcast {
            (&mut self.broadcast_tokens, BROADCAST_RATE)
        } else {
            (&mut self.direct_tokens, DIRECT_RATE)
        };
        if !tokens.take(now, rate, BURST) {
            return Err(FragmentError::TooMany);
        }
        self.sequence += 1;
        Ok(self.sequence)
    }

    /// Returns the sequence number of this member's departure.
    pub fn final_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns the highest sequence number used by this member.
    pub fn last_sequence(&self) -> u64 {
        self.sequence
    }

    /// Records a fragment received within its maximum age.
    pub fn record_received(
        &mut self,
        now: Micros,
        envelope: &FragmentEnvelope<'_>,
    ) -> ReceiveResult {
        let sender = (envelope.origin, envelope.incarnation);
        if !self.received.contains_key(&sender) && self.received.len() >= MAX_ORIGINS {
            return ReceiveResult::Full;
        }
        let sequence = self.received.entry(sender).or_default();
        sequence.last_received = now;
        if sequence.record(envelope.sequence) {
            ReceiveResult::New
        } else {
            ReceiveResult::Duplicate
        }
    }

    /// Queues a fragment for forwarding. Returns false if another one was dropped for it.
    pub fn enqueue(&mut self, kind: u8, envelope: Vec<u8>, created_at: Micros, sends: u8) -> bool {
        let has_capacity = self.queue.len() < MAX_QUEUED;
        if !has_capacity {
            let most_sent = self
                .queue
                .iter()
                .enumerate()
                .min_by_key(|(i, w)| (w.remaining_sends, *i))
                .map(|(i, _)| i);
            most_sent.and_then(|i| self.queue.remove(i));
        }
        self.queue.push_back(QueuedFragment {
            kind,
            envelope,
            remaining_sends: sends,
            created_at,
        });
        has_capacity
    }

    /// Removes expired fragments and sequence numbers; clocks may differ by up to `skew`.
    pub fn expire(&mut self, now: Micros, skew: Micros) {
        self.queue
            .retain(|w| w.remaining_sends > 0 && now - w.created_at < MAX_FRAGMENT_AGE);
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now + MAX_FRAGMENT_AGE;
        self.received
            .retain(|_, sequence| now - sequence.last_received < MAX_FRAGMENT_AGE + 2 * skew);
    }

    /// Returns the queued fragments, the least forwarded first.
    pub fn queued(&mut self) -> impl Iterator<Item = &mut QueuedFragment> {
        self.queue
            .make_contiguous()
            .sort_by_key(|w| std::cmp::Reverse(w.remaining_sends));
        self.queue.iter_mut().filter(|w| w.remaining_sends > 0)
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
