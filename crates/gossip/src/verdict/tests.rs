//! Tests of `verdict.rs`.

use super::*;
use crate::SECOND;
use crate::evidence::Process;

const P: Process = Process {
    name: 1,
    started: 0,
};
const W: Weights = Weights {
    bound: 12 * SECOND,
    witnesses: 3,
    rest: SECOND,
};

fn datum(zone: u64, origin: u64, seen: Micros, sign: Sign) -> Datum {
    Datum {
        origin,
        incarnation: 1,
        sequence: 1,
        zone,
        seen,
        process: P,
        sign,
    }
}

fn weighed(zones: &[(u64, Vec<Datum>)], now: Micros, own: u64, rests: bool) -> Weighed {
    let rests = rests.then_some([own]);
    let data = zones.iter().map(|(zone, data)| (*zone, data.as_slice()));
    weigh(
        data,
        now,
        own,
        rests.as_ref().map(|z| z.as_slice()),
        &W,
        |_| true,
        |_| 20,
    )
}

fn sick(zone: u64, n: u64) -> Vec<Datum> {
    (0..n)
        .map(|i| datum(zone, zone * 100 + i, i as Micros, Sign::Sick))
        .collect()
}

#[test]
fn enough_witnesses_one_of_them_of_the_own_zone_make_it_rest() {
    let now = SECOND;
    assert!(!weighed(&[(1, sick(1, 2))], now, 1, false).sick);
    let three = weighed(&[(1, sick(1, 3))], now, 1, false);
    assert!(three.sick && three.until == 12 * SECOND && three.zones == [1]);
    // What zone 1 sees of a cut is no sign of death in zone 2, not even with others that agree.
    assert!(!weighed(&[(1, sick(1, 6)), (3, sick(3, 6))], now, 2, false).sick);
    let over_two = weighed(&[(1, sick(1, 2)), (2, sick(2, 1))], now, 2, false);
    assert!(over_two.sick && over_two.zones == [1, 2]);
    // Where some of the own zone are served, one that was not changes nothing.
    let mixed = vec![datum(2, 200, 5, Sign::Sick), datum(2, 201, 6, Sign::Well)];
    assert!(!weighed(&[(1, sick(1, 6)), (2, mixed)], now, 2, false).sick);
    assert!(
        !weighed(&[(1, sick(1, 3))], 12 * SECOND + 1, 1, false).sick,
        "past its bound"
    );
}

#[test]
fn one_who_was_served_does_not_end_it_and_two_do() {
    let mut data = sick(1, 4);
    data.insert(0, datum(1, 7, 10, Sign::Well));
    let one = weighed(&[(1, data.clone())], SECOND, 1, true);
    assert!(one.sick && !one.served && one.newest == Some((Sign::Well, 10)));
    data.insert(0, datum(1, 8, 11, Sign::Well));
    let two = weighed(&[(1, data.clone())], SECOND, 1, true);
    assert!(!two.sick && two.served);
}

#[test]
fn it_goes_on_to_rest_while_the_newest_trial_failed_and_until_that_is_past_its_bound() {
    let last = [(1, vec![datum(1, 1, 20 * SECOND, Sign::Sick)])];
    assert!(!weighed(&last, 21 * SECOND, 1, false).sick);
    let on = weighed(&last, 21 * SECOND, 1, true);
    assert!(on.sick && on.until == 32 * SECOND);
    assert!(!weighed(&last, 32 * SECOND, 1, true).sick);
}

#[test]
fn few_members_need_all_and_a_lone_one_is_never_told() {
    let of = |n: u64, members: usize| {
        let data = [(1, sick(1, n))];
        let data = data.iter().map(|(zone, data)| (*zone, data.as_slice()));
        weigh(data, SECOND, 1, None, &W, |_| true, |_| members).sick
    };
    assert!(of(2, 2) && !of(2, 3) && !of(1, 1));
}
