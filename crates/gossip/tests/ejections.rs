//! What members conclude of endpoints from each other's word. Each test names the invariant that it
//! attacks.

mod lan;

use lan::{ENDPOINTS, Lan, NOBODY, listed};
use load_balancer_gossip::SECOND;
use load_balancer_gossip::core::ObservedEndpoint;
use load_balancer_gossip::health_status::EjectionStatus;
use load_balancer_gossip::observation_table::ObservedHealth;
use std::collections::BTreeMap;

/// Loss, repeats, delay and reordering change how soon, never what: all come to the same health
/// status, and it ends for all.
#[test]
fn what_three_have_found_all_know_and_two_good_trials_end_it() {
    for seed in 1..6 {
        let mut lan = Lan::new(18, seed);
        lan.run(10 * SECOND);
        (lan.lost, lan.repeated, lan.late) = (0.3, 0.2, 150_000);
        // One of each zone.
        lan.sees([0, 1, 2], 4, ObservedHealth::Unhealthy);
        lan.run(SECOND);
        assert_eq!(lan.ejected(4).len(), 18, "seed {seed}");
        assert!(
            (0..ENDPOINTS)
                .filter(|e| *e != 4)
                .all(|e| lan.ejected(e).is_empty())
        );
        // Trials that fail keep it resting, by few of them.
        let mut trials = 0;
        for _ in 0..100 {
            lan.run(SECOND / 10);
            for member in 0..18 {
                if lan.ejections[member]
                    .get(&4)
                    .is_some_and(|w| w.status == EjectionStatus::TrialDue)
                {
                    trials += 1;
                    lan.sees([member], 4, ObservedHealth::Unhealthy);
                }
            }
        }
        assert!(
            (1..=8).contains(&trials),
            "{trials} trials in 10 s, seed {seed}"
        );
        assert_eq!(lan.ejected(4).len(), 18, "seed {seed}");
        // Trials that succeed end it.
        for _ in 0..200 {
            lan.run(SECOND / 10);
            for member in 0..18 {
                if lan.ejections[member]
                    .get(&4)
                    .is_some_and(|w| w.status == EjectionStatus::TrialDue)
                {
                    lan.sees([member], 4, ObservedHealth::Healthy);
                }
            }
        }
        assert_eq!(lan.ejected(4), NOBODY, "seed {seed}");
    }
}

/// Past its bound a datum counts as never heard.
#[test]
fn without_news_every_ejection_expires() {
    let mut lan = Lan::new(9, 1);
    lan.run(10 * SECOND);
    lan.sees([0, 1, 2], 4, ObservedHealth::Unhealthy);
    lan.run(SECOND);
    assert_eq!(lan.ejected(4).len(), 9);
    lan.run(12 * SECOND);
    assert_eq!(lan.ejected(4), NOBODY);
    assert!(
        lan.ejections.iter().all(BTreeMap::is_empty),
        "the words were taken back"
    );
}

/// One member, whatever it says and however often, in its own name or in another's, makes nothing
/// rest.
#[test]
fn a_false_reporter_ejects_nothing() {
    let mut lan = Lan::new(12, 3);
    lan.run(10 * SECOND);
    for round in 0..40 {
        for endpoint in 0..ENDPOINTS {
            lan.forge(1, 1, endpoint, round);
        }
        lan.run(SECOND / 4);
        assert!((0..ENDPOINTS).all(|e| lan.ejected(e).is_empty()));
    }
    // And one that errs is not believed about the one endpoint that others find sick: it is doubted
    // in all.
    lan.sees([2, 5], 0, ObservedHealth::Unhealthy);
    lan.run(SECOND);
    assert_eq!(lan.ejected(0), NOBODY);
}

/// A member that sees most endpoints fail, such as one that is cut off, does not tell others so.
#[test]
fn who_is_cut_off_blackens_nobody() {
    let mut lan = Lan::new(12, 4);
    lan.run(10 * SECOND);
    for endpoint in 0..ENDPOINTS {
        lan.sees([0, 3, 6], endpoint, ObservedHealth::Unhealthy);
    }
    lan.run(2 * SECOND);
    // Each of them spoke of some before it began to doubt itself; the zone's others doubt it of
    // those too.
    let ejected: usize = (0..ENDPOINTS)
        .map(|e| lan.ejected(e).iter().filter(|m| **m % 3 != 0).count())
        .sum();
    assert_eq!(ejected, 0, "other zones follow nobody there");
    let said: u64 = [0, 3, 6]
        .iter()
        .map(|m| lan.cores[*m].as_ref().map_or(0, |c| c.counts().published))
        .sum();
    assert!(said <= 15, "{said} of 30");
}

/// What a zone sees of a cut is not the death of the endpoint for the zones that are served.
#[test]
fn a_cut_between_two_zones_is_nothing_to_the_third() {
    let mut lan = Lan::new(18, 5);
    lan.run(10 * SECOND);
    lan.cuts = vec![(0, 1), (1, 0)];
    for _ in 0..10 {
        // Endpoint 3 stands in zone a: zone b loses it, zones a and c are served; one of c fails by
        // chance.
        lan.sees([1, 4, 7], 3, ObservedHealth::Unhealthy);
        lan.sees([2], 3, ObservedHealth::Unhealthy);
        lan.run(SECOND / 4);
        lan.sees([5, 8, 11, 2], 3, ObservedHealth::Healthy);
        lan.run(SECOND / 2);
    }
    let ejected = lan.ejected(3);
    assert!(ejected.iter().all(|m| m % 3 == 1), "{ejected:?}");
    assert!(ejected.len() >= 4, "zone b lets it rest: {ejected:?}");
    // Healed, zone b finds out by its own trials.
    lan.cuts.clear();
    for _ in 0..200 {
        lan.run(SECOND / 10);
        for member in 0..18 {
            if lan.ejections[member]
                .get(&3)
                .is_some_and(|w| w.status == EjectionStatus::TrialDue)
            {
                lan.sees([member], 3, ObservedHealth::Healthy);
            }
        }
    }
    assert_eq!(lan.ejected(3), NOBODY);
}

/// Who comes from nothing knows what the others know as soon as it is a member.
#[test]
fn a_restarted_member_is_told_what_is_ejected() {
    for seed in 20..25 {
        let mut lan = Lan::new(12, seed);
        lan.run(10 * SECOND);
        lan.sees([0, 1, 2, 3], 4, ObservedHealth::Unhealthy);
        lan.run(2 * SECOND);
        assert_eq!(lan.ejected(4).len(), 12);
        for member in [5, 6, 7, 8, 9, 10] {
            lan.start(member);
        }
        lan.run(2 * SECOND);
        assert_eq!(lan.ejected(4).len(), 12, "seed {seed}");
    }
}

/// Observations is of a process: its next one, under the same name and address, is another.
#[test]
fn a_new_process_under_the_same_name_starts_unjudged() {
    let mut lan = Lan::new(9, 8);
    lan.run(10 * SECOND);
    lan.sees([0, 1, 2], 4, ObservedHealth::Unhealthy);
    lan.run(SECOND);
    assert_eq!(lan.ejected(4).len(), 9);
    let started = Some(lan.now);
    let list: Vec<ObservedEndpoint> = (0..ENDPOINTS)
        .map(|e| ObservedEndpoint {
            started: started.filter(|_| e == 4),
            ..listed(e)
        })
        .collect();
    for member in 0..8 {
        lan.with(member, |core, now| core.set_endpoints(now, list.clone()));
    }
    assert_eq!(
        lan.ejected(4),
        [8],
        "only who does not know of it yet lets it rest"
    );
    lan.sees([0, 1, 2], 4, ObservedHealth::Healthy);
    lan.run(2 * SECOND);
    assert_eq!(lan.ejected(4), [8]);
}

/// Only a part of the endpoints rests by other members' observations, however many are found sick.
#[test]
fn no_more_than_the_configured_part_is_ejected() {
    let mut lan = Lan::new(18, 9);
    lan.run(10 * SECOND);
    for endpoint in 0..ENDPOINTS {
        // Each by others, so that nobody is doubted.
        lan.sees(
            (0..4).map(|n| (endpoint * 4 + n * 5) % 18),
            endpoint,
            ObservedHealth::Unhealthy,
        );
    }
    lan.run(2 * SECOND);
    for member in 0..18 {
        let rests = (0..ENDPOINTS)
            .filter(|e| lan.ejected(*e).contains(&member))
            .count();
        assert!(
            (1..=ENDPOINTS / 2).contains(&rests),
            "member {member}: {rests}"
        );
    }
}
