//! The files of a state directory, which one process at a time may use.

use load_balancer_record_store::{Opened, StoreError};
use std::fmt;
use std::fs::{self, File, TryLockError};
use std::path::{Path, PathBuf};

/// Who has the directory holds a lock on this file.
const LOCK: &str = "lock";

/// The files: what is lost with one leaves the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// What is known.
    Snapshot,
    /// Numbers that are never used again.
    Numbers,
}

impl FileKind {
    /// Its name in the directory.
    pub fn name(self) -> &'static str {
        match self {
            Self::Snapshot => "known",
            Self::Numbers => "numbers",
        }
    }
}

/// Another process has the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InUse(pub PathBuf);

impl fmt::Display for InUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "another process uses {}", self.0.display())
    }
}

/// Why a directory cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryError {
    /// Another process has it.
    InUse(InUse),
    /// The disk does not do what is asked.
    StoreError(StoreError),
}

impl fmt::Display for DirectoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InUse(used) => used.fmt(f),
            Self::StoreError(trouble) => trouble.fmt(f),
        }
    }
}

impl std::error::Error for DirectoryError {}

/// Where stores lie: a directory, or disks in memory in tests.
pub trait StateStorage: Send {
    /// Opens a store, setting aside what cannot be believed.
    ///
    /// # Errors
    /// The disk does not do what is asked.
    fn open(&self, file: FileKind, owner: &str) -> Result<Opened, StoreError>;

    /// Sets a store aside that nobody has open, and says where it lies now.
    ///
    /// # Errors
    /// The disk does not do what is asked.
    fn quarantine(&self, file: FileKind) -> Result<PathBuf, StoreError>;
}

/// A directory that this process has.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    /// Held as long as it is open.
    _lock: File,
}

impl Directory {
    /// Takes it, and makes it where it is missing.
    ///
    /// # Errors
    /// Another process has it, or it cannot be used.
    pub fn take(path: &Path) -> Result<Self, DirectoryError> {
        let trouble = |e: &dyn fmt::Display| {
            DirectoryError::StoreError(StoreError(format!("{}: {e}", path.display())))
        };
        fs::create_dir_all(path).map_err(|e| trouble(&e))?;
        let mut options = File::options();
        let lock = options
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK));
        let lock = lock.map_err(|e| trouble(&e))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self {
                path: path.to_owned(),
                _lock: lock,
            }),
            Err(TryLockError::WouldBlock) => Err(DirectoryError::InUse(InUse(path.to_owned()))),
            Err(TryLockError::Error(e)) => Err(trouble(&e)),
        }
    }
}

impl StateStorage for Directory {
    fn open(&self, file: FileKind, owner: &str) -> Result<Opened, StoreError> {
        load_balancer_record_store::open(&self.path.join(file.name()), owner)
    }

    fn quarantine(&self, file: FileKind) -> Result<PathBuf, StoreError> {
        load_balancer_record_store::quarantine(&self.path.join(file.name()))
    }
}
