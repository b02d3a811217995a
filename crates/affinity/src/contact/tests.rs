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
        contact.set_members((0..members).map(number));
        contact
    };
    (0..members).map(contact).collect()
}

/// Sends periodic messages every half second from each member to four random ones, with message
/// loss; returns how long ago each member was last in contact.
fn contact_ages(members: u64, lost: f64, partition: impl Fn(u64) -> bool) -> Vec<Option<Micros>> {
    let (mut contacts, mut rng, mut now) = (fleet(members), fastrand::Rng::with_seed(7), 0);
    for _ in 0..24 {
        now += SECOND / 2;
        let ages: Vec<_> = contacts.iter().map(|c| c.beacon_ages(now, true)).collect();
        for from in 0..members {
            for _ in 0..4 {
                let to = rng.u64(..members);
                if rng.f64() >= lost && partition(from) == partition(to) {
                    contacts[to as usize].receive_ages(now, &ages[from as usize]);
                }
            }
        }
    }
    contacts
        .iter()
        .map(|c| c.in_contact_since(now, true).map(|at| now - at))
        .collect()
}

#[test]
fn contact_reaches_all_within_its_timeout_and_ends_on_the_smaller_side_of_a_partition() {
    for (members, lost) in [
        (1, 0.3),
        (2, 0.3),
        (5, 0.3),
        (60, 0.3),
        (300, 0.3),
        (3000, 0.0),
    ] {
        let ages = contact_ages(members, lost, |_| false);
        let worst = ages
            .iter()
            .map(|age| age.unwrap_or(Micros::MAX))
            .max()
            .unwrap_or(0);
        assert!(worst < 4 * SECOND, "{members} members: {worst}");
    }
    let beacons: Vec<u64> = fleet(60)[0].beacons.values().map(|h| h.member).collect();
    // Six beacons on one side leave ten with the others.
    let is_on_smaller_side = |i: u64| {
        beacons[..6].contains(&number(i)) || i.is_multiple_of(4) && !beacons.contains(&number(i))
    };
    let ages = contact_ages(60, 0.3, is_on_smaller_side);
    for (i, age) in (0..).zip(ages) {
        assert_eq!(
            age.is_some_and(|age| age < 5 * SECOND),
            !is_on_smaller_side(i),
            "{i}"
        );
    }
}

#[test]
fn without_members_there_is_no_contact_and_new_beacons_do_not_count_as_trusted() {
    assert_eq!(Contact::new(1).in_contact_since(5, true), None);
    let mut contacts = fleet(3);
    let ages = contacts[1].beacon_ages(SECOND, false);
    contacts[0].receive_ages(SECOND, &ages);
    assert_eq!(contacts[0].in_contact_since(SECOND, true), None);
    assert!(contacts[0].any_contact_since(SECOND).is_some());
    let told = contacts[1].beacon_ages(SECOND, true);
    contacts[0].receive_ages(SECOND, &told);
    assert!(contacts[0].in_contact_since(SECOND, true).is_some());
}
