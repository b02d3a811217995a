//! State that cannot be believed, and disks that fail.

mod common;
use common::*;
use load_balancer_record_store::disk::{Disk, DiskFault};
use load_balancer_snapshot::*;
use std::time::Duration;

fn written(endpoints: usize) -> Disks {
    let disks = Disks::default();
    let (snapshot_store, _) = SnapshotStore::begin(&disks, OWNER, NOW).expect("begins");
    snapshot_store
        .commit(&changes(endpoints, NOW))
        .expect("kept");
    disks
}

#[test]
fn no_flipped_bit_is_half_believed_and_none_ends_a_start() {
    let disks = written(40);
    let whole = SnapshotStore::begin(&disks, OWNER, NOW)
        .expect("begins")
        .1
        .known;
    let bytes = disks.disk(FileKind::Snapshot).bytes();
    let mut random = fastrand::Rng::with_seed(1);
    let mut quarantined = 0;
    for _ in 0..800 {
        let disk = Disk::holding(bytes.clone());
        // Most of the file is empty: every second bit falls on a byte that says something.
        let mut at = random.usize(0..bytes.len());
        if random.bool() {
            while bytes[at] == 0 {
                at = (at + 1) % bytes.len();
            }
        }
        disk.flip(at as u64 * 8 + random.u64(0..8));
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
fn a_directory_of_another_member_is_set_aside_and_its_numbers_with_it() {
    let disks = written(5);
    let (_, found) = SnapshotStore::begin(&disks, "linenproxy/n2", NOW + SECOND).expect("begins");
    assert_eq!(
        (found.known, found.quarantined.len(), disks.quarantined()),
        (Snapshot::default(), 2, 2)
    );
    assert_eq!(found.incarnation, (NOW + SECOND).unsigned_abs());
}

#[test]
fn what_nobody_can_have_written_is_refused_and_what_is_old_has_no_effect() {
    let good = || {
        let changes = changes(10, NOW);
        Snapshot {
            list: changes.list,
            processes: changes.processes,
            configuration: None,
            incarnation_record: None,
        }
    };
    assert_eq!(check_plausible(&good(), NOW), Ok(()));
    let wrong: [fn(&mut Snapshot); 6] = [
        |k| k.list.as_mut().expect("there").seen = NOW + SKEW + 1,
        |k| k.processes.as_mut().expect("there").all[3].seen = NOW + SKEW + 1,
        |k| k.processes.as_mut().expect("there").listed = 9,
        |k| k.processes.as_mut().expect("there").all[0].slow = f64::NAN,
        |k| k.list.as_mut().expect("there").entries[1].name = "s-0".to_owned(),
        |k| k.list.as_mut().expect("there").entries[1].weight = f64::INFINITY,
    ];
    for (n, change) in wrong.iter().enumerate() {
        let mut known = good();
        change(&mut known);
        assert!(check_plausible(&known, NOW).is_err(), "{n}");
    }
    let at = |age: Micros| validate(good(), NOW + age, BOUNDS);
    let young = at(BOUNDS.processes - SECOND - 1);
    assert!(young.list.is_some() && young.processes.len() == 10 && young.left_out.is_empty());
    let old = at(BOUNDS.processes);
    assert!(old.list.is_some() && old.processes.is_empty() && old.left_out.len() == 1);
    let older = at(BOUNDS.list);
    assert!(older.list.is_none() && older.processes.is_empty() && older.left_out.len() == 2);
    // Where most listeners were closed, it was this one that stood outside.
    let mut cut = good();
    cut.processes
        .as_mut()
        .expect("there")
        .all
        .iter_mut()
        .take(6)
        .for_each(|p| p.open = true);
    let believed = validate(cut, NOW, BOUNDS);
    assert!(believed.processes.iter().all(|p| !p.open) && believed.left_out.len() == 1);
}

/// Begins a writer; again at once where the disk fails.
fn writer(disks: &Disks) -> (Writer, Begun) {
    let storage = disks.clone();
    Writer::start(
        move || Ok(storage.clone()),
        OWNER.to_owned(),
        || NOW,
        Duration::from_secs(20),
        Duration::ZERO,
    )
}

/// Waits until the writer has come so far; a bound on a broken test, not a measured result.
fn until(writer: &Writer, holds: impl Fn(Counts) -> bool) -> Counts {
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
fn whoever_hands_over_never_waits_for_a_disk_that_does_not_come_back() {
    let disks = Disks::default();
    let (writer, begun) = writer(&disks);
    assert!(matches!(begun, Begun::Found(_)), "{begun:?}");
    disks.disk(FileKind::Snapshot).hold(true);
    for turn in 0..500 {
        writer.commit(changes(20, NOW + turn));
    }
    writer.commit_last(changes(20, NOW + 500));
    // All of that came back while the first commit still hangs.
    assert_eq!(writer.counts().commits, 0);
    disks.disk(FileKind::Snapshot).hold(false);
    let counts = until(&writer, |c| c.commits > 0 && c.commits + c.coalesced >= 501);
    assert!(counts.commits <= 3 && !counts.failing, "{counts:?}");
    until(&writer, |_| {
        SnapshotStore::begin(&disks, OWNER, NOW).is_ok_and(|(_, f)| {
            f.known
                .list
                .is_some_and(|l| l.index == (NOW + 500).unsigned_abs())
        })
    });
}

#[test]
fn a_disk_that_fails_costs_one_line_and_what_is_known_is_kept_once_it_works() {
    for broken in [DiskFault::Reads, DiskFault::Writes, DiskFault::Syncs] {
        let disks = Disks::default();
        let (writer, _) = writer(&disks);
        disks.disk(FileKind::Snapshot).break_down(Some(broken));
        for turn in 0..3 {
            writer.commit(changes(20, NOW + turn));
        }
        if broken == DiskFault::Reads {
            // Who has it all in memory reads nothing.
            writer.commit(Changes::default());
        } else {
            until(&writer, |c| c.failing && c.failures > 1);
            assert_eq!(writer.lines().len(), 1, "{broken:?}");
        }
        disks.disk(FileKind::Snapshot).break_down(None);
        writer.commit(changes(20, NOW + 9));
        until(&writer, |c| c.commits > 0 && !c.failing);
        if broken != DiskFault::Reads {
            assert_eq!(
                writer.lines(),
                ["what is known is kept again"],
                "{broken:?}"
            );
        }
    }
}

#[test]
fn a_start_on_a_disk_that_fails_goes_on_without() {
    for broken in [DiskFault::Reads, DiskFault::Writes, DiskFault::Syncs] {
        let disks = written(5);
        disks.disk(FileKind::Numbers).break_down(Some(broken));
        let (writer, begun) = writer(&disks);
        assert!(matches!(begun, Begun::Without), "{broken:?}");
        assert!(
            writer.counts().failing && writer.lines().len() == 1,
            "{broken:?}"
        );
    }
}

#[test]
fn a_directory_is_one_processes_and_stays_as_it_is_where_it_cannot_be_used() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("deep/n1");
    let taken = Directory::take(&path).expect("taken");
    assert_eq!(
        Directory::take(&path).err(),
        Some(DirectoryError::InUse(InUse(path.clone())))
    );
    let (snapshot_store, _) = SnapshotStore::begin(&taken, OWNER, NOW).expect("begins");
    snapshot_store.commit(&changes(5, NOW)).expect("kept");
    drop((snapshot_store, taken));
    let taken = Directory::take(&path).expect("free again");
    let (_, found) = SnapshotStore::begin(&taken, OWNER, NOW).expect("begins");
    assert_eq!(
        (
            found.known.list.map(|l| l.entries.len()),
            found.quarantined.len()
        ),
        (Some(5), 0)
    );
    // A file where the directory should be.
    std::fs::write(directory.path().join("file"), b"").expect("written");
    assert!(matches!(
        Directory::take(&directory.path().join("file")),
        Err(DirectoryError::StoreError(_))
    ));
}
