//! The encodings of log entries and of what is stored of the log.

use super::decode_error::DecodeError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The version of the forms that is written. A coordinator that meets a newer one stops: going on
/// without it would make its machine another one than that of the others.
pub(crate) const FORMAT: u8 = 1;

/// What the leader puts around an event: its time, and whom to answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Stamped {
    /// The leader's clock, in milliseconds of Unix time.
    pub at_ms: i64,
    /// The run of the coordinator that waits for the answer.
    pub run: u64,
    /// What that run calls the question.
    pub ticket: u64,
    /// The event, in the machine's own form.
    pub event: Vec<u8>,
}

/// What a snapshot holds beside the engine's own data.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PersistedState {
    /// Names by the numbers of disks.
    pub members: BTreeMap<u64, String>,
    /// Time of the last event, in milliseconds of Unix time.
    pub at_ms: i64,
    /// The machine, in its own form.
    pub machine: Vec<u8>,
}

/// Who comes in with a change of members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Newcomer {
    /// The number of its disk.
    pub id: u64,
    /// Its name.
    pub name: String,
}

/// Writes a form, with its version before it.
pub(crate) fn write<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![FORMAT];
    // Plain data always has a form.
    bytes.extend(postcard::to_stdvec(value).unwrap_or_default());
    bytes
}

/// Reads one.
///
/// # Errors
/// The version is another one, or the bytes are not of this form.
pub(crate) fn read<'b, T: Deserialize<'b>>(bytes: &'b [u8]) -> Result<T, DecodeError> {
    let (value, left) = postcard::take_from_bytes(content(bytes, FORMAT)?)?;
    if left.is_empty() {
        Ok(value)
    } else {
        Err(DecodeError::TooLong)
    }
}

/// What follows the version, where it is the known one.
///
/// # Errors
/// There is no version, or another one.
pub(crate) fn content(bytes: &[u8], known: u8) -> Result<&[u8], DecodeError> {
    match bytes.split_first() {
        Some((found, content)) if *found == known => Ok(content),
        Some((&found, _)) => Err(DecodeError::Format { found, known }),
        None => Err(DecodeError::Empty),
    }
}
