//! Reads a state directory without touching it: each file is copied into memory and read there.

use crate::Micros;
use crate::directory::FileKind;
use crate::encoding::{ReadError, read_plausible};
use crate::snapshot::Snapshot;
use crate::snapshot_store::last_incarnation;
use load_balancer_record_store::disk::Disk;
use load_balancer_record_store::{Corruption, OpenError, Store, StoreError};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A file that is being written may be copied half old, half new: it is copied so often in all, so
/// long apart.
const COPIES: usize = 10;
const APART: Duration = Duration::from_millis(20);

/// What a directory holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Contents {
    /// Whose it is, cluster and name.
    pub owner: Option<String>,
    /// The highest incarnation that was given.
    pub incarnation: Option<u64>,
    /// What is kept.
    pub known: Snapshot,
    /// What a start would not believe, file by file.
    pub problems: Vec<String>,
}

/// Why a file of a state directory cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {error}", path = path.display())]
struct Unread {
    path: PathBuf,
    error: CopyError,
}

/// Why a copy of a file cannot be read.
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
    /// Whether the bytes are at fault, and not the access to them.
    fn is_of_content(&self) -> bool {
        !matches!(self, Self::Io(_))
    }
}

/// Reads a directory, of a sidecar that runs or a copied one.
pub fn contents(directory: &Path, now: Micros) -> Contents {
    let mut contents = Contents::default();
    let known = copied(directory, FileKind::Snapshot, |store| {
        read_plausible(store, now).map_err(CopyError::from)
    });
    let numbers = copied(directory, FileKind::Numbers, |store| {
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

/// What is read of a copy of a file, and whose it is.
fn copied<T>(
    directory: &Path,
    file: FileKind,
    read: impl Fn(&Store) -> Result<T, CopyError>,
) -> Result<(String, T), Unread> {
    let path = directory.join(file.name());
    let mut copies = 0;
    loop {
        let found = std::fs::read(&path)
            .map_err(CopyError::from)
            .and_then(|bytes| opened(&bytes))
            .and_then(|(owner, store)| read(&store).map(|it| (owner, it)));
        copies += 1;
        match found {
            Ok(found) => return Ok(found),
            // Copied while it was written, or unreadable: a further copy tells.
            Err(error) if error.is_of_content() && copies < COPIES => std::thread::sleep(APART),
            Err(error) => return Err(Unread { path, error }),
        }
    }
}

/// The store in these bytes, and whose it is: the record that is refused to nobody says so.
fn opened(bytes: &[u8]) -> Result<(String, Store), CopyError> {
    if bytes.is_empty() {
        return Err(CopyError::Empty);
    }
    let owner = match Store::on(Disk::holding(bytes.to_vec()), "") {
        Err(OpenError::Corruption(Corruption::Owner(owner))) => owner,
        Err(refusal) => return Err(refusal.into()),
        Ok(_) => String::new(),
    };
    let store = Store::on(Disk::holding(bytes.to_vec()), &owner)?;
    Ok((owner, store))
}
