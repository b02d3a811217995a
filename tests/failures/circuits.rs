//! When errors open circuits, and how trial requests test them.

use crate::common::*;
use load_balancer::*;

#[test]
fn one_heavy_request_does_not_open_a_circuit() {
    let mut harness = Harness::new(
        Settings {
            instances: 1000,
            ..default_settings()
        },
        4,
        1,
    );
    endpoints_used(&mut harness, 40);
    let (id, actions) = harness.request(NON_IDEMPOTENT);
    assert_eq!(endpoints_sent_to(&actions).len(), 1);
    let seen = harness.advance(1150 * MS);
    assert!(
        !seen.iter().any(|a| matches!(a, Action::Log(_))),
        "{seen:?}"
    );
    harness.finish(id, 0, Outcome::Ok);
}

#[test]
fn retries_are_limited_by_the_retry_budget() {
    let mut harness = Harness::new(default_settings(), 12, 1);
    endpoints_used(&mut harness, 20);
    let before: AttemptIndex = harness.attempts_sent.values().sum();
    for _ in 0..30 {
        harness.request(IDEMPOTENT);
        while let Some(&(id, n)) = harness.in_flight.keys().next() {
            harness.finish(id, n, Outcome::Rejected);
        }
        harness.advance(300 * MS);
        while let Some(&(id, n)) = harness.in_flight.keys().next() {
            harness.finish(id, n, Outcome::Rejected);
            harness.advance(300 * MS);
        }
    }
    let all = harness.attempts_sent.values().sum::<AttemptIndex>() - before;
    assert!((15..=37).contains(&all), "{all} attempts for 30 requests");
}

#[test]
fn trial_requests_to_many_open_circuits_are_a_small_part_of_the_traffic() {
    let mut harness = Harness::new(
        Settings {
            instances: 1000,
            ..default_settings()
        },
        8,
        3,
    );
    let unhealthy = |e: EndpointId| e >= 3;
    let (mut trials, mut all) = (0, 0);
    for n in 0..240 {
        harness.request(NON_IDEMPOTENT);
        for ((id, attempt), out) in harness.in_flight.clone() {
            trials += usize::from(n >= 120 && unhealthy(out.endpoint));
            all += usize::from(n >= 120);
            harness.finish(
                id,
                attempt,
                if unhealthy(out.endpoint) {
                    Outcome::Error
                } else {
                    Outcome::Ok
                },
            );
        }
        harness.advance(500 * MS);
    }
    assert!(trials >= 1 && trials * 12 <= all, "{trials} of {all}");
}

#[test]
fn unhealthy_endpoints_do_not_spread_requests_over_the_whole_fleet() {
    let mut harness = Harness::new(
        Settings {
            instances: 1000,
            ..default_settings()
        },
        64,
        5,
    );
    let mut used_endpoints = std::collections::BTreeSet::new();
    for _ in 0..200 {
        harness.request(NON_IDEMPOTENT);
        for ((id, attempt), out) in harness.in_flight.clone() {
            used_endpoints.insert(out.endpoint);
            harness.finish(
                id,
                attempt,
                if out.endpoint % 4 > 0 {
                    Outcome::Error
                } else {
                    Outcome::Ok
                },
            );
        }
        harness.advance(500 * MS);
    }
    assert!(
        used_endpoints.len() <= 32,
        "{} of 64 endpoints used while three in four fail",
        used_endpoints.len()
    );
}

#[test]
fn an_outcome_long_after_the_last_one_has_more_weight() {
    for (interval, opens) in [(100 * MS, false), (10_000 * MS, true)] {
        let mut harness = Harness::new(default_settings(), 1, 1);
        endpoints_used(&mut harness, 5);
        harness.advance(interval);
        let (id, _) = harness.request(NON_IDEMPOTENT);
        let actions = harness.finish(id, 0, Outcome::Error);
        let opened = Action::Log("circuit of endpoint 0 open".to_owned());
        assert_eq!(actions.contains(&opened), opens, "after {interval}");
    }
}

// In a large fleet each sidecar uses an endpoint once in several seconds. With short latency
// objectives the previous outcome is outdated by then, so a single failure must open the circuit.
#[test]
fn the_age_of_an_outcome_is_measured_in_latency_objectives() {
    for (objective, opens) in [(1000 * MS, false), (250 * MS, true)] {
        let mut settings = default_settings();
        settings
            .classes
            .iter_mut()
            .for_each(|c| c.latency_objective = objective);
        let mut harness = Harness::new(settings, 1, 1);
        endpoints_used(&mut harness, 5);
        harness.advance(1500 * MS);
        let (id, _) = harness.request(NON_IDEMPOTENT);
        let actions = harness.finish(id, 0, Outcome::Error);
        let opened = Action::Log("circuit of endpoint 0 open".to_owned());
        assert_eq!(
            actions.contains(&opened),
            opens,
            "with an objective of {objective}"
        );
    }
}
