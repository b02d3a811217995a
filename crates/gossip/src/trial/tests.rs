//! Tests of `trial.rs`.

use super::*;
use crate::SECOND;

const P: Process = Process {
    name: 1,
    started: 0,
};
const W: EjectionPolicy = EjectionPolicy {
    max_staleness: 12 * SECOND,
    min_reporters: 3,
    ejection_time: SECOND,
};

#[test]
fn one_trial_falls_into_each_slot_and_slots_grow_longer() {
    let ejected = HealthStatus {
        unhealthy: true,
        newest: Some((ObservedHealth::Unhealthy, 0)),
        ..HealthStatus::default()
    };
    let lengths = |status: &HealthStatus| {
        [0, 1, 3, 4, 30].map(|at| slot(at * SECOND, 0, status, &W).map(|slot| slot.length / SECOND))
    };
    assert_eq!(lengths(&ejected), [None, None, Some(3), Some(6), Some(6)]);
    let served = HealthStatus {
        newest: Some((ObservedHealth::Healthy, 0)),
        ..ejected.clone()
    };
    assert!(slot(0, 0, &served, &W).is_some_and(|slot| slot.length == SECOND / 4));
    let looked = HealthStatus {
        newest: Some((ObservedHealth::Unhealthy, 28 * SECOND)),
        ..ejected
    };
    assert_eq!(
        slot(30 * SECOND, 0, &looked, &W),
        None,
        "somebody has just looked"
    );
    let at = |from| Slot {
        start: from,
        length: SECOND,
    };
    let mut made = [0; 20];
    for from in 0..400 {
        let [first, second] = choose_members(P, at(from), 0..20);
        assert_eq!(
            choose_members(P, at(from), (0..20).rev()),
            [first, second],
            "each member finds the same"
        );
        assert_ne!(first, second);
        made[first.expect("there is one") as usize] += 1;
    }
    assert!(made.iter().all(|n| (5..45).contains(n)), "{made:?}");
    assert_eq!(
        choose_members(P, at(0), std::iter::once(7)),
        [Some(7), None]
    );
}
