//! What a failing disk does to a store, and what the store may make of it.
//!
//! The invariant: a commit that returned is whole after any crash; one that did not return is whole
//! or absent; what was changed by anybody else is never believed.

use load_balancer_record_store::disk::Disk;
use load_balancer_record_store::{Change, Corruption, OpenError, ReservedNumbers, Store};
use std::fs;

fn payload(turn: u64, part: u64) -> Vec<u8> {
    vec![(turn * 7 + part) as u8; 40 + (turn as usize * 131 + part as usize * 977) % 3000]
}

/// Commits turns of three records each, all of which replace the turn before.
fn turn(store: &Store, turn: u64) -> bool {
    let parts: Vec<Vec<u8>> = (0..3).map(|part| payload(turn, part)).collect();
    let mut changes: Vec<Change<'_>> = vec![Change::RemoveFrom("log", 0)];
    changes.extend((0..3).map(|part| Change::Put("log", part, &parts[part as usize])));
    let turn = turn.to_le_bytes();
    changes.push(Change::Put("turn", 0, &turn));
    store.commit(&changes).is_ok()
}

fn turn_of(store: &Store) -> u64 {
    let Some(bytes) = store.get("turn", 0).expect("readable") else {
        return 0;
    };
    let turn = u64::from_le_bytes(bytes.try_into().expect("a number"));
    let held = store.collection("log").expect("readable");
    let meant: Vec<(u64, Vec<u8>)> = (0..3).map(|part| (part, payload(turn, part))).collect();
    assert!(held == meant, "turn {turn} is half there");
    turn
}

#[test]
fn a_commit_that_returned_survives_any_crash_and_one_that_did_not_is_whole_or_absent() {
    let (mut crashes, mut later, mut before) = (0, 0, 0);
    for seed in 0..60 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut disk = Disk::new();
        let mut done = 0;
        for _ in 0..8 {
            let store = match Store::on(disk.clone(), "a") {
                Ok(store) => store,
                // Only a disk that died while the file was made may hold nothing to believe.
                Err(OpenError::Corruption(_)) if done == 0 => {
                    disk = Disk::new();
                    continue;
                }
                Err(refusal) => panic!("seed {seed}: {refusal}"),
            };
            let found = turn_of(&store);
            assert!(
                found == done || found == done + 1,
                "seed {seed}: {found} after {done}"
            );
            (later, before) = (later + u64::from(found > done), before + 1);
            done = found;
            disk.fail_after(random.u64(0..60));
            while turn(&store, done + 1) {
                done += 1;
            }
            drop(store);
            disk = disk.crash(|| random.bool());
            crashes += 1;
        }
    }
    assert!(
        crashes > 400 && later > 0 && before > later,
        "{crashes} crashes, {later} of {before} later"
    );
}

#[test]
fn no_flipped_bit_is_believed_and_none_ends_the_program() {
    let disk = Disk::new();
    let store = Store::on(disk.clone(), "a").expect("new");
    (1..=5).for_each(|n| assert!(turn(&store, n)));
    drop(store);
    let mut refused = 0;
    let mut random = fastrand::Rng::with_seed(1);
    for _ in 0..600 {
        let copy = disk.crash(|| true);
        copy.flip(random.u64(..));
        match Store::on(copy, "a") {
            // The bit was in a page that nothing uses.
            Ok(store) => assert_eq!(turn_of(&store), 5),
            Err(OpenError::Corruption(_)) => refused += 1,
            Err(refusal) => panic!("{refusal}"),
        }
    }
    assert!(refused > 0);
}

#[test]
fn numbers_are_never_given_twice_whatever_is_lost() {
    let mut random = fastrand::Rng::with_seed(3);
    let (mut disk, mut last) = (Disk::new(), 0);
    drop(Store::on(disk.clone(), "a").expect("new"));
    for _ in 0..50 {
        let store = Store::on(disk.clone(), "a").expect("whole");
        let mut numbers = ReservedNumbers::of(&store, 0, 8).expect("readable");
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
fn what_cannot_be_believed_is_set_aside_as_it_was() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("deep").join("a.store");
    let opened = load_balancer_record_store::open(&file, "a").expect("new");
    assert!(opened.quarantined.is_none() && turn(&opened.store, 1));
    // One process at a time.
    assert!(load_balancer_record_store::open(&file, "a").is_err());
    drop(opened);
    let opened = load_balancer_record_store::open(&file, "a").expect("whole");
    assert_eq!((turn_of(&opened.store), opened.quarantined), (1, None));
    drop(opened.store);
    // Somebody else's, then no store at all.
    let opened = load_balancer_record_store::open(&file, "b").expect("begins anew");
    let quarantined = opened.quarantined.expect("set aside");
    assert_eq!(quarantined.why, Corruption::Owner("a".to_owned()));
    assert_eq!(
        (turn_of(&opened.store), quarantined.file.extension()),
        (0, Some("aside-1".as_ref()))
    );
    drop(opened.store);
    fs::write(&file, b"not a store").expect("written");
    let quarantined = load_balancer_record_store::open(&file, "b")
        .expect("begins anew")
        .quarantined
        .expect("set aside");
    assert_eq!(fs::read(quarantined.file).expect("kept"), b"not a store");
    // The first is still whole under its new name.
    let kept = load_balancer_record_store::open(&file.with_extension("store.aside-1"), "a")
        .expect("whole");
    assert_eq!((turn_of(&kept.store), kept.quarantined), (1, None));
}
