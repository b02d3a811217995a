//! Reads a snapshot directory without modifying it: each file is copied into memory and read there.

use crate::Micros;
use crate::directory::FileKind;
use crate::encoding::{ReadError, read_plausible};
use crate::snapshot::Snapshot;
use crate::snapshot_store::last_incarnation;
use load_balancer_record_store::disk::Disk;
use load_balancer_record_store::{Corruption, OpenError, Store, StoreError};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A file that is being written may be copied inconsistently, so it is copied up to this many
/// times, at this interval.
const MAX_COPIES: usize = 10;
const COPY_INTERVAL: Duration = Duration::from_millis(20);

/// The contents of a directory.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Contents {
    /// Its owner: cluster and name.
    pub owner: Option<String>,
    /// The highest incarnation that was issued.
    pub incarnation: Option<u64>,
    /// The stored state.
    pub known: Snapshot,
    /// Why a start would reject files.
    pub problems: Vec<String>,
}

/// Why a file of a snapshot directory can't be read.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {error}", path = path.display())]
struct UnreadableFile {
    path: PathBuf,
    error: CopyError,
}

/// Why a copy of a file can't be read.
#[derive(Debug, thiserror::Error)]
enum CopyError {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error("it is empty")]
    Empty,
    #[error(transparent)]
    Open(#[from] OpenError),
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    Read(#[from] ReadError),
}

impl CopyError {
    /// Whether the contents are at fault, and not the access to them.
    fn is_of_content(&self) -> bool {
        !matches!(self, Self::Io(_))
    }
}

/// Reads the directory of a running sidecar, or a copy of one.
pub fn read_directory(directory: &Path, now: Micros) -> Contents {
    let mut contents = Contents::default();
    let known = read_copy(directory, FileKind::Snapshot, |store| {
        read_plausible(store, now).map_err(CopyError::from)
    });
    let numbers = read_copy(directory, FileKind::Numbers, |store| {
        last_incarnation(store).map_err(CopyError::from)
    });
    match known {
        Ok((owner, known)) => (contents.owner, contents.known) = (Some(owner), known),
        Err(why) => contents.problems.push(why.to_string()),
    }
    match numbers {
        Ok((owner, last)) => {
            if contents.owner.as_ref().is_some_and(|other| *other != owner) {
                contents.problems.push(format!(
                    "{}: its owner is {owner:?}",
                    FileKind::Numbers.name()
                ));
            }
            contents.owner.get_or_insert(owner);
            contents.incarnation = Some(last);
        }
        Err(why) => contents.problems.push(why.to_string()),
    }
    contents
}

/// Reads a copy of a file; returns the owner and the result.
fn read_copy<T>(
    directory: &Path,
    file: FileKind,
    read: impl Fn(&Store) -> Result<T, CopyError>,
) -> Result<(String, T), UnreadableFile> {
    let path = directory.join(file.name());
    let mut copies = 0;
    loop {
        let found = std::fs::read(&path)
            .map_err(CopyError::from)
            .and_then(|bytes| open_copy(&bytes))
            .and_then(|(owner, store)| read(&store).map(|it| (owner, it)));
        copies += 1;
        match found {
            Ok(found) => return Ok(found),
            // Copied while it was being written, or corrupt: another copy tells.
            Err(error) if error.is_of_content() && copies < MAX_COPIES => {
                std::thread::sleep(COPY_INTERVAL)
            }
            Err(error) => return Err(UnreadableFile { path, error }),
        }
    }
}

/// Opens the store in these bytes; returns its owner, which the error of a wrong owner reveals.
fn open_copy(bytes: &[u8]) -> Result<(String, Store), CopyError> {
    if bytes.is_empty() {
        return Err(CopyError::Empty);
    }
    let owner = match Store::open_backend(Disk::with_bytes(bytes.to_vec()), "") {
        Err(OpenError::Corruption(Corruption::Owner(owner))) => owner,
        Err(refusal) => return Err(refusal.into()),
        Ok(_) => String::new(),
    };
    let store = Store::open_backend(Disk::with_bytes(bytes.to_vec()), &owner)?;
    Ok((owner, store))
}
