//! The encoding of log entries and of the state stored with snapshots.

use super::decode_error::DecodeError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The format version that is written. A coordinator stops at a newer one, because skipping it
/// would make its state machine diverge from the others.
pub(crate) const FORMAT: u8 = 1;

/// An event with the data that the leader adds: its time, and the proposal to answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ProposedEvent {
    /// The leader's clock, in milliseconds of Unix time.
    /// The run of the coordinator that waits for the answer.
    pub at_ms: i64,
    pub run: u64,
    /// The ticket of the proposal within that run.
    pub ticket: u64,
    /// The event, in the encoding of the state machine.
    pub event: Vec<u8>,
}

/// The content of a snapshot in addition to the engine's own data.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PersistedState {
    /// Names of the members by the ids of their disks.
    /// Time of the last event, in milliseconds of Unix time.
    pub members: BTreeMap<u64, String>,
    pub at_ms: i64,
    /// The state machine, in its own encoding.
    pub machine: Vec<u8>,
}

/// A member that joins with a membership change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct NewMember {
    /// Id of its disk.
    pub id: u64,
    /// Its name.
    pub name: String,
}

/// Encodes a value after the format version.
pub(crate) fn write<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![FORMAT];
    // Serialization of plain data cannot fail.
    bytes.extend(postcard::to_stdvec(value).unwrap_or_default());
    bytes
}

/// Decodes a value.
///
/// # Errors
/// Returns an error if the version is unknown or the bytes are malformed.
pub(crate) fn read<'b, T: Deserialize<'b>>(bytes: &'b [u8]) -> Result<T, DecodeError> {
    let (value, remaining) = postcard::take_from_bytes(content(bytes, FORMAT)?)?;
    if remaining.is_empty() {
        Ok(value)
    } else {
        Err(DecodeError::TooLong)
    }
}

/// Returns the bytes after the version.
///
/// # Errors
/// Returns an error if the version is missing or unknown.
pub(crate) fn content(bytes: &[u8], known: u8) -> Result<&[u8], DecodeError> {
    match bytes.split_first() {
        Some((found, content)) if *found == known => Ok(content),
        Some((&found, _)) => Err(DecodeError::Format { found, known }),
        None => Err(DecodeError::Empty),
    }
}
