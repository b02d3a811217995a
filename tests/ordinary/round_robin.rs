//! Round robin over the ready endpoints.

use crate::common::*;
use load_balancer::*;

#[test]
fn round_robin_reaches_all_endpoints() {
    let mut harness = Harness::new(default_settings(), 4, 1);
    let mut counts = [0; 4];
    for _ in 0..40 {
        counts[endpoints_sent_to(&harness.request(IDEMPOTENT).1)[0]] += 1;
        harness.serve_all(20 * MS);
    }
    assert!(counts.iter().all(|c| (9..=11).contains(c)), "{counts:?}");
}

#[test]
fn round_robin_follows_listed_sizes() {
    let mut harness = Harness::new(default_settings(), 2, 1);
    harness.handle(Event::Endpoints(ListUpdate::Delta(vec![ListedEndpoint {
        size: 3.0,
        ..listing(1)
    }])));
    let mut counts = [0; 2];
    for _ in 0..80 {
        counts[endpoints_sent_to(&harness.request(IDEMPOTENT).1)[0]] += 1;
        harness.serve_all(20 * MS);
    }
    assert!((55..=65).contains(&counts[1]), "{counts:?}");
}

#[test]
fn the_subset_grows_with_the_traffic() {
    for (pause, range) in [(500 * MS, 8..=24), (25 * MS, 60..=64)] {
        let mut harness = Harness::new(default_settings(), 64, 1);
        let mut used = std::collections::BTreeMap::new();
        for _ in 0..400 {
            let (_, actions) = harness.request(IDEMPOTENT);
            endpoints_sent_to(&actions)
                .iter()
                .for_each(|e| *used.entry(*e).or_insert(0) += 1);
            harness.serve_all(20 * MS);
            harness.advance(pause - 20 * MS);
        }
        assert!(range.contains(&used.len()), "{} endpoints", used.len());
    }
}

// Estimates decay within four longest latency objectives, which is much less than a long deadline.
#[test]
fn an_endpoint_is_picked_again_before_its_estimates_decay() {
    let mut settings = default_settings();
    settings
        .classes
        .iter_mut()
        .for_each(|c| (c.latency_objective, c.deadline) = (300 * MS, 1340 * MS));
    let mut harness = Harness::new(
        Settings {
            instances: 297,
            ..settings
        },
        151,
        1,
    );
    let mut last = std::collections::BTreeMap::new();
    let mut pauses = Vec::new();
    for n in 0..800 {
        let (_, actions) = harness.request_with(IDEMPOTENT, 800 * MS, None, None);
        let now = harness.now;
        let before = endpoints_sent_to(&actions)
            .first()
            .and_then(|to| last.insert(*to, now));
        pauses.extend(before.filter(|_| n >= 400).map(|before| now - before));
        harness.serve_all(20 * MS);
        harness.advance(40 * MS);
    }
    pauses.sort_unstable();
    let median = pauses[pauses.len() / 2];
    assert!(
        median <= 1200 * MS,
        "half of the picks are more than {median} us after the previous one"
    );
}

// Rejected clients retry. Their retries, or a short burst of traffic, must not make the sidecar use
// further endpoints.
#[test]
fn client_retries_and_a_short_burst_do_not_enlarge_the_subset() {
    let mut harness = Harness::new(
        Settings {
            marks_retries: true,
            ..default_settings()
        },
        64,
        1,
    );
    let mut endpoints_used_by = |rounds, repeats, pause| {
        let mut used = std::collections::BTreeSet::new();
        for _ in 0..rounds {
            for n in 0..=repeats {
                let (id, deadline) = (harness.next_id, harness.now + 3000 * MS);
                harness.next_id += 1;
                let new = NewRequest {
                    id,
                    class: IDEMPOTENT,
                    tenant: None,
                    key: None,
                    affinity_endpoints: Vec::new(),
                    deadline,
                    work: None,
                    is_retry: n > 0,
                };
                used.extend(endpoints_sent_to(&harness.handle(Event::Request(new))));
                harness.serve_all(20 * MS);
            }
            harness.advance(pause);
        }
        used.len()
    };
    let few = endpoints_used_by(400, 0, 380 * MS);
    assert!(
        endpoints_used_by(200, 2, 340 * MS) <= few + 2,
        "client retries enlarge the subset beyond {few}"
    );
    assert!(
        endpoints_used_by(20, 0, 180 * MS) <= few + 2,
        "four seconds of twice the traffic enlarge the subset beyond {few}"
    );
}

#[test]
fn an_endpoint_lost_from_the_subset_is_replaced() {
    let mut harness = Harness::new(default_settings(), 64, 1);
    let mut first = None;
    for _ in 0..40 {
        let (_, actions) = harness.request(IDEMPOTENT);
        first = first.or(endpoints_sent_to(&actions).first().copied());
        harness.serve_all(20 * MS);
        harness.advance(480 * MS);
    }
    let gone = ListedEndpoint {
        status: EndpointStatus::Removed,
        ..listing(first.expect("a pick"))
    };
    harness.handle(Event::Endpoints(ListUpdate::Delta(vec![gone])));
    for _ in 0..40 {
        let (_, actions) = harness.request(IDEMPOTENT);
        assert!(
            endpoints_sent_to(&actions).len() == 1
                && endpoints_sent_to(&actions).first() != first.as_ref()
        );
        harness.serve_all(20 * MS);
    }
}

#[test]
fn instances_have_different_rotation_orders() {
    let first = |seed| {
        endpoints_sent_to(
            &Harness::new(default_settings(), 8, seed)
                .request(IDEMPOTENT)
                .1,
        )[0]
    };
    let firsts: std::collections::BTreeSet<_> = (0..20).map(first).collect();
    assert!(firsts.len() > 2, "{firsts:?}");
}
