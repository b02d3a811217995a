//! What goes from member to member: its form. Changes with the form alone.
//!
//! A byte for the version of the form, then a [`Piece`] by postcard.

use crate::Micros;
use crate::contact::Told as Met;
use crate::phase::Phase;
use crate::time::Slot;
use crate::word::{Process, Word};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;

/// Longest piece in bytes: what is left of a datagram of 1,200 beside heads and some evidence.
pub const LONGEST: usize = 1024;
const VERSION: u8 = 1;
/// Longest slots back from a piece's own that a word may lie: a day of slots of a millisecond.
const FARTHEST: u64 = 86_400_000;

/// Why a piece was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refused {
    /// Not of this form.
    Malformed,
    /// Of a version that cannot be read.
    Version,
    /// Sent by a clock that is off.
    Clock,
}

/// A process as it is written.
type Name = ([u8; 8], i64);
/// A phase: of whom, which epoch, whether it leaves, since which slot.
type Told = (Name, u64, bool, Slot);
/// Members that are clear of a process at an epoch.
type Report = (Name, u64, Vec<[u8; 8]>);
/// Words on one process in one epoch: the key, then twice the slots back of its end from the piece's own, plus 1 where it is held.
type Group = (Name, u64, Vec<([u8; 8], u64)>);

/// A piece.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// When it was written, by the sender's clock.
    pub stamp: Micros,
    /// The sender asks for all bindings.
    pub asks: bool,
    /// The last one of an answer.
    pub ends: bool,
    /// Its words are news, to be passed on.
    pub news: bool,
    /// Entries up to that rank were dropped somewhere: they are everywhere.
    pub floor: Option<(Slot, u64)>,
    /// Whom the sender has heard.
    pub heard: Vec<Met>,
    base: Slot,
    phases: Vec<Told>,
    reports: Vec<Report>,
    groups: Vec<Group>,
}

fn name(process: Process) -> Name {
    (process.name.to_le_bytes(), process.started)
}

fn process((name, started): Name) -> Process {
    Process { name: u64::from_le_bytes(name), started }
}

impl Piece {
    /// One written at that instant.
    pub fn at(stamp: Micros) -> Self {
        Self { stamp, ..Self::default() }
    }

    /// Adds a phase.
    pub fn phase(&mut self, of: Process, phase: Phase) {
        self.phases.push((name(of), phase.epoch, phase.leaves, phase.since.0));
    }

    /// Adds the members that are clear of a process, as many as fit.
    pub fn report(&mut self, of: Process, epoch: u64, members: impl Iterator<Item = u64>) {
        self.reports.push((name(of), epoch, Vec::new()));
        // Room for the length's second byte.
        let room = (LONGEST - 2).saturating_sub(self.bytes().len());
        if let Some((.., listed)) = self.reports.last_mut() {
            listed.extend(members.take(room / 8).map(u64::to_le_bytes));
        }
    }

    /// Adds words that end no later than that, as many as fit; gives those that did.
    pub fn news(
        &mut self,
        base: Slot,
        words: impl Iterator<Item = (u64, Process, Word)>,
    ) -> Vec<(u64, Process)> {
        (self.news, self.base) = (true, base);
        let (mut length, mut taken) = (self.bytes().len() + 4, Vec::new());
        for (key, of, word) in words {
            let back = base.saturating_sub(word.ends).max(0).cast_unsigned();
            let at = self.groups.iter().position(|(n, era, _)| *n == name(of) && *era == word.era);
            length += 8 + varint(back * 2 + 1) + if at.is_some() { 0 } else { 8 + 10 + varint(word.era) + 2 };
            if length > LONGEST {
                break;
            }
            let at = at.unwrap_or_else(|| {
                self.groups.push((name(of), word.era, Vec::new()));
                self.groups.len() - 1
            });
            self.groups[at].2.push((key.to_le_bytes(), back * 2 + u64::from(word.held)));
            taken.push((key, of));
        }
        taken
    }

    /// Pieces with these words, as few as hold them.
    pub fn words(stamp: Micros, mut words: Vec<(u64, Process, Word)>) -> Vec<Self> {
        words.sort_by_key(|(key, process, word)| (*process, word.era, *key));
        let base = words.iter().map(|(.., word)| word.ends).max().unwrap_or(0);
        let empty = || Self { base, ..Self::at(stamp) };
        let mut pieces = Vec::new();
        let (mut piece, mut length) = (empty(), empty().bytes().len() + 2);
        for (key, of, word) in words {
            let back = (base - word.ends).cast_unsigned();
            // A key, the slots back, and where it opens a group its head, each at its longest.
            let same = piece.groups.last().is_some_and(|(n, era, _)| *n == name(of) && *era == word.era);
            let cost = 8 + varint(back * 2 + 1) + if same { 0 } else { 8 + 10 + varint(word.era) + 2 };
            if length + cost > LONGEST {
                pieces.push(std::mem::replace(&mut piece, empty()));
                length = empty().bytes().len() + 2 + 8 + 10 + varint(word.era) + 2 + 10;
                piece.groups.push((name(of), word.era, Vec::new()));
            } else {
                length += cost;
                if !same {
                    piece.groups.push((name(of), word.era, Vec::new()));
                }
            }
            if let Some((.., listed)) = piece.groups.last_mut() {
                listed.push((key.to_le_bytes(), back * 2 + u64::from(word.held)));
            }
        }
        if !piece.groups.is_empty() {
            pieces.push(piece);
        }
        pieces
    }

    /// As it is sent.
    pub fn bytes(&self) -> Vec<u8> {
        // A vector takes all that is written to it.
        postcard::to_extend(self, vec![VERSION]).unwrap_or_default()
    }

    /// Reads one.
    ///
    /// # Errors
    /// Why it is to be dropped.
    pub fn read(bytes: &[u8]) -> Result<Self, Refused> {
        match bytes {
            [VERSION, rest @ ..] if bytes.len() <= LONGEST => {
                postcard::from_bytes(rest).map_err(|_| Refused::Malformed)
            }
            [VERSION, ..] | [] => Err(Refused::Malformed),
            _ => Err(Refused::Version),
        }
    }

    /// Phases in it.
    pub fn phases(&self) -> impl Iterator<Item = (Process, Phase)> {
        let phase = |epoch, leaves, since| Phase { epoch, leaves, since: Reverse(since) };
        self.phases.iter().map(move |(n, epoch, leaves, since)| (process(*n), phase(*epoch, *leaves, *since)))
    }

    /// Who is clear of what at which epoch.
    pub fn reports(&self) -> impl Iterator<Item = (Process, u64, u64)> {
        let of = |(n, epoch, members): &Report| {
            let (of, epoch) = (process(*n), *epoch);
            members.clone().into_iter().map(move |m| (of, epoch, u64::from_le_bytes(m)))
        };
        self.reports.iter().flat_map(of)
    }

    /// Words in it; those that lie too far back are passed over.
    pub fn each_word(&self) -> impl Iterator<Item = (u64, Process, Word)> {
        self.groups.iter().flat_map(move |(n, era, listed)| {
            listed.iter().filter(|(_, packed)| packed / 2 <= FARTHEST).filter_map(move |(key, packed)| {
                let ends = self.base.checked_sub((packed / 2).cast_signed())?;
                Some((u64::from_le_bytes(*key), process(*n), Word { era: *era, ends, held: packed % 2 == 1 }))
            })
        })
    }
}

/// Bytes of a number as postcard writes it.
fn varint(number: u64) -> usize {
    (64 - number.leading_zeros()).div_ceil(7).max(1) as usize
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn words_come_out_as_they_went_in_and_pieces_are_bounded(
            words in prop::collection::vec((any::<u64>(), any::<u64>(), 0..4u64, 0..5000i64, any::<bool>()), 0..200),
        ) {
            let word = |(key, n, era, last, held): &(u64, u64, u64, i64, bool)| {
                let started = 1_900_000_000_000;
                (*key, Process { name: *n % 7, started }, Word { era: *era, ends: 4_000_000_000 + last, held: *held })
            };
            let mut words: Vec<_> = words.iter().map(word).collect();
            let mut out = Vec::new();
            for piece in Piece::words(1_900_000_000_000_000, words.clone()) {
                let bytes = piece.bytes();
                prop_assert!(bytes.len() <= LONGEST, "{}", bytes.len());
                let read = Piece::read(&bytes);
                prop_assert!(read.is_ok());
                out.extend(read.iter().flat_map(|p| p.each_word().collect::<Vec<_>>()));
            }
            words.sort();
            out.sort();
            prop_assert_eq!(words, out);
        }

        #[test]
        fn nothing_that_comes_breaks_it(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
            let with = |version: u8| [&[version][..], &bytes].concat();
            for bytes in [bytes.clone(), with(VERSION)] {
                if let Ok(piece) = Piece::read(&bytes) {
                    prop_assert!(piece.each_word().count() + piece.phases().count() + piece.reports().count() <= 600);
                }
            }
        }
    }

    #[test]
    fn a_full_pulse_fits() {
        let mut piece = Piece { floor: Some((4_000_000_000, u64::MAX)), ..Piece::at(i64::MAX) };
        for i in 0..crate::phase::MOST_PHASES as u64 {
            let phase = Phase { epoch: 1000, leaves: true, since: Reverse(4_000_000_000) };
            piece.phase(Process { name: i, started: 1_900_000_000_000 }, phase);
        }
        let mut contact = crate::contact::Contact::new(0);
        contact.roster((0..100).map(|n| crate::hash(&[n])));
        let sure = contact.told(0, true);
        piece.heard = (0..crate::contact::MOST_BEACONS).flat_map(|_| sure.first().copied()).collect();
        piece.report(Process { name: 1, started: 1_900_000_000_000 }, 1000, 0..1000);
        assert!(piece.bytes().len() <= LONGEST && piece.reports().count() >= 10, "{}", piece.bytes().len());
        let word = Word { era: 0, ends: 90, held: true };
        let mut piece = Piece::at(i64::MAX);
        let told = piece.news(100, (0..1000).map(|key| (key, Process { name: key % 3, started: 5 }, word)));
        let read = Piece::read(&piece.bytes()).expect("it fits");
        assert_eq!((read.each_word().count(), told.len() > 60, read.news), (told.len(), true, true));
        assert_eq!(Piece::read(&[9, 9]), Err(Refused::Version));
    }
}
