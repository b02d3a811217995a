//! The files of a snapshot directory, which only one process at a time may use.

use load_balancer_record_store::{Opened, StoreError};
use std::fmt;
use std::fs::{self, File, TryLockError};
use std::path::{Path, PathBuf};

/// The process that uses the directory holds a lock on this file.
const LOCK_FILE: &str = "lock";

/// The files of a directory; the loss of one does not affect the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// The stored state.
    Snapshot,
    /// Numbers that are never reused.
    Numbers,
}

impl FileKind {
    /// The file's name in the directory.
    pub fn name(self) -> &'static str {
        match self {
            Self::Snapshot => "known",
            Self::Numbers => "numbers",
        }
    }
}

/// Another process uses the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InUse(pub PathBuf);

impl fmt::Display for InUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "another process uses {}", self.0.display())
    }
}

/// Why a directory can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryError {
    /// Another process uses it.
    InUse(InUse),
    /// The disk failed.
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

/// The location of the stores: a directory, or disks in memory in tests.
pub trait StateStorage: Send {
    /// Opens a store, and quarantines corrupt contents.
    ///
    /// # Errors
    /// The disk failed.
    fn open(&self, file: FileKind, owner: &str) -> Result<Opened, StoreError>;

    /// Quarantines a store that is not open; returns its new path.
    ///
    /// # Errors
    /// The disk failed.
    fn quarantine(&self, file: FileKind) -> Result<PathBuf, StoreError>;
}

/// A directory locked by this process.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    /// Keeps the lock while the directory is used.
    _lock: File,
}

impl Directory {
    /// Locks the directory, and creates it if necessary.
    ///
    /// # Errors
    /// Another process uses it, or it can't be used.
    pub fn lock(path: &Path) -> Result<Self, DirectoryError> {
        let store_error = |e: &dyn fmt::Display| {
            DirectoryError::StoreError(StoreError(format!("{}: {e}", path.display())))
        };
        fs::create_dir_all(path).map_err(|e| store_error(&e))?;
        let mut options = File::options();
        let lock = options
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE));
        let lock = lock.map_err(|e| store_error(&e))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self {
                path: path.to_owned(),
                _lock: lock,
            }),
            Err(TryLockError::WouldBlock) => Err(DirectoryError::InUse(InUse(path.to_owned()))),
            Err(TryLockError::Error(e)) => Err(store_error(&e)),
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
