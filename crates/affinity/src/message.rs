//! The encoding of affinity messages.
//!
//! A byte for the version of the form, then a [`AffinityMessage`] by postcard.

use crate::Micros;
use crate::contact::BeaconAge;
use crate::drain_phase::Phase;
use crate::entry::{AffinityEntry, Process};
use crate::time::Slot;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;

/// Longest fragment in bytes: what is left of a datagram of 1,200 beside heads and some
/// observations.
pub const MAX_MESSAGE_BYTES: usize = 1024;
const VERSION: u8 = 1;
/// Longest slots back from a fragment's own that an entry may lie: a day of slots of a millisecond.
const FARTHEST: u64 = 86_400_000;

/// Why a fragment was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageRefused {
    /// Not of this form.
    Malformed,
    /// Of a version that cannot be read.
    Version,
    /// Sent by a clock that is off.
    Clock,
}

/// A process as it is written.
type EncodedProcess = ([u8; 8], i64);
/// A phase: of whom, which epoch, whether it leaves, since which slot.
type EncodedPhase = (EncodedProcess, u64, bool, Slot);
/// Members that are clear of a process at an epoch.
type EncodedReport = (EncodedProcess, u64, Vec<[u8; 8]>);
/// Entries on one process in one epoch: the key, then twice the slots back of its end from the
/// fragment's own, plus 1 where it is held.
type EncodedEntries = (EncodedProcess, u64, Vec<([u8; 8], u64)>);

/// A fragment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AffinityMessage {
    /// When it was written, by the sender's clock.
    pub stamp: Micros,
    /// The sender asks for all affinity entries.
    pub asks: bool,
    /// The last one of an answer.
    pub ends: bool,
    /// Its entries are news, to be forwarded.
    pub news: bool,
    /// Entries up to that rank were dropped somewhere: they are everywhere.
    pub floor: Option<(Slot, u64)>,
    /// Whom the sender has heard.
    pub heard: Vec<BeaconAge>,
    base: Slot,
    phases: Vec<EncodedPhase>,
    reports: Vec<EncodedReport>,
    groups: Vec<EncodedEntries>,
}

fn name(process: Process) -> EncodedProcess {
    (process.name.to_le_bytes(), process.started)
}

fn process((name, started): EncodedProcess) -> Process {
    Process {
        name: u64::from_le_bytes(name),
        started,
    }
}

impl AffinityMessage {
    /// One written at that instant.
    pub fn at(stamp: Micros) -> Self {
        Self {
            stamp,
            ..Self::default()
        }
    }

    /// Adds a phase.
    pub fn phase(&mut self, of: Process, phase: Phase) {
        self.phases
            .push((name(of), phase.epoch, phase.leaves, phase.since.0));
    }

    /// Adds the members that are clear of a process, as many as fit.
    pub fn report(&mut self, of: Process, epoch: u64, members: impl Iterator<Item = u64>) {
        self.reports.push((name(of), epoch, Vec::new()));
        // Room for the length's second byte.
        let room = (MAX_MESSAGE_BYTES - 2).saturating_sub(self.bytes().len());
        if let Some((.., listed)) = self.reports.last_mut() {
            listed.extend(members.take(room / 8).map(u64::to_le_bytes));
        }
    }

    /// Adds entries that end no later than that, as many as fit; gives those that did.
    pub fn news(
        &mut self,
        base: Slot,
        entries: impl Iterator<Item = (u64, Process, AffinityEntry)>,
    ) -> Vec<(u64, Process)> {
        (self.news, self.base) = (true, base);
        let (mut length, mut taken) = (self.bytes().len() + 4, Vec::new());
        for (key, of, entry) in entries {
            let back = base.saturating_sub(entry.ends).max(0).cast_unsigned();
            let at = self
                .groups
                .iter()
                .position(|(n, epoch, _)| *n == name(of) && *epoch == entry.epoch);
            length += 8
                + varint(back * 2 + 1)
                + if at.is_some() {
                    0
                } else {
                    8 + 10 + varint(entry.epoch) + 2
                };
            if length > MAX_MESSAGE_BYTES {
                break;
            }
            let at = at.unwrap_or_else(|| {
                self.groups.push((name(of), entry.epoch, Vec::new()));
                self.groups.len() - 1
            });
            self.groups[at]
                .2
                .push((key.to_le_bytes(), back * 2 + u64::from(entry.held)));
            taken.push((key, of));
        }
        taken
    }

    /// Fragments with these entries, as few as hold them.
    pub fn entries(stamp: Micros, mut entries: Vec<(u64, Process, AffinityEntry)>) -> Vec<Self> {
        entries.sort_by_key(|(key, process, entry)| (*process, entry.epoch, *key));
        let base = entries
            .iter()
            .map(|(.., entry)| entry.ends)
            .max()
            .unwrap_or(0);
        let empty = || Self {
            base,
            ..Self::at(stamp)
        };
        let mut pieces = Vec::new();
        let (mut message, mut length) = (empty(), empty().bytes().len() + 2);
        for (key, of, entry) in entries {
            let back = (base - entry.ends).cast_unsigned();
            // A key, the slots back, and where it opens a group its head, each at its longest.
            let same = message
                .groups
                .last()
                .is_some_and(|(n, epoch, _)| *n == name(of) && *epoch == entry.epoch);
            let cost = 8
                + varint(back * 2 + 1)
                + if same {
                    0
                } else {
                    8 + 10 + varint(entry.epoch) + 2
                };
            if length + cost > MAX_MESSAGE_BYTES {
                pieces.push(std::mem::replace(&mut message, empty()));
                length = empty().bytes().len() + 2 + 8 + 10 + varint(entry.epoch) + 2 + 10;
                message.groups.push((name(of), entry.epoch, Vec::new()));
            } else {
                length += cost;
                if !same {
                    message.groups.push((name(of), entry.epoch, Vec::new()));
                }
            }
            if let Some((.., listed)) = message.groups.last_mut() {
                listed.push((key.to_le_bytes(), back * 2 + u64::from(entry.held)));
            }
        }
        if !message.groups.is_empty() {
            pieces.push(message);
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
    pub fn read(bytes: &[u8]) -> Result<Self, MessageRefused> {
        match bytes {
            [VERSION, rest @ ..] if bytes.len() <= MAX_MESSAGE_BYTES => {
                postcard::from_bytes(rest).map_err(|_| MessageRefused::Malformed)
            }
            [VERSION, ..] | [] => Err(MessageRefused::Malformed),
            _ => Err(MessageRefused::Version),
        }
    }

    /// Phases in it.
    pub fn phases(&self) -> impl Iterator<Item = (Process, Phase)> {
        let phase = |epoch, leaves, since| Phase {
            epoch,
            leaves,
            since: Reverse(since),
        };
        self.phases
            .iter()
            .map(move |(n, epoch, leaves, since)| (process(*n), phase(*epoch, *leaves, *since)))
    }

    /// Who is clear of what at which epoch.
    pub fn reports(&self) -> impl Iterator<Item = (Process, u64, u64)> {
        let of = |(n, epoch, members): &EncodedReport| {
            let (of, epoch) = (process(*n), *epoch);
            members
                .clone()
                .into_iter()
                .map(move |m| (of, epoch, u64::from_le_bytes(m)))
        };
        self.reports.iter().flat_map(of)
    }

    /// Entries in it; those that lie too far back are passed over.
    pub fn each_entry(&self) -> impl Iterator<Item = (u64, Process, AffinityEntry)> {
        self.groups.iter().flat_map(move |(n, epoch, listed)| {
            listed
                .iter()
                .filter(|(_, packed)| packed / 2 <= FARTHEST)
                .filter_map(move |(key, packed)| {
                    let ends = self.base.checked_sub((packed / 2).cast_signed())?;
                    Some((
                        u64::from_le_bytes(*key),
                        process(*n),
                        AffinityEntry {
                            epoch: *epoch,
                            ends,
                            held: packed % 2 == 1,
                        },
                    ))
                })
        })
    }
}

/// Bytes of a number as postcard writes it.
fn varint(number: u64) -> usize {
    (64 - number.leading_zeros()).div_ceil(7).max(1) as usize
}

#[cfg(test)]
mod tests;
