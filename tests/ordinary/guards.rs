//! Circuit breaker and bulkhead.

use crate::common::*;
use load_balancer::*;

#[test]
fn a_circuit_opens_allows_one_trial_request_and_closes() {
    let mut harness = Harness::new(default_settings(), 2, 4);
    let mut opened = false;
    for _ in 0..12 {
        let (id, actions) = harness.request(IDEMPOTENT);
        let bad = endpoints_sent_to(&actions)[0] == 0;
        harness.advance(10 * MS);
        let after = harness.finish(id, 0, if bad { Outcome::Reset } else { Outcome::Ok });
        opened |= after
            .iter()
            .any(|a| matches!(a, Action::Log(t) if t.contains("open")));
        harness.serve_all(150 * MS);
    }
    assert!(opened);
    let to_zero = (0..6)
        .filter(|_| endpoints_sent_to(&harness.request(IDEMPOTENT).1) == [0])
        .count();
    assert_eq!(to_zero, 0, "an endpoint with an open circuit gets nothing");
    harness.serve_all(20 * MS);
    harness.advance(9000 * MS);
    let tries: Vec<_> = (0..4)
        .flat_map(|_| endpoints_sent_to(&harness.request(IDEMPOTENT).1))
        .collect();
    assert_eq!(
        tries.iter().filter(|e| **e == 0).count(),
        1,
        "half-open: one trial request at a time"
    );
    harness.serve_all(20 * MS);
    harness.advance(9000 * MS);
    let again: Vec<_> = (0..4)
        .flat_map(|_| endpoints_sent_to(&harness.request(IDEMPOTENT).1))
        .collect();
    assert!(
        again.iter().filter(|e| **e == 0).count() > 1,
        "closed again: {again:?}"
    );
}

#[test]
fn a_failed_trial_opens_the_circuit_again() {
    let mut harness = Harness::new(default_settings(), 2, 4);
    for _ in 0..60 {
        let (id, actions) = harness.request(IDEMPOTENT);
        harness.advance(10 * MS);
        for (n, e) in (0..).zip(endpoints_sent_to(&actions)) {
            harness.finish(
                id,
                n,
                if e == 0 {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Ok
                },
            );
        }
        harness.serve_all(200 * MS);
    }
    harness.advance(9000 * MS);
    let first: Vec<_> = (0..3).map(|_| harness.request(IDEMPOTENT)).collect();
    let trial = first
        .iter()
        .find(|(_, a)| endpoints_sent_to(a) == [0])
        .expect("a trial")
        .0;
    harness.finish(trial, 0, Outcome::ConnectFailed);
    harness.serve_all(20 * MS);
    let later: Vec<_> = (0..4)
        .flat_map(|_| endpoints_sent_to(&harness.request(IDEMPOTENT).1))
        .collect();
    assert!(!later.contains(&0), "{later:?}");
}

#[test]
fn one_bad_request_does_not_open_a_circuit() {
    let mut harness = Harness::new(default_settings(), 3, 4);
    for _ in 0..9 {
        harness.request(IDEMPOTENT);
        harness.serve_all(20 * MS);
    }
    let (id, _) = harness.request(IDEMPOTENT);
    for n in 0..3 {
        harness.finish(id, n, Outcome::Error);
        harness.advance(200 * MS);
    }
    let mut used = Vec::new();
    for _ in 0..6 {
        used.extend(endpoints_sent_to(&harness.request(IDEMPOTENT).1));
        harness.serve_all(20 * MS);
    }
    used.sort_unstable();
    used.dedup();
    assert_eq!(used, [0, 1, 2]);
}

// Two consecutive errors are far below half of an endpoint's outcomes.
#[test]
fn errors_in_pairs_among_many_answers_open_no_circuit() {
    let mut harness = Harness::new(default_settings(), 1, 4);
    let opened = Action::Log("circuit of endpoint 0 open".to_owned());
    let mut end = |outcome| {
        let (id, _) = harness.request(NON_IDEMPOTENT);
        harness.advance(20 * MS);
        harness.finish(id, 0, outcome)
    };
    let mut seen = Vec::new();
    for n in 0..60 {
        seen.extend(end(if n % 12 < 10 {
            Outcome::Ok
        } else {
            Outcome::Reset
        }));
    }
    assert!(!seen.contains(&opened));
    assert!(
        (0..4).any(|_| end(Outcome::Reset).contains(&opened)),
        "errors alone open it"
    );
}

#[test]
fn with_all_circuits_open_a_request_backs_off_and_is_rejected() {
    let mut harness = Harness::new(default_settings(), 2, 4);
    for _ in 0..10 {
        let (id, actions) = harness.request(IDEMPOTENT);
        for n in 0..endpoints_sent_to(&actions).len() {
            harness.finish(id, n as AttemptIndex, Outcome::Reset);
        }
        harness.advance(MS);
    }
    for (request, attempt) in harness.in_flight.keys().copied().collect::<Vec<_>>() {
        harness.finish(request, attempt, Outcome::Reset);
    }
    let (id, actions) = harness.request(NON_IDEMPOTENT);
    assert!(endpoints_sent_to(&actions).is_empty() && !is_rejected(&actions, id));
    assert!(
        is_rejected(&harness.advance(1000 * MS), id),
        "it never ran, so it may safely be repeated"
    );
}

#[test]
fn requests_queue_only_while_all_endpoints_are_at_their_limit() {
    let mut harness = Harness::new(default_settings(), 2, 4);
    let ids: Vec<_> = (0..5).map(|_| harness.request(IDEMPOTENT)).collect();
    let waiting: Vec<_> = ids
        .iter()
        .filter(|(_, a)| endpoints_sent_to(a).is_empty())
        .map(|(id, _)| *id)
        .collect();
    assert_eq!(waiting.len(), 1, "limits of two at two endpoints");
    harness.advance(50 * MS);
    let after = harness.finish(ids[0].0, 0, Outcome::Ok);
    assert_eq!(endpoints_sent_to(&after).len(), 1);
    assert!(harness.in_flight.contains_key(&(waiting[0], 0)));
}

#[test]
fn a_request_that_queues_too_long_is_rejected() {
    let mut harness = Harness::new(default_settings(), 2, 4);
    let last = (0..9)
        .map(|_| harness.request(NON_IDEMPOTENT).0)
        .last()
        .expect("nine requests");
    assert!(is_rejected(&harness.advance(450 * MS), last));
}

#[test]
fn a_rejection_has_a_retry_after_if_clients_honour_it() {
    for (may, most, within) in [
        (true, 2000 * MS, 1..=1000 * MS),
        (true, 5 * MS, 1..=5 * MS),
        (false, 0, 0..=0),
    ] {
        let mut settings = default_settings();
        (settings.limits.retry_after, settings.limits.max_retry_after) = (may, most);
        let mut harness = Harness::new(settings, 0, 4);
        let (id, mut actions) = harness.request(IDEMPOTENT);
        actions.extend(harness.advance(1000 * MS));
        let named = actions.iter().find_map(|a| match a {
            Action::Reject {
                request,
                retry_after,
            } if *request == id => Some(*retry_after),
            _ => None,
        });
        assert!(
            named.is_some_and(|n| within.contains(&n)),
            "{named:?} of {within:?}"
        );
    }
}

#[test]
fn limits_grow_with_fast_answers_and_shrink_with_slow_ones() {
    let most = |time: Micros| {
        let mut harness = Harness::new(default_settings(), 2, 4);
        for _ in 0..30 {
            (0..12).for_each(|_| drop(harness.request(IDEMPOTENT)));
            harness.serve_all(time);
            harness.advance(500 * MS);
        }
        (0..40).for_each(|_| drop(harness.request(IDEMPOTENT)));
        harness.in_flight.len()
    };
    let (quick, slow) = (most(30 * MS), most(900 * MS));
    assert!(quick > 8 && slow < 8, "{quick} {slow}");
}
