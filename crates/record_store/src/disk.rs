//! A disk in memory with the faults of real disks, for tests of code on top of record stores.
//!
//! Written data is cached until a sync makes it durable. A crash keeps any part of the data that
//! was not synced, in units of a sector and in any order: it is lost, complete or torn.

use std::io::{Error, ErrorKind};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

/// The unit that a disk writes atomically, in bytes.
pub const SECTOR_BYTES: usize = 512;

#[derive(Debug, Default)]
struct Inner {
    durable: Vec<u8>,
    cache: Vec<u8>,
    /// Number of writes until the disk accepts no more; unlimited if `None`.
    writes_left: Option<u64>,
    writes: u64,
    fault: Option<DiskFault>,
    blocks_syncs: bool,
}

/// A class of operations that fail with an input/output error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// Reads.
    Reads,
    /// Writes, and changes of the file's length.
    Writes,
    /// Syncs.
    Syncs,
}

/// A handle to the disk; clones refer to the same disk.
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

    /// A disk with these contents.
    #[must_use]
    pub fn with_bytes(bytes: Vec<u8>) -> Self {
        let inner = Inner {
            cache: bytes.clone(),
            durable: bytes,
            ..Inner::default()
        };
        Self(Arc::new((Mutex::new(inner), Condvar::new())))
    }

    /// The contents after a sync.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        self.inner().cache.clone()
    }

    /// Makes a class of operations fail from now on; `None` repairs the disk.
    pub fn set_fault(&self, fault: Option<DiskFault>) {
        self.inner().fault = fault;
    }

    /// Blocks or unblocks syncs.
    pub fn block_syncs(&self, blocked: bool) {
        self.inner().blocks_syncs = blocked;
        self.0.1.notify_all();
    }

    fn check_fault(inner: &Inner, call: DiskFault) -> Result<(), Error> {
        if inner.fault == Some(call) {
            Err(Error::other("input/output error"))
        } else {
            Ok(())
        }
    }

    /// Simulates a power loss: `is_kept` decides for each sector that was not synced whether it
    /// reached the disk, and whether the file's length is the cached or the durable one. Returns a
    /// new disk with the remaining contents; the old one accepts no more writes.
    #[must_use]
    pub fn crash(&self, mut is_kept: impl FnMut() -> bool) -> Self {
        let mut inner = self.inner();
        let length = if is_kept() {
            inner.cache.len()
        } else {
            inner.durable.len()
        };
        let mut contents = inner.durable.clone();
        contents.resize(length, 0);
        for at in (0..length.min(inner.cache.len())).step_by(SECTOR_BYTES) {
            let end = (at + SECTOR_BYTES).min(length).min(inner.cache.len());
            if contents[at..end] != inner.cache[at..end] && is_kept() {
                contents[at..end].copy_from_slice(&inner.cache[at..end]);
            }
        }
        inner.writes_left = Some(0);
        Self::with_bytes(contents)
    }

    /// Accepts that many more writes and syncs, then none, like a full or broken disk.
    pub fn fail_after(&self, writes: u64) {
        self.inner().writes_left = Some(writes);
    }

    /// Flips a bit in cache and durable data; the bit is taken modulo the length.
    pub fn flip_bit(&self, bit: u64) {
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

    /// Length of the contents after a sync, in bytes.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.inner().cache.len() as u64
    }

    /// Number of accepted writes and syncs.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.inner().writes
    }

    fn write_allowed(inner: &mut Inner) -> Result<(), Error> {
        if let Some(budget) = &mut inner.writes_left {
            *budget = budget
                .checked_sub(1)
                .ok_or_else(|| Error::from(ErrorKind::StorageFull))?;
        }
        inner.writes += 1;
        Ok(())
    }
}

fn byte_range(offset: u64, length: usize) -> Result<std::ops::Range<usize>, Error> {
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
        Self::check_fault(&inner, DiskFault::Reads)?;
        let range = byte_range(offset, out.len())?;
        let found = inner
            .cache
            .get(range)
            .ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))?;
        out.copy_from_slice(found);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        let mut inner = self.inner();
        Self::check_fault(&inner, DiskFault::Writes)?;
        Self::write_allowed(&mut inner)?;
        let length = byte_range(len, 0)?.start;
        inner.cache.resize(length, 0);
        Ok(())
    }

    fn sync_data(&self) -> Result<(), Error> {
        let mut inner = self.inner();
        while inner.blocks_syncs {
            inner = self.0.1.wait(inner).unwrap_or_else(PoisonError::into_inner);
        }
        Self::check_fault(&inner, DiskFault::Syncs)?;
        Self::write_allowed(&mut inner)?;
        inner.durable = inner.cache.clone();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        let mut inner = self.inner();
        Self::check_fault(&inner, DiskFault::Writes)?;
        Self::write_allowed(&mut inner)?;
        let range = byte_range(offset, data.len())?;
        let target = inner
            .cache
            .get_mut(range)
            .ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))?;
        target.copy_from_slice(data);
        Ok(())
    }
}
