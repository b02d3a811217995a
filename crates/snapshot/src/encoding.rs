//! The encoding of what is stored: the version of the form, then the content. With each change of
//! the form [`SCHEMA`] grows, and the form before is still read.

use crate::Micros;
use crate::previous_encoding;
use crate::snapshot::{Changes, Processes, Snapshot};
use crate::validation::{Implausible, check_plausible};
use load_balancer_record_store::{Change, Store, StoreError};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The version of the form that is written.
pub const SCHEMA: u16 = 2;

/// Rooms of the store, one for each thing; it lies under number 0.
const LIST: &str = "list";
const PROCESSES: &str = "processes";
const CONFIGURATION: &str = "configuration";
const LIFE: &str = "life";
const ROOMS: [&str; 4] = [LIST, PROCESSES, CONFIGURATION, LIFE];

/// Why what is kept was not read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// It is in a form that this program does not know: likely a newer one's.
    #[error("it is in form {0}, this program reads up to {SCHEMA}")]
    Schema(u16),
    /// It has not the form that it says.
    #[error("its {0} has no such form")]
    Form(&'static str),
    /// The disk could not be read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// It cannot have been written in good order.
    #[error(transparent)]
    Implausible(#[from] Implausible),
}

/// Reads all that is kept.
///
/// # Errors
/// A part of it cannot be read: then none is to be believed.
pub(crate) fn read(store: &Store) -> Result<Snapshot, ReadError> {
    Ok(Snapshot {
        list: part(store, LIST)?,
        processes: processes(store)?,
        configuration: part(store, CONFIGURATION)?,
        incarnation_record: part(store, LIFE)?,
    })
}

/// Reads all that is kept, and checks that it can have been written in good order.
///
/// # Errors
/// A part of it cannot be read, or is implausible at this time: then none is to be believed.
pub(crate) fn read_plausible(store: &Store, now: Micros) -> Result<Snapshot, ReadError> {
    let known = read(store)?;
    check_plausible(&known, now)?;
    Ok(known)
}

/// The form of a part, and its bytes.
fn stored(store: &Store, room: &'static str) -> Result<Option<(u16, Vec<u8>)>, ReadError> {
    let Some(mut bytes) = store.get(room, 0)? else {
        return Ok(None);
    };
    let schema = bytes.first_chunk().copied().ok_or(ReadError::Form(room))?;
    Ok(Some((
        u16::from_le_bytes(schema),
        bytes.split_off(schema.len()),
    )))
}

/// A part that has not changed since the form before.
fn part<T: DeserializeOwned>(store: &Store, room: &'static str) -> Result<Option<T>, ReadError> {
    match stored(store, room)? {
        None => Ok(None),
        Some((SCHEMA | previous_encoding::SCHEMA, bytes)) => {
            whole(&bytes).ok_or(ReadError::Form(room)).map(Some)
        }
        Some((other, _)) => Err(ReadError::Schema(other)),
    }
}

fn processes(store: &Store) -> Result<Option<Processes>, ReadError> {
    let form = ReadError::Form(PROCESSES);
    match stored(store, PROCESSES)? {
        None => Ok(None),
        Some((SCHEMA, bytes)) => whole(&bytes).ok_or(form).map(Some),
        Some((previous_encoding::SCHEMA, bytes)) => whole::<previous_encoding::Processes>(&bytes)
            .ok_or(form)
            .map(|before| Some(before.into())),
        Some((other, _)) => Err(ReadError::Schema(other)),
    }
}

/// What these bytes are, all of them.
fn whole<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::take_from_bytes(bytes)
        .ok()
        .filter(|(_, rest)| rest.is_empty())
        .map(|(it, _)| it)
}

fn written<T: Serialize>(it: &T) -> Option<Vec<u8>> {
    postcard::to_extend(it, SCHEMA.to_le_bytes().to_vec()).ok()
}

/// Writes changes in one commit; how many bytes of payload they were.
///
/// # Errors
/// The disk does not take them.
pub(crate) fn write(store: &Store, changes: &Changes) -> Result<u64, StoreError> {
    let parts = [
        changes.list.as_ref().and_then(written),
        changes.processes.as_ref().and_then(written),
        changes.configuration.as_ref().and_then(written),
        changes.incarnation_record.as_ref().and_then(written),
    ];
    let all = ROOMS.iter().zip(&parts);
    let puts: Vec<_> = all
        .filter_map(|(room, part)| part.as_deref().map(|bytes| Change::Put(room, 0, bytes)))
        .collect();
    if !puts.is_empty() {
        store.commit(&puts)?;
    }
    Ok(parts.iter().flatten().map(|part| part.len() as u64).sum())
}
