//! Corrupt state, and disks that fail.

mod common;
use common::*;
use load_balancer_record_store::disk::{Disk, DiskFault};
use load_balancer_snapshot::*;
use std::time::Duration;

fn stored_disks(endpoints: usize) -> Disks {
    let disks = Disks::default();
    let (snapshot_store, _) = SnapshotStore::begin(&disks, OWNER, NOW).expect("begins");
    snapshot_store
        .commit(&changes(endpoints, NOW))
        .expect("kept");
    disks
}

#[test]
fn no_flipped_bit_is_partly_accepted_or_prevents_a_start() {
    let disks = stored_disks(40);
    let whole = SnapshotStore::begin(&disks, OWNER, NOW)
        .expect("begins")
        .1
        .known;
    let bytes = disks.disk(FileKind::Snapshot).bytes();
    let mut random = fastrand::Rng::with_seed(1);
    let mut quarantined = 0;
    for _ in 0..800 {
        let disk = Disk::with_bytes(bytes.clone());
        // Most of the file is empty: every second bit is in a byte that is not zero.
        let mut at = random.usize(0..bytes.len());
        if random.bool() {
            while bytes[at] == 0 {
                at = (at + 1) % bytes.len();
            }
        }
        disk.flip_bit(at as u64 * 8 + random.u64(0..8));
        disks.put(FileKind::Snapshot, disk);
        let (_, found) = SnapshotStore::begin(&disks, OWNER, NOW).expect("begins all the same");
        quarantined += found.quarantined.len();
        assert!(
            found.known == whole
                || (found.known == Snapshot::default() && found.quarantined.len() == 1)
        );
    }
    assert!(quarantined > 100, "{quarantined}");
}

#[test]
fn a_directory_of_another_member_is_quarantined_with_its_numbers() {
    let disks = stored_disks(5);
    let (_, found) = SnapshotStore::begin(&disks, "linenproxy/n2", NOW + SECOND).expect("begins");
    assert_eq!(
        (found.known, found.quarantined.len(), disks.quarantined()),
        (Snapshot::default(), 2, 2)
    );
    assert_eq!(found.incarnation, (NOW + SECOND).unsigned_abs());
}

#[test]
fn implausible_state_is_rejected_and_stale_state_has_no_effect() {
    let valid_snapshot = || {
        let changes = changes(10, NOW);
        Snapshot {
            list: changes.list,
            processes: changes.processes,
            configuration: None,
            incarnation_record: None,
        }
    };
    assert_eq!(check_plausible(&valid_snapshot(), NOW), Ok(()));
    let invalid_changes: [fn(&mut Snapshot); 6] = [
        |k| k.list.as_mut().expect("there").seen = NOW + MAX_CLOCK_SKEW_US + 1,
        |k| k.processes.as_mut().expect("there").all[3].seen = NOW + MAX_CLOCK_SKEW_US + 1,
        |k| k.processes.as_mut().expect("there").listed = 9,
        |k| k.processes.as_mut().expect("there").all[0].slow = f64::NAN,
        |k| k.list.as_mut().expect("there").entries[1].name = "s-0".to_owned(),
        |k| k.list.as_mut().expect("there").entries[1].weight = f64::INFINITY,
    ];
    for (n, change) in invalid_changes.iter().enumerate() {
        let mut known = valid_snapshot();
        change(&mut known);
        assert!(check_plausible(&known, NOW).is_err(), "{n}");
    }
    let validated_after = |age: Micros| validate(valid_snapshot(), NOW + age, BOUNDS);
    let young = validated_after(BOUNDS.processes - SECOND - 1);
    assert!(young.list.is_some() && young.processes.len() == 10 && young.omitted.is_empty());
    let old = validated_after(BOUNDS.processes);
    assert!(old.list.is_some() && old.processes.is_empty() && old.omitted.len() == 1);
    let older = validated_after(BOUNDS.list);
    assert!(older.list.is_none() && older.processes.is_empty() && older.omitted.len() == 2);
    // If most endpoints had open circuits, this sidecar was probably partitioned.
    let mut partitioned = valid_snapshot();
    partitioned
        .processes
        .as_mut()
        .expect("there")
        .all
        .iter_mut()
        .take(6)
        .for_each(|p| p.open = true);
    let valid = validate(partitioned, NOW, BOUNDS);
    assert!(valid.processes.iter().all(|p| !p.open) && valid.omitted.len() == 1);
}

/// Starts a writer that retries at once after a failure.
fn writer(disks: &Disks) -> (Writer, StartResult) {
    let storage = disks.clone();
    Writer::start(
        move || Ok(storage.clone()),
        OWNER.to_owned(),
        || NOW,
        Duration::from_secs(20),
        Duration::ZERO,
    )
}

/// Waits until the writer has come that far, within a time that only a broken test exceeds.
fn wait_until(writer: &Writer, holds: impl Fn(Counts) -> bool) -> Counts {
    for _ in 0..2000 {
        if holds(writer.counts()) {
            break;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let counts = writer.counts();
    assert!(holds(counts), "{counts:?}");
    counts
}

#[test]
fn a_commit_never_waits_for_a_blocked_disk() {
    let disks = Disks::default();
    let (writer, begun) = writer(&disks);
    assert!(matches!(begun, StartResult::Found(_)), "{begun:?}");
    disks.disk(FileKind::Snapshot).block_syncs(true);
    for turn in 0..500 {
        writer.commit(changes(20, NOW + turn));
    }
    writer.commit_last(changes(20, NOW + 500));
    // All commits returned while the first one still blocks.
    assert_eq!(writer.counts().commits, 0);
    disks.disk(FileKind::Snapshot).block_syncs(false);
    let counts = wait_until(&writer, |c| c.commits > 0 && c.commits + c.coalesced >= 501);
    assert!(counts.commits <= 3 && !counts.failing, "{counts:?}");
    wait_until(&writer, |_| {
        SnapshotStore::begin(&disks, OWNER, NOW).is_ok_and(|(_, f)| {
            f.known
                .list
                .is_some_and(|l| l.index == (NOW + 500).unsigned_abs())
        })
    });
}

#[test]
fn a_failing_disk_causes_one_log_line_and_the_state_is_stored_once_it_works() {
    for fault in [DiskFault::Reads, DiskFault::Writes, DiskFault::Syncs] {
        let disks = Disks::default();
        let (writer, _) = writer(&disks);
        disks.disk(FileKind::Snapshot).set_fault(Some(fault));
        for turn in 0..3 {
            writer.commit(changes(20, NOW + turn));
        }
        if fault == DiskFault::Reads {
            // Everything is in memory, so nothing is read.
            writer.commit(Changes::default());
        } else {
            wait_until(&writer, |c| c.failing && c.failures > 1);
            assert_eq!(writer.take_log_lines().len(), 1, "{fault:?}");
        }
        disks.disk(FileKind::Snapshot).set_fault(None);
        writer.commit(changes(20, NOW + 9));
        wait_until(&writer, |c| c.commits > 0 && !c.failing);
        if fault != DiskFault::Reads {
            assert_eq!(
                writer.take_log_lines(),
                ["what is known is kept again"],
                "{fault:?}"
            );
        }
    }
}

#[test]
fn a_start_on_a_failing_disk_continues_without_state() {
    for fault in [DiskFault::Reads, DiskFault::Writes, DiskFault::Syncs] {
        let disks = stored_disks(5);
        disks.disk(FileKind::Numbers).set_fault(Some(fault));
        let (writer, begun) = writer(&disks);
        assert!(matches!(begun, StartResult::Unavailable), "{fault:?}");
        assert!(
            writer.counts().failing && writer.take_log_lines().len() == 1,
            "{fault:?}"
        );
    }
}

#[test]
fn a_directory_belongs_to_one_process_and_is_not_changed_if_unusable() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("deep/n1");
    let taken = Directory::lock(&path).expect("taken");
    assert_eq!(
        Directory::lock(&path).err(),
        Some(DirectoryError::InUse(InUse(path.clone())))
    );
    let (snapshot_store, _) = SnapshotStore::begin(&taken, OWNER, NOW).expect("begins");
    snapshot_store.commit(&changes(5, NOW)).expect("kept");
    drop((snapshot_store, taken));
    let taken = Directory::lock(&path).expect("free again");
    let (_, found) = SnapshotStore::begin(&taken, OWNER, NOW).expect("begins");
    assert_eq!(
        (
            found.known.list.map(|l| l.entries.len()),
            found.quarantined.len()
        ),
        (Some(5), 0)
    );
    // A file instead of the directory.
    std::fs::write(directory.path().join("file"), b"").expect("written");
    assert!(matches!(
        Directory::lock(&directory.path().join("file")),
        Err(DirectoryError::StoreError(_))
    ));
}
