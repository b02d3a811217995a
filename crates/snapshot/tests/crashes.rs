//! What a loss of power does to the stored state.
//!
//! The invariants: what was kept is found whole or in one of the states that were under way; no
//! incarnation is given twice, whatever the clock does; a start always goes on.

mod common;
use common::*;
use load_balancer_snapshot::*;

/// Lives in a row, each of which loses power at any write: also of a start, where nothing was kept
/// yet. `lives` in all; how many began.
fn histories(seed: u64, lives: u32) -> u32 {
    let mut random = fastrand::Rng::with_seed(seed);
    let (mut now, mut last, mut begun) = (NOW, 0, 0);
    let disks = Disks::default();
    let (mut kept, mut tried): (Option<Changes>, Vec<Changes>) = (None, Vec::new());
    for _ in 0..lives {
        // A clock goes on, or jumps back a day, or is put right again.
        now += match random.u32(0..10) {
            0 => -86_400 * SECOND,
            1 => 86_400 * SECOND,
            _ => random.i64(0..20 * SECOND),
        };
        disks.fail_after(random.u64(0..70));
        let begins = SnapshotStore::begin(&disks, OWNER, now);
        if let Ok((snapshot_store, found)) = &begins {
            begun += 1;
            assert!(
                found.incarnation > last,
                "{} after {last}",
                found.incarnation
            );
            last = found.incarnation;
            let empty = Snapshot::default();
            let is = |changes: &Changes| {
                found.known.processes == changes.processes
                    && found.known.list == changes.list
                    && found.known.configuration == changes.configuration
            };
            let none = found.known == empty;
            let known = kept.iter().chain(&tried).any(is);
            // Where power was lost before anything was kept, or the clock was put back, there may
            // be nothing.
            let future = kept
                .iter()
                .chain(&tried)
                .any(|c| c.list.as_ref().is_some_and(|l| l.seen > now + SKEW));
            assert!(
                known || (none && (kept.is_none() || future)),
                "{:?}",
                found.known.list
            );
            if none {
                (kept, tried) = (None, Vec::new());
            } else {
                kept = kept
                    .take()
                    .into_iter()
                    .chain(tried.drain(..))
                    .find(|c| is(c));
            }
            for turn in 0..random.usize(0..4) {
                let changes = changes(3 + turn * 4, now + turn as Micros);
                if snapshot_store.commit(&changes).is_err() {
                    tried.push(changes);
                    break;
                }
                (kept, tried) = (Some(changes), Vec::new());
            }
        }
        drop(begins);
        disks.crash(&mut random);
    }
    begun
}

/// Some hundred crashes; with `CRASHES` in the environment as many as it says.
#[test]
fn what_is_kept_survives_any_crash_and_no_incarnation_is_given_twice() {
    let wanted: u64 = std::env::var("CRASHES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(400);
    let begun: u32 = (0..wanted.div_ceil(20))
        .map(|seed| histories(seed, 20))
        .sum();
    assert!(
        u64::from(begun) > wanted / 3,
        "{begun} of {wanted} lives began"
    );
}

#[test]
fn a_thousand_restarts_keep_what_is_known_and_the_files_do_not_grow() {
    let disks = Disks::default();
    let (mut length, mut last) = (0, 0);
    for incarnation_record in 0..1000 {
        let now = NOW + incarnation_record * SECOND;
        let (snapshot_store, found) = SnapshotStore::begin(&disks, OWNER, now).expect("begins");
        assert!(found.incarnation > last && found.quarantined.is_empty());
        assert_eq!(found.known.list.is_some(), incarnation_record > 0);
        last = found.incarnation;
        snapshot_store.commit(&changes(50, now)).expect("kept");
        if incarnation_record == 20 {
            length =
                disks.disk(FileKind::Snapshot).length() + disks.disk(FileKind::Numbers).length();
        }
    }
    let after = disks.disk(FileKind::Snapshot).length() + disks.disk(FileKind::Numbers).length();
    assert!(
        after <= length,
        "{length} bytes after 20 lives, {after} after 1000"
    );
}

#[test]
fn a_clock_that_was_put_back_a_day_costs_what_was_known_and_no_number() {
    let disks = Disks::default();
    let (snapshot_store, first) = SnapshotStore::begin(&disks, OWNER, NOW).expect("begins");
    snapshot_store.commit(&changes(5, NOW)).expect("kept");
    drop(snapshot_store);
    let (snapshot_store, found) =
        SnapshotStore::begin(&disks, OWNER, NOW - 86_400 * SECOND).expect("begins");
    assert_eq!(found.known, Snapshot::default());
    assert_eq!(
        (
            found.incarnation,
            found.quarantined.len(),
            disks.quarantined()
        ),
        (first.incarnation + 1, 1, 1)
    );
    assert!(
        found.quarantined[0].why.contains("future"),
        "{:?}",
        found.quarantined
    );
    drop(snapshot_store);
}
