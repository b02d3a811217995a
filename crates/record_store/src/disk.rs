//! A disk in memory that fails as disks do, for tests of what is built on record stores.
//!
//! What is written is in the cache; a sync makes it durable. A crash keeps, of what was not synced,
//! any part in units of a sector, in any order: lost, whole or torn.

use std::io::{Error, ErrorKind};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

/// What a disk writes whole or not at all, in bytes.
pub const SECTOR: usize = 512;

#[derive(Debug, Default)]
struct Inner {
    durable: Vec<u8>,
    cache: Vec<u8>,
    /// Writes to go until the disk takes no more; none counts while it is `None`.
    budget: Option<u64>,
    writes: u64,
    broken: Option<DiskFault>,
    held: bool,
}

/// What a disk does no more: each such call is answered with an input/output error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// Reading.
    Reads,
    /// Writing, and changing the file's length.
    Writes,
    /// Syncing.
    Syncs,
}

/// A handle to the disk; clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<(Mutex<Inner>, Condvar)>);

impl Disk {
    /// An empty disk.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// One that holds these bytes.
    #[must_use]
    pub fn holding(bytes: Vec<u8>) -> Self {
        let inner = Inner {
            cache: bytes.clone(),
            durable: bytes,
            ..Inner::default()
        };
        Self(Arc::new((Mutex::new(inner), Condvar::new())))
    }

    /// What would be there after a sync.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        self.inner().cache.clone()
    }

    /// From now on it no longer does this; `None` mends it.
    pub fn break_down(&self, what: Option<DiskFault>) {
        self.inner().broken = what;
    }

    /// While it is held, a sync does not come back.
    pub fn hold(&self, held: bool) {
        self.inner().held = held;
        self.0.1.notify_all();
    }

    fn works(inner: &Inner, call: DiskFault) -> Result<(), Error> {
        if inner.broken == Some(call) {
            Err(Error::other("input/output error"))
        } else {
            Ok(())
        }
    }

    /// Power off and on: `keep` is asked for every sector that was not synced, whether it got to
    /// the disk. The file's length is that of the cache or the old one, as `keep` says too. A new
    /// disk with what is left comes back, so that whoever still holds the old handle can change
    /// nothing; that one takes no more writes.
    #[must_use]
    pub fn crash(&self, mut keep: impl FnMut() -> bool) -> Self {
        let mut inner = self.inner();
        let length = if keep() {
            inner.cache.len()
        } else {
            inner.durable.len()
        };
        let mut left = inner.durable.clone();
        left.resize(length, 0);
        for at in (0..length.min(inner.cache.len())).step_by(SECTOR) {
            let end = (at + SECTOR).min(length).min(inner.cache.len());
            if left[at..end] != inner.cache[at..end] && keep() {
                left[at..end].copy_from_slice(&inner.cache[at..end]);
            }
        }
        inner.budget = Some(0);
        Self::holding(left)
    }

    /// Takes `writes` more writes and syncs, then none: a full or broken disk.
    pub fn fail_after(&self, writes: u64) {
        self.inner().budget = Some(writes);
    }

    /// Flips a bit, in cache and on the disk; the bit is taken modulo the length.
    pub fn flip(&self, bit: u64) {
        let mut inner = self.inner();
        let bits = inner.cache.len() as u64 * 8;
        if let Some(bit) = bit.checked_rem(bits) {
            let (at, mask) = (usize::try_from(bit / 8).unwrap_or(0), 1 << (bit % 8));
            inner.cache[at] ^= mask;
            if let Some(byte) = inner.durable.get_mut(at) {
                *byte ^= mask;
            }
        }
    }

    /// Bytes that would be there after a sync.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.inner().cache.len() as u64
    }

    /// Writes and syncs that were taken.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.inner().writes
    }

    fn write_allowed(inner: &mut Inner) -> Result<(), Error> {
        if let Some(budget) = &mut inner.budget {
            *budget = budget
                .checked_sub(1)
                .ok_or_else(|| Error::from(ErrorKind::StorageFull))?;
        }
        inner.writes += 1;
        Ok(())
    }
}

fn place(offset: u64, length: usize) -> Result<std::ops::Range<usize>, Error> {
    let start = usize::try_from(offset).map_err(|_| Error::from(ErrorKind::InvalidInput))?;
    Ok(start
        ..start
            .checked_add(length)
            .ok_or_else(|| Error::from(ErrorKind::InvalidInput))?)
}

impl redb::StorageBackend for Disk {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.length())
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let inner = self.inner();
        Self::works(&inner, DiskFault::Reads)?;
        let range = place(offset, out.len())?;
        let found = inner
            .cache
            .get(range)
            .ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))?;
        out.copy_from_slice(found);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        let mut inner = self.inner();
        Self::works(&inner, DiskFault::Writes)?;
        Self::write_allowed(&mut inner)?;
        let length = place(len, 0)?.start;
        inner.cache.resize(length, 0);
        Ok(())
    }

    fn sync_data(&self) -> Result<(), Error> {
        let mut inner = self.inner();
        while inner.held {
            inner = self.0.1.wait(inner).unwrap_or_else(PoisonError::into_inner);
        }
        Self::works(&inner, DiskFault::Syncs)?;
        Self::write_allowed(&mut inner)?;
        inner.durable = inner.cache.clone();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        let mut inner = self.inner();
        Self::works(&inner, DiskFault::Writes)?;
        Self::write_allowed(&mut inner)?;
        let range = place(offset, data.len())?;
        let target = inner
            .cache
            .get_mut(range)
            .ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))?;
        target.copy_from_slice(data);
        Ok(())
    }
}
