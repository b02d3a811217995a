//! Effects of a failing disk on a store.
//!
//! Invariant: a commit that returned is complete after any crash; one that did not is complete or
//! absent; contents changed by anything else are never accepted.

use load_balancer_record_store::disk::Disk;
use load_balancer_record_store::{Change, Corruption, OpenError, ReservedNumbers, Store};
use std::fs;

fn payload(turn: u64, part: u64) -> Vec<u8> {
    vec![(turn * 7 + part) as u8; 40 + (turn as usize * 131 + part as usize * 977) % 3000]
}

/// Commits a turn of three records that replace those of the previous turn.
fn commit_turn(store: &Store, turn: u64) -> bool {
    let parts: Vec<Vec<u8>> = (0..3).map(|part| payload(turn, part)).collect();
    let mut changes: Vec<Change<'_>> = vec![Change::RemoveFrom("log", 0)];
    changes.extend((0..3).map(|part| Change::Put("log", part, &parts[part as usize])));
    let turn = turn.to_le_bytes();
    changes.push(Change::Put("turn", 0, &turn));
    store.commit(&changes).is_ok()
}

fn read_turn(store: &Store) -> u64 {
    let Some(bytes) = store.get("turn", 0).expect("readable") else {
        return 0;
    };
    let turn = u64::from_le_bytes(bytes.try_into().expect("a number"));
    let stored = store.collection("log").expect("readable");
    let expected: Vec<(u64, Vec<u8>)> = (0..3).map(|part| (part, payload(turn, part))).collect();
    assert!(stored == expected, "turn {turn} is half there");
    turn
}

#[test]
fn a_commit_that_returned_survives_any_crash_and_another_is_complete_or_absent() {
    let (mut crashes, mut committed_without_return, mut starts) = (0, 0, 0);
    for seed in 0..60 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut disk = Disk::new();
        let mut last_turn = 0;
        for _ in 0..8 {
            let store = match Store::open_backend(disk.clone(), "a") {
                Ok(store) => store,
                // Only a disk that crashed while the file was created may have invalid contents.
                Err(OpenError::Corruption(_)) if last_turn == 0 => {
                    disk = Disk::new();
                    continue;
                }
                Err(refusal) => panic!("seed {seed}: {refusal}"),
            };
            let found = read_turn(&store);
            assert!(
                found == last_turn || found == last_turn + 1,
                "seed {seed}: {found} after {last_turn}"
            );
            (committed_without_return, starts) = (
                committed_without_return + u64::from(found > last_turn),
                starts + 1,
            );
            last_turn = found;
            disk.fail_after(random.u64(0..60));
            while commit_turn(&store, last_turn + 1) {
                last_turn += 1;
            }
            drop(store);
            disk = disk.crash(|| random.bool());
            crashes += 1;
        }
    }
    assert!(
        crashes > 400 && committed_without_return > 0 && starts > committed_without_return,
        "{crashes} crashes, {committed_without_return} of {starts} later"
    );
}

#[test]
fn no_flipped_bit_is_accepted_or_ends_the_program() {
    let disk = Disk::new();
    let store = Store::open_backend(disk.clone(), "a").expect("new");
    (1..=5).for_each(|n| assert!(commit_turn(&store, n)));
    drop(store);
    let mut rejected = 0;
    let mut random = fastrand::Rng::with_seed(1);
    for _ in 0..600 {
        let copy = disk.crash(|| true);
        copy.flip_bit(random.u64(..));
        match Store::open_backend(copy, "a") {
            // The bit was in an unused page.
            Ok(store) => assert_eq!(read_turn(&store), 5),
            Err(OpenError::Corruption(_)) => rejected += 1,
            Err(refusal) => panic!("{refusal}"),
        }
    }
    assert!(rejected > 0);
}

#[test]
fn numbers_are_never_issued_twice_in_spite_of_crashes() {
    let mut random = fastrand::Rng::with_seed(3);
    let (mut disk, mut last) = (Disk::new(), 0);
    drop(Store::open_backend(disk.clone(), "a").expect("new"));
    for _ in 0..50 {
        let store = Store::open_backend(disk.clone(), "a").expect("whole");
        let mut numbers = ReservedNumbers::load(&store, 0, 8).expect("readable");
        disk.fail_after(random.u64(0..40));
        for _ in 0..random.usize(0..30) {
            let Ok(number) = numbers.next(&store) else {
                break;
            };
            assert!(number > last, "{number} after {last}");
            last = number;
        }
        drop(store);
        disk = disk.crash(|| random.bool());
    }
    assert!(last > 50, "{last}");
}

#[test]
fn a_corrupt_file_is_quarantined_unchanged() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("deep").join("a.store");
    let opened = load_balancer_record_store::open(&file, "a").expect("new");
    assert!(opened.quarantined.is_none() && commit_turn(&opened.store, 1));
    // Only one process at a time.
    assert!(load_balancer_record_store::open(&file, "a").is_err());
    drop(opened);
    let opened = load_balancer_record_store::open(&file, "a").expect("whole");
    assert_eq!((read_turn(&opened.store), opened.quarantined), (1, None));
    drop(opened.store);
    // Another owner's store, then a file that is not a store.
    let opened = load_balancer_record_store::open(&file, "b").expect("begins anew");
    let quarantined = opened.quarantined.expect("set aside");
    assert_eq!(quarantined.why, Corruption::Owner("a".to_owned()));
    assert_eq!(
        (read_turn(&opened.store), quarantined.file.extension()),
        (0, Some("aside-1".as_ref()))
    );
    drop(opened.store);
    fs::write(&file, b"not a store").expect("written");
    let quarantined = load_balancer_record_store::open(&file, "b")
        .expect("begins anew")
        .quarantined
        .expect("set aside");
    assert_eq!(fs::read(quarantined.file).expect("kept"), b"not a store");
    // The first one is still intact under its new name.
    let kept = load_balancer_record_store::open(&file.with_extension("store.aside-1"), "a")
        .expect("whole");
    assert_eq!((read_turn(&kept.store), kept.quarantined), (1, None));
}
