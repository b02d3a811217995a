//! Tests of `phase.rs`.

use super::*;
use crate::section::AffinityEntriesSection;

const P: Process = Process {
    name: 1,
    started: 0,
};

fn leaves(epoch: u64, since: Slot) -> Phase {
    Phase {
        epoch,
        leaves: true,
        since: Reverse(since),
    }
}

#[test]
fn an_epoch_that_ended_stays_ended_and_the_next_one_opens() {
    let mut phases = Phases::default();
    assert!(!phases.ended(P, 0));
    assert_eq!(phases.merge(P, leaves(0, 5)), Ok(()));
    assert!(phases.ended(P, 0));
    assert_eq!(
        phases.merge(
            P,
            Phase {
                epoch: 1,
                leaves: false,
                since: Reverse(9)
            }
        ),
        Ok(())
    );
    assert!(phases.ended(P, 0) && !phases.ended(P, 1));
    assert_eq!(phases.merge(P, leaves(0, 5)), Err(EpochRefused::Past));
}

#[test]
fn keys_move_evenly_and_all_of_them_in_time() {
    let (mut phases, times) = (Phases::default(), AffinityEntriesSection::default().times());
    phases.merge(P, leaves(0, 100)).expect("there is room");
    let mut by_slot = BTreeMap::new();
    for key in 0..4096 {
        *by_slot
            .entry(phases.moves(key, P, 0, &times).expect("it leaves"))
            .or_insert(0) += 1;
    }
    assert_eq!(
        by_slot.keys().next_back(),
        Some(&(99 + times.migration_time))
    );
    phases.merge(P, leaves(17, 100)).expect("it is known");
    assert!(
        phases
            .moves(1, P, 0, &times)
            .is_some_and(|slot| slot >= 100),
        "of an epoch before"
    );
    let even = 4096 / times.migration_time;
    assert!(by_slot.values().all(|n| *n < even * 3 / 2), "{by_slot:?}");
}

#[test]
fn a_clear_needs_a_report_of_each_and_more_phases_than_fit_are_owned_to() {
    let mut phases = Phases::default();
    phases.merge(P, leaves(3, 0)).expect("there is room");
    phases.report(P, 3, 7);
    phases.report(P, 2, 8);
    assert_eq!(phases.complete(P, 3, 50, &[7, 8]), None);
    phases.report(P, 3, 8);
    assert_eq!(phases.complete(P, 3, 60, &[7, 8]), Some(60));
    assert_eq!(phases.complete(P, 3, 70, &[7, 8, 9]), Some(60));
    assert_eq!(phases.complete(P, 2, 70, &[]), None);
    for name in 2..=MAX_PHASES as u64 {
        assert!(
            phases
                .merge(Process { name, started: 0 }, leaves(0, 0))
                .is_ok()
        );
    }
    assert!(phases.whole());
    assert_eq!(
        phases.merge(
            Process {
                name: 99,
                started: 0
            },
            leaves(0, 0)
        ),
        Err(EpochRefused::TooMany)
    );
    assert!(!phases.whole());
    let times = AffinityEntriesSection::default().times();
    phases.forget(1 << 40, &times, |p| p == P);
    assert_eq!(phases.iter().map(|(p, _)| p).collect::<Vec<_>>(), [P]);
    let late = times.remembered();
    assert!(phases.takes(P, leaves(3, 0), late, &times));
    phases.forget(1 << 40, &times, |_| false);
    assert!(
        !phases.takes(P, leaves(3, 0), late, &times)
            && phases.takes(P, leaves(3, 0), late - 1, &times)
    );
    assert!(phases.whole() && phases.iter().next().is_none());
}
