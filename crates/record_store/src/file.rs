//! Opens a store in a file, and quarantines a corrupt file.

use crate::record::Corruption;
use crate::store::{OpenError, Store, StoreError};
use std::fs::{self, File};
use std::path::{Path, PathBuf};

/// Most quarantined files beside each other, so that a disk that corrupts everything is not filled
/// with them.
const MAX_QUARANTINED: u32 = 100;

/// A quarantined file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantined {
    /// Its new path; its contents are unchanged.
    pub file: PathBuf,
    /// Why it was quarantined.
    pub why: Corruption,
}

/// The result of opening a file.
#[derive(Debug)]
pub struct Opened {
    /// The store; a new one if there was none, or a corrupt one.
    pub store: Store,
    /// The corrupt file, if there was one.
    pub quarantined: Option<Quarantined>,
}

/// Opens `file` for `owner`, and creates its directory if necessary. A corrupt file is renamed to
/// `FILE.aside-N`, with the lowest free N, and replaced by a new one.
///
/// # Errors
/// The directory or the file can't be used, another process has the file open, or there are too
/// many quarantined files.
pub fn open(file: &Path, owner: &str) -> Result<Opened, StoreError> {
    let in_file = |error: StoreError| StoreError(format!("{}: {error}", file.display()));
    let directory = file
        .parent()
        .filter(|d| !d.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    fs::create_dir_all(directory).map_err(|e| in_file(StoreError::from_display(e)))?;
    let reason = match Store::open_file(file, owner) {
        Ok(store) => {
            return Ok(Opened {
                store,
                quarantined: None,
            });
        }
        Err(OpenError::StoreError(error)) => return Err(in_file(error)),
        Err(OpenError::Corruption(corruption)) => corruption,
    };
    let quarantined =
        quarantine(file).map_err(|error| StoreError(format!("{error}, after: {reason}")))?;
    match Store::open_file(file, owner) {
        Ok(store) => Ok(Opened {
            store,
            quarantined: Some(Quarantined {
                file: quarantined,
                why: reason,
            }),
        }),
        Err(error) => Err(in_file(StoreError::from_display(error))),
    }
}

/// Quarantines the store in `file`, which nobody may have open: renames it to `FILE.aside-N`, with
/// the lowest free N, and returns the new path.
///
/// # Errors
/// It can't be renamed, or there are too many quarantined files.
pub fn quarantine(file: &Path) -> Result<PathBuf, StoreError> {
    let in_file =
        |error: &dyn std::fmt::Display| StoreError(format!("{}: {error}", file.display()));
    let name = |n: u32| {
        let mut name = file.as_os_str().to_owned();
        name.push(format!(".aside-{n}"));
        PathBuf::from(name)
    };
    let quarantined = (1..=MAX_QUARANTINED)
        .map(name)
        .find(|quarantined| fs::symlink_metadata(quarantined).is_err());
    let full = format!("{MAX_QUARANTINED} files set aside lie beside it: look at them");
    let quarantined = quarantined.ok_or_else(|| in_file(&full))?;
    fs::rename(file, &quarantined).map_err(|e| in_file(&format!("it cannot be set aside: {e}")))?;
    // The new name must be durable before a new file takes the old one.
    let directory = file
        .parent()
        .filter(|d| !d.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(directory)
        .and_then(|d| d.sync_all())
        .map_err(|e| in_file(&e))?;
    Ok(quarantined)
}
