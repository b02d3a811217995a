//! Turns over the ready endpoints.

use crate::common::*;
use load_balancer::*;

#[test]
fn round_robin_reaches_all_endpoints() {
    let mut rig = Rig::new(settings(), 4, 1);
    let mut counts = [0; 4];
    for _ in 0..40 {
        counts[sent(&rig.request(SAFE).1)[0]] += 1;
        rig.serve(20 * MS);
    }
    assert!(counts.iter().all(|c| (9..=11).contains(c)), "{counts:?}");
}

#[test]
fn round_robin_follows_listed_sizes() {
    let mut rig = Rig::new(settings(), 2, 1);
    rig.event(Event::Endpoints(ListUpdate::Delta(vec![Listing {
        size: 3.0,
        ..listing(1)
    }])));
    let mut counts = [0; 2];
    for _ in 0..80 {
        counts[sent(&rig.request(SAFE).1)[0]] += 1;
        rig.serve(20 * MS);
    }
    assert!((55..=65).contains(&counts[1]), "{counts:?}");
}

#[test]
fn little_traffic_goes_round_few_endpoints_and_more_goes_round_more() {
    for (pause, range) in [(500 * MS, 8..=24), (25 * MS, 60..=64)] {
        let mut rig = Rig::new(settings(), 64, 1);
        let mut used = std::collections::BTreeMap::new();
        for _ in 0..400 {
            let (_, actions) = rig.request(SAFE);
            sent(&actions)
                .iter()
                .for_each(|e| *used.entry(*e).or_insert(0) += 1);
            rig.serve(20 * MS);
            rig.wait(pause - 20 * MS);
        }
        assert!(range.contains(&used.len()), "{} endpoints", used.len());
    }
}

// What a sidecar learns of an endpoint fades within four longest latency objectives, long before a
// long deadline has passed.
#[test]
fn an_endpoint_has_its_next_turn_before_what_was_learnt_there_fades() {
    let mut set = settings();
    set.classes
        .iter_mut()
        .for_each(|c| (c.latency_objective, c.deadline) = (300 * MS, 1340 * MS));
    let mut rig = Rig::new(
        Settings {
            instances: 297,
            ..set
        },
        151,
        1,
    );
    let mut last = std::collections::BTreeMap::new();
    let mut pauses = Vec::new();
    for n in 0..800 {
        let (_, actions) = rig.request_for(SAFE, 800 * MS, None, None);
        let now = rig.now;
        let before = sent(&actions).first().and_then(|to| last.insert(*to, now));
        pauses.extend(before.filter(|_| n >= 400).map(|before| now - before));
        rig.serve(20 * MS);
        rig.wait(40 * MS);
    }
    pauses.sort_unstable();
    let median = pauses[pauses.len() / 2];
    assert!(
        median <= 1200 * MS,
        "half of the turns come more than {median} us after the one before"
    );
}

// Refused clients come back: their repeats, and a moment's more traffic, must not lead on to
// endpoints not met yet.
#[test]
fn repeats_and_a_short_burst_do_not_lead_on_to_further_endpoints() {
    let mut rig = Rig::new(
        Settings {
            marks_retries: true,
            ..settings()
        },
        64,
        1,
    );
    let mut met = |rounds, repeats, pause| {
        let mut used = std::collections::BTreeSet::new();
        for _ in 0..rounds {
            for n in 0..=repeats {
                let (id, deadline) = (rig.next, rig.now + 3000 * MS);
                rig.next += 1;
                let new = NewRequest {
                    id,
                    class: SAFE,
                    tenant: None,
                    key: None,
                    affinity_endpoints: Vec::new(),
                    deadline,
                    work: None,
                    is_retry: n > 0,
                };
                used.extend(sent(&rig.event(Event::Request(new))));
                rig.serve(20 * MS);
            }
            rig.wait(pause);
        }
        used.len()
    };
    let few = met(400, 0, 380 * MS);
    assert!(
        met(200, 2, 340 * MS) <= few + 2,
        "repeats lead on beyond {few}"
    );
    assert!(
        met(20, 0, 180 * MS) <= few + 2,
        "four seconds of twice the traffic lead on beyond {few}"
    );
}

#[test]
fn an_endpoint_lost_from_the_few_is_replaced() {
    let mut rig = Rig::new(settings(), 64, 1);
    let mut first = None;
    for _ in 0..40 {
        let (_, actions) = rig.request(SAFE);
        first = first.or(sent(&actions).first().copied());
        rig.serve(20 * MS);
        rig.wait(480 * MS);
    }
    let gone = Listing {
        status: Status::Gone,
        ..listing(first.expect("a pick"))
    };
    rig.event(Event::Endpoints(ListUpdate::Delta(vec![gone])));
    for _ in 0..40 {
        let (_, actions) = rig.request(SAFE);
        assert!(sent(&actions).len() == 1 && sent(&actions).first() != first.as_ref());
        rig.serve(20 * MS);
    }
}

#[test]
fn instances_start_their_rounds_apart() {
    let first = |seed| sent(&Rig::new(settings(), 8, seed).request(SAFE).1)[0];
    let firsts: std::collections::BTreeSet<_> = (0..20).map(first).collect();
    assert!(firsts.len() > 2, "{firsts:?}");
}
