//! The encoding of the stored state: a schema version, then the content. [`SCHEMA`] increases with
//! each change; the previous schema can still be read.

use crate::Micros;
use crate::previous_encoding;
use crate::snapshot::{Changes, Processes, Snapshot};
use crate::validation::{Implausible, check_plausible};
use load_balancer_record_store::{Change, Store, StoreError};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The schema version that is written.
pub const SCHEMA: u16 = 2;

/// Collections of the store, one per part of the state, which is stored under number 0.
const LIST: &str = "list";
const PROCESSES: &str = "processes";
const CONFIGURATION: &str = "configuration";
const LIFE: &str = "life";
const COLLECTIONS: [&str; 4] = [LIST, PROCESSES, CONFIGURATION, LIFE];

/// Why the stored state can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// Its schema is unknown, probably that of a newer program.
    #[error("it is in form {0}, this program reads up to {SCHEMA}")]
    Schema(u16),
    /// A part can't be decoded.
    #[error("its {0} has no such form")]
    Form(&'static str),
    /// The disk can't be read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The state is implausible.
    #[error(transparent)]
    Implausible(#[from] Implausible),
}

/// Reads the stored state.
///
/// # Errors
/// A part can't be read; then none may be used.
pub(crate) fn read(store: &Store) -> Result<Snapshot, ReadError> {
    Ok(Snapshot {
        list: read_part(store, LIST)?,
        processes: read_processes(store)?,
        configuration: read_part(store, CONFIGURATION)?,
        incarnation_record: read_part(store, LIFE)?,
    })
}

/// Reads the stored state, and checks that it is plausible.
///
/// # Errors
/// A part can't be read or is implausible at this time; then none may be used.
pub(crate) fn read_plausible(store: &Store, now: Micros) -> Result<Snapshot, ReadError> {
    let known = read(store)?;
    check_plausible(&known, now)?;
    Ok(known)
}

/// The schema of a part, and its bytes.
fn stored_part(
    store: &Store,
    collection: &'static str,
) -> Result<Option<(u16, Vec<u8>)>, ReadError> {
    let Some(mut bytes) = store.get(collection, 0)? else {
        return Ok(None);
    };
    let schema = bytes
        .first_chunk()
        .copied()
        .ok_or(ReadError::Form(collection))?;
    Ok(Some((
        u16::from_le_bytes(schema),
        bytes.split_off(schema.len()),
    )))
}

/// Reads a part whose encoding is the same as in the previous schema.
fn read_part<T: DeserializeOwned>(
    store: &Store,
    collection: &'static str,
) -> Result<Option<T>, ReadError> {
    match stored_part(store, collection)? {
        None => Ok(None),
        Some((SCHEMA | previous_encoding::SCHEMA, bytes)) => decode_complete(&bytes)
            .ok_or(ReadError::Form(collection))
            .map(Some),
        Some((other, _)) => Err(ReadError::Schema(other)),
    }
}

fn read_processes(store: &Store) -> Result<Option<Processes>, ReadError> {
    let form = ReadError::Form(PROCESSES);
    match stored_part(store, PROCESSES)? {
        None => Ok(None),
        Some((SCHEMA, bytes)) => decode_complete(&bytes).ok_or(form).map(Some),
        Some((previous_encoding::SCHEMA, bytes)) => {
            decode_complete::<previous_encoding::Processes>(&bytes)
                .ok_or(form)
                .map(|before| Some(before.into()))
        }
        Some((other, _)) => Err(ReadError::Schema(other)),
    }
}

/// Decodes a value from all of these bytes.
fn decode_complete<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::take_from_bytes(bytes)
        .ok()
        .filter(|(_, rest)| rest.is_empty())
        .map(|(it, _)| it)
}

fn encode<T: Serialize>(it: &T) -> Option<Vec<u8>> {
    postcard::to_extend(it, SCHEMA.to_le_bytes().to_vec()).ok()
}

/// Commits changes; returns the number of bytes of payload.
///
/// # Errors
/// The disk failed.
pub(crate) fn write(store: &Store, changes: &Changes) -> Result<u64, StoreError> {
    let parts = [
        changes.list.as_ref().and_then(encode),
        changes.processes.as_ref().and_then(encode),
        changes.configuration.as_ref().and_then(encode),
        changes.incarnation_record.as_ref().and_then(encode),
    ];
    let collections = COLLECTIONS.iter().zip(&parts);
    let puts: Vec<_> = collections
        .filter_map(|(room, part)| part.as_deref().map(|bytes| Change::Put(room, 0, bytes)))
        .collect();
    if !puts.is_empty() {
        store.commit(&puts)?;
    }
    Ok(parts.iter().flatten().map(|part| part.len() as u64).sum())
}
