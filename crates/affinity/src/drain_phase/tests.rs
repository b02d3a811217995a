//! Tests of `drain_phase.rs`.

use super::*;
use crate::section::AffinityEntriesSection;

const P: Process = Process {
    name: 1,
    started: 0,
};

fn draining_phase(epoch: u64, since: Slot) -> Phase {
    Phase {
        epoch,
        draining: true,
        since: Reverse(since),
    }
}

#[test]
fn an_ended_epoch_stays_ended_and_the_next_one_begins() {
    let mut phases = Phases::default();
    assert!(!phases.has_ended(P, 0));
    assert_eq!(phases.merge(P, draining_phase(0, 5)), Ok(()));
    assert!(phases.has_ended(P, 0));
    assert_eq!(
        phases.merge(
            P,
            Phase {
                epoch: 1,
                draining: false,
                since: Reverse(9)
            }
        ),
        Ok(())
    );
    assert!(phases.has_ended(P, 0) && !phases.has_ended(P, 1));
    assert_eq!(
        phases.merge(P, draining_phase(0, 5)),
        Err(DrainError::EpochEnded)
    );
}

#[test]
fn keys_move_evenly_and_all_of_them_in_time() {
    let (mut phases, times) = (Phases::default(), AffinityEntriesSection::default().times());
    phases
        .merge(P, draining_phase(0, 100))
        .expect("there is room");
    let mut by_slot = BTreeMap::new();
    for key in 0..4096 {
        *by_slot
            .entry(phases.migrates_at(key, P, 0, &times).expect("it leaves"))
            .or_insert(0) += 1;
    }
    assert_eq!(
        by_slot.keys().next_back(),
        Some(&(99 + times.migration_time))
    );
    phases
        .merge(P, draining_phase(17, 100))
        .expect("it is known");
    assert!(
        phases
            .migrates_at(1, P, 0, &times)
            .is_some_and(|slot| slot >= 100),
        "of an epoch before"
    );
    let expected = 4096 / times.migration_time;
    assert!(
        by_slot.values().all(|n| *n < expected * 3 / 2),
        "{by_slot:?}"
    );
}

#[test]
fn a_clear_needs_a_report_of_each_member_and_excess_phases_are_recorded() {
    let mut phases = Phases::default();
    phases
        .merge(P, draining_phase(3, 0))
        .expect("there is room");
    phases.report_clear(P, 3, 7);
    phases.report_clear(P, 2, 8);
    assert_eq!(phases.all_clear_since(P, 3, 50, &[7, 8]), None);
    phases.report_clear(P, 3, 8);
    assert_eq!(phases.all_clear_since(P, 3, 60, &[7, 8]), Some(60));
    assert_eq!(phases.all_clear_since(P, 3, 70, &[7, 8, 9]), Some(60));
    assert_eq!(phases.all_clear_since(P, 2, 70, &[]), None);
    for name in 2..=MAX_PHASES as u64 {
        assert!(
            phases
                .merge(Process { name, started: 0 }, draining_phase(0, 0))
                .is_ok()
        );
    }
    assert!(phases.is_complete());
    assert_eq!(
        phases.merge(
            Process {
                name: 99,
                started: 0
            },
            draining_phase(0, 0)
        ),
        Err(DrainError::TooManyDraining)
    );
    assert!(!phases.is_complete());
    let times = AffinityEntriesSection::default().times();
    phases.forget(1 << 40, &times, |p| p == P);
    assert_eq!(phases.iter().map(|(p, _)| p).collect::<Vec<_>>(), [P]);
    let expired_slot = times.retention();
    assert!(phases.accepts(P, draining_phase(3, 0), expired_slot, &times));
    phases.forget(1 << 40, &times, |_| false);
    assert!(
        !phases.accepts(P, draining_phase(3, 0), expired_slot, &times)
            && phases.accepts(P, draining_phase(3, 0), expired_slot - 1, &times)
    );
    assert!(phases.is_complete() && phases.iter().next().is_none());
}
