//! How many requests slow endpoints, groups and kinds lose.

use crate::common::*;
use load_balancer::*;

// A stalled answer counts as one error for the circuit breaker, but says nothing about the latency
// of other answers.
#[test]
fn one_missing_answer_costs_an_endpoint_no_requests() {
    let mut harness = Harness::new(default_settings(), 3, 1);
    let part = |harness: &mut Harness| {
        endpoints_used(harness, 60)
            .iter()
            .filter(|e| **e == 2)
            .count()
    };
    let before = part(&mut harness);
    loop {
        let (id, actions) = harness.request_with(NON_IDEMPOTENT, 400 * MS, None, None);
        if endpoints_sent_to(&actions)[0] == 2 {
            harness.advance(400 * MS);
            assert!(harness.in_flight.is_empty(), "it has timed out");
            break;
        }
        harness.advance(20 * MS);
        harness.finish(id, 0, Outcome::Ok);
    }
    let after = part(&mut harness);
    assert!(
        after * 4 >= before * 3,
        "{after} of 60 requests, {before} before"
    );
}

#[test]
fn slow_requests_elsewhere_do_not_open_the_circuit_of_an_endpoint() {
    let mut harness = Harness::new(default_settings(), 4, 1);
    endpoints_used(&mut harness, 40);
    let (_, actions) = harness.request(IDEMPOTENT);
    let endpoint = endpoints_sent_to(&actions)[0];
    let logs = harness.advance(450 * MS);
    assert!(
        !logs.iter().any(|a| matches!(a, Action::Log(_))),
        "{endpoint} answers within half of the objective"
    );
}

#[test]
fn a_slow_endpoint_without_errors_loses_its_requests() {
    let mut harness = Harness::new(default_settings(), 4, 1);
    endpoints_used(&mut harness, 80);
    let (mut slow, mut all) = (0, 0);
    for round in 0..1200 {
        let (_, actions) = harness.request(IDEMPOTENT);
        if round > 600 {
            slow += endpoints_sent_to(&actions)
                .iter()
                .filter(|e| **e == 3)
                .count();
            all += endpoints_sent_to(&actions).len();
        }
        harness.advance(50 * MS);
        for ((id, n), out) in harness.in_flight.clone() {
            if harness.now - out.sent_at >= if out.endpoint == 3 { 700 * MS } else { 90 * MS } {
                harness.finish(id, n, Outcome::Ok);
            }
        }
    }
    assert!(slow * 12 < all, "{slow} of {all}");
}

#[test]
fn slower_endpoints_have_fewer_requests_even_without_overload() {
    let mut harness = Harness::new(default_settings(), 4, 1);
    let mut slow = 0;
    for _ in 0..200 {
        let first = endpoints_sent_to(&harness.request(IDEMPOTENT).1)[0] == 0;
        slow += usize::from(first);
        harness.serve_all(if first { 80 * MS } else { 20 * MS });
    }
    assert!((8..40).contains(&slow), "{slow}");
}

// A sidecar with little traffic takes seconds per round, so a schedule fixed at the last pick would
// rely on outdated latencies.
#[test]
fn a_pick_uses_latencies_observed_since_the_last_one() {
    let mut harness = Harness::new(default_settings(), 4, 1);
    let kinds = (0..4).map(|e| ListedEndpoint {
        kind: Some(e),
        ..listing(e)
    });
    harness.handle(Event::Endpoints(ListUpdate::Full(kinds.collect())));
    for _ in 0..40 {
        harness.request(NON_IDEMPOTENT);
        harness.serve_all(100 * MS);
    }
    // The answer of one endpoint takes twenty times as long as the others while no other is picked.
    let (slow, _) = harness.request(NON_IDEMPOTENT);
    let slow_endpoint = harness.in_flight[&(slow, 0)].endpoint;
    harness.advance(2000 * MS);
    harness.finish(slow, 0, Outcome::Ok);
    let to: Vec<_> = (0..4)
        .map(|_| {
            let (id, _) = harness.request(NON_IDEMPOTENT);
            let to = harness.in_flight[&(id, 0)].endpoint;
            harness.serve_all(100 * MS);
            to
        })
        .collect();
    assert!(
        !to.contains(&slow_endpoint),
        "{to:?} after {slow_endpoint} was slow"
    );
}

/// Sends two requests per second, each answered after the time of its endpoint. Returns the
/// endpoints used by the second half of the requests.
fn sparse(
    harness: &mut Harness,
    requests: usize,
    time: impl Fn(EndpointId) -> Micros,
) -> Vec<EndpointId> {
    let mut to = Vec::new();
    for n in 0..requests {
        let (_, actions) = harness.request(IDEMPOTENT);
        if n >= requests / 2 {
            to.extend(endpoints_sent_to(&actions));
        }
        let until = harness.now + 500 * MS;
        while let Some((at, key)) = harness
            .in_flight
            .iter()
            .map(|(k, o)| (o.sent_at + time(o.endpoint), *k))
            .min()
        {
            if at > until {
                break;
            }
            harness.advance_to(at);
            if harness.in_flight.contains_key(&key) {
                harness.finish(key.0, key.1, Outcome::Ok);
            }
        }
        harness.advance_to(until);
    }
    to
}

#[test]
fn latency_of_a_kind_applies_to_endpoints_not_used_yet() {
    let mut slow = 0;
    for seed in 0..20 {
        let mut harness = Harness::new(
            Settings {
                instances: 1000,
                ..default_settings()
            },
            0,
            seed,
        );
        let kind = |endpoint| ListedEndpoint {
            kind: Some(endpoint % 2),
            ..listing(endpoint)
        };
        harness.handle(Event::Endpoints(ListUpdate::Full(
            (0..40).map(kind).collect(),
        )));
        let to = sparse(&mut harness, 48, |e| {
            if e % 2 == 1 { 900 * MS } else { 90 * MS }
        });
        slow += to.iter().filter(|e| **e % 2 == 1).count();
    }
    assert!(slow <= 160, "{slow} of 480 to the slow kind");
}

// Many sidecars overload a slow group within a second, while each of them uses an endpoint only
// once in several seconds.
#[test]
fn a_group_that_slows_down_together_soon_gets_fewer_requests() {
    let in_slow = |endpoint: EndpointId| endpoint / 8 == 1;
    let mut to_slow = 0;
    for seed in 0..20 {
        let mut harness = Harness::new(
            Settings {
                instances: 100,
                ..default_settings()
            },
            0,
            seed,
        );
        let grouped = |endpoint| ListedEndpoint {
            cell: endpoint as u64 / 8,
            ..listing(endpoint)
        };
        harness.handle(Event::Endpoints(ListUpdate::Full(
            (0..40).map(grouped).collect(),
        )));
        let to = sparse(&mut harness, 40, |e| {
            if in_slow(e) { 900 * MS } else { 90 * MS }
        });
        to_slow += to.iter().filter(|e| in_slow(**e)).count();
    }
    // The group has one in five endpoints, so it would get 80 of 400 requests without adaptation.
    assert!(to_slow <= 40, "{to_slow} of 400 to the slow group");
}

// Overloaded servers that are three times slower need to recover, and a third of their requests
// would keep them just as busy.
#[test]
fn a_group_three_times_as_slow_gets_less_than_a_third_of_its_requests() {
    let in_slow = |endpoint: EndpointId| endpoint / 8 == 1;
    let mut to_slow = 0;
    for seed in 0..20 {
        let mut harness = Harness::new(
            Settings {
                instances: 100,
                ..default_settings()
            },
            0,
            seed,
        );
        let grouped = |endpoint| ListedEndpoint {
            cell: endpoint as u64 / 8,
            ..listing(endpoint)
        };
        harness.handle(Event::Endpoints(ListUpdate::Full(
            (0..40).map(grouped).collect(),
        )));
        let to = sparse(&mut harness, 80, |e| {
            if in_slow(e) { 270 * MS } else { 90 * MS }
        });
        to_slow += to.iter().filter(|e| in_slow(**e)).count();
    }
    // Without adaptation the group would get a fifth of 800 requests, 160.
    assert!(to_slow <= 90, "{to_slow} of 800 to the slow group");
}
