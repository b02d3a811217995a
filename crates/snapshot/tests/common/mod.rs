//! Two disks in memory that replace a directory, and state to store.
#![allow(dead_code)]

use load_balancer_record_store::disk::Disk;
use load_balancer_record_store::{OpenError, Opened, Store, StoreError};
use load_balancer_snapshot::*;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};

pub const SECOND: Micros = 1_000_000;
pub const NOW: Micros = 1_790_000_000 * SECOND;
pub const OWNER: &str = "linenproxy/n1";
pub const BOUNDS: StalenessBounds = StalenessBounds {
    list: 600 * SECOND,
    processes: 60 * SECOND,
};

#[derive(Default)]
struct Files {
    known: Disk,
    numbers: Disk,
    quarantined: Vec<Disk>,
}

/// Storage on disks in memory; clones share them.
#[derive(Clone, Default)]
pub struct Disks(Arc<Mutex<Files>>);

impl Disks {
    fn with<T>(&self, what: impl FnOnce(&mut Files) -> T) -> T {
        what(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub fn disk(&self, file: FileKind) -> Disk {
        self.with(|files| match file {
            FileKind::Snapshot => files.known.clone(),
            FileKind::Numbers => files.numbers.clone(),
        })
    }

    pub fn put(&self, file: FileKind, disk: Disk) {
        self.with(|files| match file {
            FileKind::Snapshot => files.known = disk,
            FileKind::Numbers => files.numbers = disk,
        });
    }

    pub fn quarantined(&self) -> usize {
        self.with(|files| files.quarantined.len())
    }

    /// Makes both disks fail after that many more writes and syncs.
    pub fn fail_after(&self, writes: u64) {
        self.disk(FileKind::Snapshot).fail_after(writes);
        self.disk(FileKind::Numbers).fail_after(writes);
    }

    /// Simulates a power loss.
    pub fn crash(&self, random: &mut fastrand::Rng) {
        for file in [FileKind::Snapshot, FileKind::Numbers] {
            let left = self.disk(file).crash(|| random.bool());
            self.put(file, left);
        }
    }
}

impl StateStorage for Disks {
    fn open(&self, file: FileKind, owner: &str) -> Result<Opened, StoreError> {
        match Store::open_backend(self.disk(file), owner) {
            Ok(store) => Ok(Opened {
                store,
                quarantined: None,
            }),
            Err(OpenError::StoreError(trouble)) => Err(trouble),
            Err(OpenError::Corruption(why)) => {
                let quarantined = self.quarantine(file)?;
                let store = Store::open_backend(self.disk(file), owner)
                    .map_err(|e| StoreError(e.to_string()))?;
                Ok(Opened {
                    store,
                    quarantined: Some(load_balancer_record_store::Quarantined {
                        file: quarantined,
                        why,
                    }),
                })
            }
        }
    }

    fn quarantine(&self, file: FileKind) -> Result<PathBuf, StoreError> {
        let was = self.disk(file);
        self.put(file, Disk::new());
        self.with(|files| files.quarantined.push(was));
        Ok(PathBuf::from(format!(
            "{}.aside-{}",
            file.name(),
            self.quarantined()
        )))
    }
}

pub fn entry(number: usize) -> Entry {
    Entry {
        name: format!("s-{number}"),
        address: format!("10.0.0.{}:80", number % 250).parse().ok(),
        zone: Some("a".to_owned()),
        kind: None,
        group: 1,
        leaving: false,
        weight: 1.0,
        since_ms: 5,
    }
}

pub fn process(number: usize, seen: Micros, open: bool) -> Process {
    Process {
        name: format!("s-{number}"),
        started: Some(5000),
        seen,
        open,
        openings: u32::from(open),
        slow: 1.5,
        cap: 2.0,
    }
}

/// The state of a sidecar with that many endpoints, one in five of them unhealthy.
pub fn changes(endpoints: usize, now: Micros) -> Changes {
    let entries = (0..endpoints).map(entry).collect();
    let all = (0..endpoints)
        .map(|n| process(n, now - SECOND, n % 5 == 0))
        .collect();
    Changes {
        list: Some(List {
            index: now.unsigned_abs(),
            seen: now,
            entries,
        }),
        processes: Some(Processes {
            seen: now,
            listed: endpoints as u32,
            all,
        }),
        configuration: Some(format!("# {now}")),
        incarnation_record: None,
    }
}
