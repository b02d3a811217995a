//! The encoding of affinity messages.
//!
//! One byte for the version of the encoding, then an [`AffinityMessage`] in postcard's format.

use crate::Micros;
use crate::contact::BeaconAge;
use crate::drain_phase::Phase;
use crate::entry::{AffinityEntry, Process};
use crate::time::Slot;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;

/// Longest message in bytes: what remains of a datagram of 1,200 bytes beside headers and some
/// observations.
pub const MAX_MESSAGE_BYTES: usize = 1024;
const VERSION: u8 = 1;
/// Most slots that an entry may expire before its message's base: a day of slots of one
/// millisecond.
const MAX_SLOTS_BACK: u64 = 86_400_000;

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageError {
    /// It can't be decoded.
    Malformed,
    /// Its version is unknown.
    Version,
    /// The sender's clock is ahead by more than the skew.
    Clock,
}

/// An encoded process: name and start.
type EncodedProcess = ([u8; 8], i64);
/// An encoded phase: process, epoch, whether it drains, first slot.
type EncodedPhase = (EncodedProcess, u64, bool, Slot);
/// The members that are clear of a process in an epoch.
type EncodedReport = (EncodedProcess, u64, Vec<[u8; 8]>);
/// The entries of one process and epoch: the key, and twice the number of slots by which the entry
/// expires before the message's base, plus 1 if it is renewed.
type EncodedEntries = (EncodedProcess, u64, Vec<([u8; 8], u64)>);

/// An affinity message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AffinityMessage {
    /// When it was written, by the sender's clock.
    pub stamp: Micros,
    /// Whether the sender requests the table.
    pub asks: bool,
    /// Whether it is the last message of an answer.
    pub ends: bool,
    /// Whether its entries are new and must be disseminated further.
    pub news: bool,
    /// The eviction floor: entries up to that rank were evicted by some member, and are by all.
    pub floor: Option<(Slot, u64)>,
    /// The ages of the beacons.
    pub heard: Vec<BeaconAge>,
    base: Slot,
    phases: Vec<EncodedPhase>,
    reports: Vec<EncodedReport>,
    groups: Vec<EncodedEntries>,
}

fn encode_process(process: Process) -> EncodedProcess {
    (process.name.to_le_bytes(), process.started)
}

fn decode_process((name, started): EncodedProcess) -> Process {
    Process {
        name: u64::from_le_bytes(name),
        started,
    }
}

impl AffinityMessage {
    /// An empty message written at that time.
    pub fn at(stamp: Micros) -> Self {
        Self {
            stamp,
            ..Self::default()
        }
    }

    /// Adds a phase.
    pub fn add_phase(&mut self, of: Process, phase: Phase) {
        self.phases.push((
            encode_process(of),
            phase.epoch,
            phase.draining,
            phase.since.0,
        ));
    }

    /// Adds as many of the members that are clear of a process as fit.
    pub fn add_report(&mut self, of: Process, epoch: u64, members: impl Iterator<Item = u64>) {
        self.reports.push((encode_process(of), epoch, Vec::new()));
        // Reserves the second byte of the length.
        let remaining_bytes = (MAX_MESSAGE_BYTES - 2).saturating_sub(self.encode().len());
        if let Some((.., listed_members)) = self.reports.last_mut() {
            listed_members.extend(members.take(remaining_bytes / 8).map(u64::to_le_bytes));
        }
    }

    /// Adds as many entries as fit, which must expire no later than `base`; returns those added.
    pub fn add_news(
        &mut self,
        base: Slot,
        entries: impl Iterator<Item = (u64, Process, AffinityEntry)>,
    ) -> Vec<(u64, Process)> {
        (self.news, self.base) = (true, base);
        let (mut length, mut added) = (self.encode().len() + 4, Vec::new());
        for (key, of, entry) in entries {
            let back = base
                .saturating_sub(entry.expires_slot)
                .max(0)
                .cast_unsigned();
            let group = self
                .groups
                .iter()
                .position(|(n, epoch, _)| *n == encode_process(of) && *epoch == entry.epoch);
            length += 8
                + varint_length(back * 2 + 1)
                + if group.is_some() {
                    0
                } else {
                    8 + 10 + varint_length(entry.epoch) + 2
                };
            if length > MAX_MESSAGE_BYTES {
                break;
            }
            let at = group.unwrap_or_else(|| {
                self.groups
                    .push((encode_process(of), entry.epoch, Vec::new()));
                self.groups.len() - 1
            });
            self.groups[at]
                .2
                .push((key.to_le_bytes(), back * 2 + u64::from(entry.renewed)));
            added.push((key, of));
        }
        added
    }

    /// The smallest number of messages that contain these entries.
    pub fn with_entries(
        stamp: Micros,
        mut entries: Vec<(u64, Process, AffinityEntry)>,
    ) -> Vec<Self> {
        entries.sort_by_key(|(key, process, entry)| (*process, entry.epoch, *key));
        let base = entries
            .iter()
            .map(|(.., entry)| entry.expires_slot)
            .max()
            .unwrap_or(0);
        let empty_message = || Self {
            base,
            ..Self::at(stamp)
        };
        let mut messages = Vec::new();
        let (mut message, mut length) = (empty_message(), empty_message().encode().len() + 2);
        for (key, of, entry) in entries {
            let back = (base - entry.expires_slot).cast_unsigned();
            // The key, the slots back and, at the start of a group, its header, each at its
            // longest.
            let same_group = message
                .groups
                .last()
                .is_some_and(|(n, epoch, _)| *n == encode_process(of) && *epoch == entry.epoch);
            let cost = 8
                + varint_length(back * 2 + 1)
                + if same_group {
                    0
                } else {
                    8 + 10 + varint_length(entry.epoch) + 2
                };
            if length + cost > MAX_MESSAGE_BYTES {
                messages.push(std::mem::replace(&mut message, empty_message()));
                length = empty_message().encode().len()
                    + 2
                    + 8
                    + 10
                    + varint_length(entry.epoch)
                    + 2
                    + 10;
                message
                    .groups
                    .push((encode_process(of), entry.epoch, Vec::new()));
            } else {
                length += cost;
                if !same_group {
                    message
                        .groups
                        .push((encode_process(of), entry.epoch, Vec::new()));
                }
            }
            if let Some((.., entries_of_group)) = message.groups.last_mut() {
                entries_of_group.push((key.to_le_bytes(), back * 2 + u64::from(entry.renewed)));
            }
        }
        if !message.groups.is_empty() {
            messages.push(message);
        }
        messages
    }

    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Writing to a vector cannot fail.
        postcard::to_extend(self, vec![VERSION]).unwrap_or_default()
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// The message must be dropped.
    pub fn read(bytes: &[u8]) -> Result<Self, MessageError> {
        match bytes {
            [VERSION, rest @ ..] if bytes.len() <= MAX_MESSAGE_BYTES => {
                postcard::from_bytes(rest).map_err(|_| MessageError::Malformed)
            }
            [VERSION, ..] | [] => Err(MessageError::Malformed),
            _ => Err(MessageError::Version),
        }
    }

    /// The phases in the message.
    pub fn phases(&self) -> impl Iterator<Item = (Process, Phase)> {
        let phase = |epoch, leaves, since| Phase {
            epoch,
            draining: leaves,
            since: Reverse(since),
        };
        self.phases.iter().map(move |(n, epoch, leaves, since)| {
            (decode_process(*n), phase(*epoch, *leaves, *since))
        })
    }

    /// The reports in the message: process, epoch and member.
    pub fn reports(&self) -> impl Iterator<Item = (Process, u64, u64)> {
        let of = |(n, epoch, members): &EncodedReport| {
            let (of, epoch) = (decode_process(*n), *epoch);
            members
                .clone()
                .into_iter()
                .map(move |m| (of, epoch, u64::from_le_bytes(m)))
        };
        self.reports.iter().flat_map(of)
    }

    /// The entries in the message, without those that expire too long before the base.
    pub fn each_entry(&self) -> impl Iterator<Item = (u64, Process, AffinityEntry)> {
        self.groups.iter().flat_map(move |(n, epoch, listed)| {
            listed
                .iter()
                .filter(|(_, packed)| packed / 2 <= MAX_SLOTS_BACK)
                .filter_map(move |(key, packed)| {
                    let ends = self.base.checked_sub((packed / 2).cast_signed())?;
                    Some((
                        u64::from_le_bytes(*key),
                        decode_process(*n),
                        AffinityEntry {
                            epoch: *epoch,
                            expires_slot: ends,
                            renewed: packed % 2 == 1,
                        },
                    ))
                })
        })
    }
}

/// Length of a number in postcard's encoding, in bytes.
fn varint_length(number: u64) -> usize {
    (64 - number.leading_zeros()).div_ceil(7).max(1) as usize
}

#[cfg(test)]
mod tests;
