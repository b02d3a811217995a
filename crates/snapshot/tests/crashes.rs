//! Effects of a power loss on the stored state.
//!
//! Invariants: committed state is found complete, or in one of the states that were being
//! committed; no incarnation is issued twice, whatever the clock does; a start never fails.

mod common;
use common::*;
use load_balancer_snapshot::*;

/// Runs incarnations in a row, each of which loses power at some write, possibly during the start.
/// Returns how many started.
fn run_history(seed: u64, incarnations: u32) -> u32 {
    let mut random = fastrand::Rng::with_seed(seed);
    let (mut now, mut last, mut begun) = (NOW, 0, 0);
    let disks = Disks::default();
    let (mut stored, mut attempted): (Option<Changes>, Vec<Changes>) = (None, Vec::new());
    for _ in 0..incarnations {
        // The clock advances, or jumps by a day in either direction.
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
            let matches = |changes: &Changes| {
                found.known.processes == changes.processes
                    && found.known.list == changes.list
                    && found.known.configuration == changes.configuration
            };
            let is_empty = found.known == empty;
            let known = stored.iter().chain(&attempted).any(matches);
            // There may be nothing if power was lost before the first commit, or if the clock was
            // set back.
            let future = stored.iter().chain(&attempted).any(|c| {
                c.list
                    .as_ref()
                    .is_some_and(|l| l.seen > now + MAX_CLOCK_SKEW_US)
            });
            assert!(
                known || (is_empty && (stored.is_none() || future)),
                "{:?}",
                found.known.list
            );
            if is_empty {
                (stored, attempted) = (None, Vec::new());
            } else {
                stored = stored
                    .take()
                    .into_iter()
                    .chain(attempted.drain(..))
                    .find(|c| matches(c));
            }
            for commit in 0..random.usize(0..4) {
                let changes = changes(3 + commit * 4, now + commit as Micros);
                if snapshot_store.commit(&changes).is_err() {
                    attempted.push(changes);
                    break;
                }
                (stored, attempted) = (Some(changes), Vec::new());
            }
        }
        drop(begins);
        disks.crash(&mut random);
    }
    begun
}

/// Some hundred crashes; the environment variable `CRASHES` sets another number.
#[test]
fn committed_state_survives_any_crash_and_no_incarnation_is_issued_twice() {
    let crashes: u64 = std::env::var("CRASHES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(400);
    let begun: u32 = (0..crashes.div_ceil(20))
        .map(|seed| run_history(seed, 20))
        .sum();
    assert!(
        u64::from(begun) > crashes / 3,
        "{begun} of {crashes} lives began"
    );
}

#[test]
fn a_thousand_restarts_keep_the_state_and_the_files_do_not_grow() {
    let disks = Disks::default();
    let (mut length, mut last) = (0, 0);
    for restart in 0..1000 {
        let now = NOW + restart * SECOND;
        let (snapshot_store, found) = SnapshotStore::begin(&disks, OWNER, now).expect("begins");
        assert!(found.incarnation > last && found.quarantined.is_empty());
        assert_eq!(found.known.list.is_some(), restart > 0);
        last = found.incarnation;
        snapshot_store.commit(&changes(50, now)).expect("kept");
        if restart == 20 {
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
fn a_clock_set_back_by_a_day_loses_the_state_but_reuses_no_incarnation() {
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
        found.quarantined[0].reason.contains("future"),
        "{:?}",
        found.quarantined
    );
    drop(snapshot_store);
}
