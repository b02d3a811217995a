//! Opens a store in a file, and quarantines a file that cannot be believed.

use crate::record::Corruption;
use crate::store::{OpenError, Store, StoreError};
use std::fs::{self, File};
use std::path::{Path, PathBuf};

/// Most files that are quarantined beside each other: a disk that breaks everything must not be
/// filled with it.
const MAX_QUARANTINED: u32 = 100;

/// A file that was not believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantined {
    /// Where it lies now, unchanged.
    pub file: PathBuf,
    /// Why.
    pub why: Corruption,
}

/// What opening a file came to.
#[derive(Debug)]
pub struct Opened {
    /// The store; a new one where there was none, or none to believe.
    pub store: Store,
    /// What was there and was quarantined.
    pub quarantined: Option<Quarantined>,
}

/// Opens `file` for `owner`, in a directory that is made where it is missing. A file that cannot be
/// believed goes aside as `FILE.quarantined-N`, with the first N that is free, and a new one takes
/// its place.
///
/// # Errors
/// The directory or the file cannot be used, another process has the file open, or too much was
/// quarantined already.
pub fn open(file: &Path, owner: &str) -> Result<Opened, StoreError> {
    let said = |what: StoreError| StoreError(format!("{}: {what}", file.display()));
    let directory = file
        .parent()
        .filter(|d| !d.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    fs::create_dir_all(directory).map_err(|e| said(StoreError::of(e)))?;
    let why = match Store::at(file, owner) {
        Ok(store) => {
            return Ok(Opened {
                store,
                quarantined: None,
            });
        }
        Err(OpenError::StoreError(trouble)) => return Err(said(trouble)),
        Err(OpenError::Corruption(why)) => why,
    };
    let quarantined =
        quarantine(file).map_err(|trouble| StoreError(format!("{trouble}, after: {why}")))?;
    match Store::at(file, owner) {
        Ok(store) => Ok(Opened {
            store,
            quarantined: Some(Quarantined {
                file: quarantined,
                why,
            }),
        }),
        Err(refusal) => Err(said(StoreError::of(refusal))),
    }
}

/// Sets aside the store in `file`, which nobody may have open: it lies as `FILE.quarantined-N`
/// then, with the first N that is free, and where that is comes back.
///
/// # Errors
/// It cannot be renamed, or too much was quarantined already.
pub fn quarantine(file: &Path) -> Result<PathBuf, StoreError> {
    let said = |what: &dyn std::fmt::Display| StoreError(format!("{}: {what}", file.display()));
    let name = |n: u32| {
        let mut name = file.as_os_str().to_owned();
        name.push(format!(".aside-{n}"));
        PathBuf::from(name)
    };
    let quarantined = (1..=MAX_QUARANTINED)
        .map(name)
        .find(|quarantined| fs::symlink_metadata(quarantined).is_err());
    let full = format!("{MAX_QUARANTINED} files set aside lie beside it: look at them");
    let quarantined = quarantined.ok_or_else(|| said(&full))?;
    fs::rename(file, &quarantined).map_err(|e| said(&format!("it cannot be set aside: {e}")))?;
    // The new name is on the disk before a new file takes the old one.
    let directory = file
        .parent()
        .filter(|d| !d.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(directory)
        .and_then(|d| d.sync_all())
        .map_err(|e| said(&e))?;
    Ok(quarantined)
}
