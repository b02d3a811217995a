//! Opens a store in a file, and quarantines a file that cannot be believed.

use crate::record::Broken;
use crate::store::{Refusal, Store, Trouble};
use std::fs::{self, File};
use std::path::{Path, PathBuf};

/// Most files that are set aside beside each other: a disk that breaks everything must not be filled with it.
const MOST_ASIDE: u32 = 100;

/// A file that was not believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Aside {
    /// Where it lies now, unchanged.
    pub file: PathBuf,
    /// Why.
    pub why: Broken,
}

/// What opening a file came to.
#[derive(Debug)]
pub struct Opened {
    /// The store; a new one where there was none, or none to believe.
    pub store: Store,
    /// What was there and was set aside.
    pub aside: Option<Aside>,
}

/// Opens `file` for `owner`, in a directory that is made where it is missing. A file that cannot be believed goes
/// aside as `FILE.aside-N`, with the first N that is free, and a new one takes its place.
///
/// # Errors
/// The directory or the file cannot be used, another process has the file open, or too much was set aside already.
pub fn open(file: &Path, owner: &str) -> Result<Opened, Trouble> {
    let said = |what: Trouble| Trouble(format!("{}: {what}", file.display()));
    let directory = file
        .parent()
        .filter(|d| !d.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    fs::create_dir_all(directory).map_err(|e| said(Trouble::of(e)))?;
    let why = match Store::at(file, owner) {
        Ok(store) => return Ok(Opened { store, aside: None }),
        Err(Refusal::Trouble(trouble)) => return Err(said(trouble)),
        Err(Refusal::Broken(why)) => why,
    };
    let aside = set_aside(file).map_err(|trouble| Trouble(format!("{trouble}, after: {why}")))?;
    match Store::at(file, owner) {
        Ok(store) => Ok(Opened {
            store,
            aside: Some(Aside { file: aside, why }),
        }),
        Err(refusal) => Err(said(Trouble::of(refusal))),
    }
}

/// Sets aside the store in `file`, which nobody may have open: it lies as `FILE.aside-N` then, with the first N that is
/// free, and where that is comes back.
///
/// # Errors
/// It cannot be renamed, or too much was set aside already.
pub fn set_aside(file: &Path) -> Result<PathBuf, Trouble> {
    let said = |what: &dyn std::fmt::Display| Trouble(format!("{}: {what}", file.display()));
    let name = |n: u32| {
        let mut name = file.as_os_str().to_owned();
        name.push(format!(".aside-{n}"));
        PathBuf::from(name)
    };
    let aside = (1..=MOST_ASIDE)
        .map(name)
        .find(|aside| fs::symlink_metadata(aside).is_err());
    let full = format!("{MOST_ASIDE} files set aside lie beside it: look at them");
    let aside = aside.ok_or_else(|| said(&full))?;
    fs::rename(file, &aside).map_err(|e| said(&format!("it cannot be set aside: {e}")))?;
    // The new name is on the disk before a new file takes the old one.
    let directory = file
        .parent()
        .filter(|d| !d.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(directory)
        .and_then(|d| d.sync_all())
        .map_err(|e| said(&e))?;
    Ok(aside)
}
