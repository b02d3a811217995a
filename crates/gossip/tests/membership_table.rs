//! Who is known, how they left, and who of them is believed. Each test names the invariant that it
//! attacks.

mod lan;

use lan::Lan;
use load_balancer_gossip::SECOND;
use load_balancer_gossip::core::Core;
use load_balancer_gossip::effects::Note;
use load_balancer_gossip::membership_table::Departure;
use load_balancer_gossip::observation_table::ObservedHealth;

/// How members left is known, and two processes of one name are found, by each that knows both.
#[test]
fn the_membership_table_knows_how_one_left_and_finds_two_of_a_name() {
    let mut lan = Lan::settled(18, 11);
    lan.with(4, |core, now| {
        core.set_version("1.2.3");
        core.leave(now);
    });
    lan.cores[4] = None;
    lan.cores[5] = None;
    // A second n7, elsewhere: as member 17.
    let now = lan.now;
    let mut section = lan::section(17, 18);
    section.connectivity.enabled = true;
    lan.cores[17] = Some(Core::new(&section, "n7", "b", now.unsigned_abs(), 1, now));
    lan.due[17] = now;
    lan.run(40 * SECOND);
    let summary = lan.cores[0]
        .as_ref()
        .map(|core| core.summary(lan.now))
        .expect("it runs");
    let of = |name: &str| {
        summary
            .membership
            .iter()
            .find(|e| e.name == name)
            .expect("it is known")
    };
    assert_eq!(
        (of("n4").left, of("n5").left, of("n6").left),
        (Some(Departure::Announced), Some(Departure::Failed), None)
    );
    assert!(of("n7").twice.is_some());
    let told = |n: &Note| matches!(n, Note::DuplicateName { name, addresses } if name == "n7" && addresses.contains(&lan::address(17)));
    let by: std::collections::BTreeSet<usize> = lan
        .notes
        .iter()
        .filter(|(.., n)| told(n))
        .map(|(_, m, _)| *m)
        .collect();
    assert!(by.len() >= 14, "{by:?}");
    assert_eq!(
        lan.notes.iter().filter(|(.., n)| told(n)).count(),
        by.len(),
        "each says it once"
    );
}

/// Who fails again and again is quarantined: its word does not count, for longer each time, and it
/// is still a member.
#[test]
fn one_that_flaps_is_quarantined() {
    let mut lan = Lan::settled(18, 12);
    for _ in 0..4 {
        lan.cores[5] = None;
        lan.run(10 * SECOND);
        lan.start(5);
        lan.run(3 * SECOND);
    }
    let told = |n: &Note| matches!(n, Note::Quarantined { name } if name == "n5");
    assert!(
        lan.notes.iter().filter(|(.., n)| told(n)).count() >= 2 * 15,
        "the third time and the fourth"
    );
    assert!(
        !lan.notes
            .iter()
            .any(|(.., n)| matches!(n, Note::Quarantined { name } if name != "n5"))
    );
    lan.sees([5, 6, 7], 4, ObservedHealth::Unhealthy);
    lan.run(SECOND);
    assert!(
        lan.ejected(4).iter().all(|m| *m == 5),
        "two witnesses are not enough: {:?}",
        lan.ejected(4)
    );
    lan.sees([8], 4, ObservedHealth::Unhealthy);
    lan.run(SECOND);
    assert!(lan.ejected(4).len() >= 16);
}
