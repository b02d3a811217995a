//! Files of other versions.
//!
//! `files/known-form-1.sectors` was written by the previous version: sectors of 512 bytes, each
//! preceded by its number as four bytes; all other sectors are zero.

mod common;
use common::*;
use load_balancer_record_store::disk::{Disk, SECTOR_BYTES};
use load_balancer_record_store::{Change, Store};
use load_balancer_snapshot::*;

const LENGTH: usize = 73_728;

/// The recorded disk of the previous version.
fn previous_disk() -> Disk {
    let mut bytes = vec![0; LENGTH];
    for record in include_bytes!("files/known-form-1.sectors").chunks_exact(4 + SECTOR_BYTES) {
        let (storage, sector) = record.split_first_chunk().expect("four bytes");
        let at = u32::from_le_bytes(*storage) as usize * SECTOR_BYTES;
        bytes[at..at + SECTOR_BYTES].copy_from_slice(sector);
    }
    Disk::with_bytes(bytes)
}

fn as_changes(found: &Snapshot) -> Changes {
    let Snapshot {
        list,
        processes,
        configuration,
        incarnation_record,
    } = found.clone();
    Changes {
        list,
        processes,
        configuration,
        incarnation_record,
    }
}

#[test]
fn the_previous_form_is_read_like_the_current_one() {
    let disks = Disks::default();
    disks.put(FileKind::Snapshot, previous_disk());
    let (snapshot_store, found) = SnapshotStore::begin(&disks, OWNER, NOW).expect("begins");
    assert!(found.quarantined.is_empty(), "{:?}", found.quarantined);
    assert_eq!(as_changes(&found.known), changes(10, NOW));
    // Parts that are stored from now on have the new form.
    snapshot_store
        .commit(&Changes {
            processes: changes(10, NOW).processes,
            ..Changes::default()
        })
        .expect("kept");
    drop(snapshot_store);
    let (_, again) = SnapshotStore::begin(&disks, OWNER, NOW).expect("begins");
    assert_eq!(as_changes(&again.known), changes(10, NOW));
}

#[test]
fn a_migration_survives_a_power_loss_at_any_write() {
    let mut random = fastrand::Rng::with_seed(5);
    for writes in 0..60 {
        let disks = Disks::default();
        // The numbers exist; a file that was never complete may be quarantined.
        drop(SnapshotStore::begin(&disks, OWNER, NOW - SECOND).expect("begins"));
        disks.put(FileKind::Snapshot, previous_disk());
        disks.fail_after(writes);
        if let Ok((snapshot_store, _)) = SnapshotStore::begin(&disks, OWNER, NOW) {
            let _ = snapshot_store.commit(&changes(10, NOW + SECOND));
        }
        disks.crash(&mut random);
        let (_, found) = SnapshotStore::begin(&disks, OWNER, NOW + SECOND).expect("begins");
        let known = as_changes(&found.known);
        let (list, quarantined) = (known.list.as_ref().map(|l| l.index), &found.quarantined);
        assert!(
            known == changes(10, NOW) || known == changes(10, NOW + SECOND),
            "after {writes}: {list:?} {quarantined:?}"
        );
        assert_eq!(disks.quarantined(), 0);
    }
}

#[test]
fn a_newer_form_is_quarantined_unchanged() {
    let disks = Disks::default();
    drop(SnapshotStore::begin(&disks, OWNER, NOW).expect("begins"));
    let store = Store::open_backend(disks.disk(FileKind::Snapshot), OWNER).expect("whole");
    let newer = (SCHEMA + 1).to_le_bytes();
    store
        .commit(&[Change::Put("list", 0, &newer)])
        .expect("kept");
    drop(store);
    let (snapshot_store, found) = SnapshotStore::begin(&disks, OWNER, NOW).expect("begins");
    assert_eq!(
        (found.known, found.quarantined.len(), disks.quarantined()),
        (Snapshot::default(), 1, 1)
    );
    assert!(
        found.quarantined[0].reason.contains("form 3"),
        "{:?}",
        found.quarantined
    );
    snapshot_store.commit(&changes(3, NOW)).expect("serves on");
}
