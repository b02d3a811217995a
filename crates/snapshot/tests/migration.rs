//! Files of other versions.
//!
//! `files/known-form-1.sectors` was written by the version before: 512 bytes of the file each,
//! behind the number of their place as four bytes; all others are zero.

mod common;
use common::*;
use load_balancer_record_store::disk::{Disk, SECTOR};
use load_balancer_record_store::{Change, Store};
use load_balancer_snapshot::*;

const LENGTH: usize = 73_728;

/// The disk of the version before, as it was recorded.
fn before() -> Disk {
    let mut bytes = vec![0; LENGTH];
    for record in include_bytes!("files/known-form-1.sectors").chunks_exact(4 + SECTOR) {
        let (storage, sector) = record.split_first_chunk().expect("four bytes");
        let at = u32::from_le_bytes(*storage) as usize * SECTOR;
        bytes[at..at + SECTOR].copy_from_slice(sector);
    }
    Disk::holding(bytes)
}

fn held(found: &Snapshot) -> Changes {
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
fn the_form_before_is_read_as_if_it_were_this_one() {
    let disks = Disks::default();
    disks.put(FileKind::Snapshot, before());
    let (snapshot_store, found) = SnapshotStore::begin(&disks, OWNER, NOW).expect("begins");
    assert!(found.quarantined.is_empty(), "{:?}", found.quarantined);
    assert_eq!(held(&found.known), changes(10, NOW));
    // What is kept from now on is in the new form, part by part.
    snapshot_store
        .commit(&Changes {
            processes: changes(10, NOW).processes,
            ..Changes::default()
        })
        .expect("kept");
    drop(snapshot_store);
    let (_, again) = SnapshotStore::begin(&disks, OWNER, NOW).expect("begins");
    assert_eq!(held(&again.known), changes(10, NOW));
}

#[test]
fn power_may_go_at_any_write_of_a_migration() {
    let mut random = fastrand::Rng::with_seed(5);
    for writes in 0..60 {
        let disks = Disks::default();
        // Its numbers were there; a file that was never whole may be quarantined.
        drop(SnapshotStore::begin(&disks, OWNER, NOW - SECOND).expect("begins"));
        disks.put(FileKind::Snapshot, before());
        disks.fail_after(writes);
        if let Ok((snapshot_store, _)) = SnapshotStore::begin(&disks, OWNER, NOW) {
            let _ = snapshot_store.commit(&changes(10, NOW + SECOND));
        }
        disks.crash(&mut random);
        let (_, found) = SnapshotStore::begin(&disks, OWNER, NOW + SECOND).expect("begins");
        let known = held(&found.known);
        let (list, quarantined) = (known.list.as_ref().map(|l| l.index), &found.quarantined);
        assert!(
            known == changes(10, NOW) || known == changes(10, NOW + SECOND),
            "after {writes}: {list:?} {quarantined:?}"
        );
        assert_eq!(disks.quarantined(), 0);
    }
}

#[test]
fn a_newer_form_is_set_aside_as_it_is() {
    let disks = Disks::default();
    drop(SnapshotStore::begin(&disks, OWNER, NOW).expect("begins"));
    let store = Store::on(disks.disk(FileKind::Snapshot), OWNER).expect("whole");
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
        found.quarantined[0].why.contains("form 3"),
        "{:?}",
        found.quarantined
    );
    snapshot_store.commit(&changes(3, NOW)).expect("serves on");
}
