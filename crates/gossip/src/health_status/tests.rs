//! Tests of `health_status.rs`.

use super::*;
use crate::SECOND;
use crate::observation_table::Process;

const P: Process = Process {
    name: 1,
    started: 0,
};
const W: EjectionPolicy = EjectionPolicy {
    max_staleness: 12 * SECOND,
    min_reporters: 3,
    ejection_time: SECOND,
};

fn observation(zone: u64, origin: u64, seen: Micros, health: ObservedHealth) -> Observation {
    Observation {
        origin,
        incarnation: 1,
        sequence: 1,
        zone,
        seen,
        process: P,
        health,
    }
}

fn status(zones: &[(u64, Vec<Observation>)], now: Micros, own: u64, rests: bool) -> HealthStatus {
    let rests = rests.then_some([own]);
    let data = zones.iter().map(|(zone, data)| (*zone, data.as_slice()));
    evaluate(
        data,
        now,
        own,
        rests.as_ref().map(|z| z.as_slice()),
        &W,
        |_| true,
        |_| 20,
    )
}

fn unhealthy(zone: u64, n: u64) -> Vec<Observation> {
    (0..n)
        .map(|i| observation(zone, zone * 100 + i, i as Micros, ObservedHealth::Unhealthy))
        .collect()
}

#[test]
fn enough_reporters_one_of_them_of_the_own_zone_eject_it() {
    let now = SECOND;
    assert!(!status(&[(1, unhealthy(1, 2))], now, 1, false).unhealthy);
    let three = status(&[(1, unhealthy(1, 3))], now, 1, false);
    assert!(three.unhealthy && three.until == 12 * SECOND && three.zones == [1]);
    // Failures that zone 1 observes because of a partition do not eject in zone 2, even if other
    // zones agree.
    assert!(!status(&[(1, unhealthy(1, 6)), (3, unhealthy(3, 6))], now, 2, false).unhealthy);
    let over_two = status(&[(1, unhealthy(1, 2)), (2, unhealthy(2, 1))], now, 2, false);
    assert!(over_two.unhealthy && over_two.zones == [1, 2]);
    // If some members of the own zone are served, one failure there changes nothing.
    let mixed = vec![
        observation(2, 200, 5, ObservedHealth::Unhealthy),
        observation(2, 201, 6, ObservedHealth::Healthy),
    ];
    assert!(!status(&[(1, unhealthy(1, 6)), (2, mixed)], now, 2, false).unhealthy);
    assert!(
        !status(&[(1, unhealthy(1, 3))], 12 * SECOND + 1, 1, false).unhealthy,
        "past its bound"
    );
}

#[test]
fn one_who_was_served_does_not_end_it_and_two_do() {
    let mut data = unhealthy(1, 4);
    data.insert(0, observation(1, 7, 10, ObservedHealth::Healthy));
    let one = status(&[(1, data.clone())], SECOND, 1, true);
    assert!(one.unhealthy && !one.served && one.newest == Some((ObservedHealth::Healthy, 10)));
    data.insert(0, observation(1, 8, 11, ObservedHealth::Healthy));
    let two = status(&[(1, data.clone())], SECOND, 1, true);
    assert!(!two.unhealthy && two.served);
}

#[test]
fn it_stays_ejected_while_the_newest_trial_failed_and_until_that_is_too_stale() {
    let last = [(
        1,
        vec![observation(1, 1, 20 * SECOND, ObservedHealth::Unhealthy)],
    )];
    assert!(!status(&last, 21 * SECOND, 1, false).unhealthy);
    let on = status(&last, 21 * SECOND, 1, true);
    assert!(on.unhealthy && on.until == 32 * SECOND);
    assert!(!status(&last, 32 * SECOND, 1, true).unhealthy);
}

#[test]
fn few_members_need_all_and_a_lone_one_is_never_told() {
    let of = |n: u64, members: usize| {
        let data = [(1, unhealthy(1, n))];
        let data = data.iter().map(|(zone, data)| (*zone, data.as_slice()));
        evaluate(data, SECOND, 1, None, &W, |_| true, |_| members).unhealthy
    };
    assert!(of(2, 2) && !of(2, 3) && !of(1, 1));
}
