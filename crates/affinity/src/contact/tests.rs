//! Tests of `contact.rs`.

use super::*;
use crate::hash;

const SECOND: Micros = 1_000_000;

fn number(i: u64) -> u64 {
    hash(&i.to_le_bytes())
}

fn fleet(members: u64) -> Vec<Contact> {
    let contact = |i| {
        let mut contact = Contact::new(number(i));
        contact.members((0..members).map(number));
        contact
    };
    (0..members).map(contact).collect()
}

/// Pulses each half second from all to four drawn anew, some lost; gives since when all are in
/// contact after.
fn oldest(members: u64, lost: f64, cut: impl Fn(u64) -> bool) -> Vec<Option<Micros>> {
    let (mut all, mut rng, mut now) = (fleet(members), fastrand::Rng::with_seed(7), 0);
    for _ in 0..24 {
        now += SECOND / 2;
        let told: Vec<_> = all.iter().map(|c| c.told(now, true)).collect();
        for from in 0..members {
            for _ in 0..4 {
                let to = rng.u64(..members);
                if rng.f64() >= lost && cut(from) == cut(to) {
                    all[to as usize].heard(now, &told[from as usize]);
                }
            }
        }
    }
    all.iter()
        .map(|c| c.since(now, true).map(|at| now - at))
        .collect()
}

#[test]
fn contact_reaches_all_within_the_silence_and_ends_for_the_smaller_side_of_a_cut() {
    for (members, lost) in [
        (1, 0.3),
        (2, 0.3),
        (5, 0.3),
        (60, 0.3),
        (300, 0.3),
        (3000, 0.0),
    ] {
        let ages = oldest(members, lost, |_| false);
        let worst = ages
            .iter()
            .map(|age| age.unwrap_or(Micros::MAX))
            .max()
            .unwrap_or(0);
        assert!(worst < 4 * SECOND, "{members} members: {worst}");
    }
    let beacons: Vec<u64> = fleet(60)[0].beacons.values().map(|h| h.number).collect();
    // Six beacons on one side: ten are with the others.
    let small = |i: u64| {
        beacons[..6].contains(&number(i)) || i.is_multiple_of(4) && !beacons.contains(&number(i))
    };
    let ages = oldest(60, 0.3, small);
    for (i, age) in (0..).zip(ages) {
        assert_eq!(age.is_some_and(|age| age < 5 * SECOND), !small(i), "{i}");
    }
}

#[test]
fn who_knows_nobody_is_not_in_contact_and_fresh_beacons_are_met_but_no_sign() {
    assert_eq!(Contact::new(1).since(5, true), None);
    let mut all = fleet(3);
    let told = all[1].told(SECOND, false);
    all[0].heard(SECOND, &told);
    assert_eq!(all[0].since(SECOND, true), None);
    assert!(all[0].met(SECOND).is_some());
    let told = all[1].told(SECOND, true);
    all[0].heard(SECOND, &told);
    assert!(all[0].since(SECOND, true).is_some());
}
