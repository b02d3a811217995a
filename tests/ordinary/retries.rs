//! Retries: which are allowed, and their backoff.

use crate::common::*;
use load_balancer::*;

#[test]
fn backoffs_grow_between_their_bounds_and_are_jittered() {
    let mut waits = [Vec::new(), Vec::new()];
    for seed in 0..40 {
        let mut settings = default_settings();
        settings.limits.max_attempts = 5;
        let mut harness = Harness::new(settings, 8, seed);
        let (id, _) = harness.request(IDEMPOTENT);
        for (n, seen) in waits.iter_mut().enumerate() {
            let failed = harness.now;
            harness.finish(id, n as AttemptIndex, Outcome::Error);
            harness.advance(200 * MS);
            let wait = harness.in_flight[&(id, n as AttemptIndex + 1)].sent_at - failed;
            assert!(
                (1000 * MS / 64..=1000 * MS / 8 + 5 * MS).contains(&wait),
                "{wait}"
            );
            seen.push(wait);
        }
    }
    let mean = |w: &[Micros]| w.iter().sum::<Micros>() / w.len() as Micros;
    assert!(mean(&waits[1]) > mean(&waits[0]) * 5 / 4);
    let different: std::collections::BTreeSet<_> = waits[1].iter().collect();
    assert!(different.len() > 20);
}

#[test]
fn timeouts_and_backoffs_fit_the_time_left() {
    for left in [200, 700, 2000, 3500] {
        let mut harness = Harness::new(default_settings(), 4, 3);
        let (id, _) = harness.request_with(IDEMPOTENT, left * MS, None, Some(20 * MS));
        let first = harness.in_flight[&(id, 0)].timeout;
        let usable = left * MS - 10 * MS;
        let fits = (0..3).any(|r| {
            (r + 1) * first + r * 125 * MS <= usable && (r + 2) * first > usable - 125 * 3 * MS
        });
        assert!(first > 0 && fits, "{left}: {first}");
    }
    let mut harness = Harness::new(default_settings(), 4, 3);
    let (id, _) = harness.request_with(NON_IDEMPOTENT, 3000 * MS, None, Some(20 * MS));
    assert_eq!(
        harness.in_flight[&(id, 0)].timeout,
        2990 * MS,
        "a non-idempotent request is not retried after a timeout"
    );
}

#[test]
fn retries_prefer_an_endpoint_not_yet_tried() {
    for seed in 0..20 {
        let mut harness = Harness::new(default_settings(), 3, seed);
        let (id, first) = harness.request(IDEMPOTENT);
        harness.finish(id, 0, Outcome::Error);
        let second = endpoints_sent_to(&harness.advance(200 * MS));
        harness.finish(id, 1, Outcome::Error);
        let third = endpoints_sent_to(&harness.advance(200 * MS));
        let mut all = [endpoints_sent_to(&first)[0], second[0], third[0]];
        all.sort_unstable();
        assert_eq!(all, [0, 1, 2]);
    }
}

/// What follows a first attempt, for every class and outcome.
#[test]
fn which_outcomes_are_retried_for_each_class() {
    use Outcome::*;
    for outcome in [
        Error,
        Rejected,
        TimedOut,
        ConnectFailed,
        Reset,
        Cancelled,
        NotSent,
    ] {
        for class in [IDEMPOTENT, IDEMPOTENT_BY_KEY, NON_IDEMPOTENT] {
            let mut harness = Harness::new(default_settings(), 6, 5);
            let (id, first) = harness.request(class);
            harness.advance(10 * MS);
            let mut after = harness.finish(id, 0, outcome);
            after.extend(harness.advance(200 * MS));
            if class == NON_IDEMPOTENT && !outcome.never_ran() {
                assert!(
                    is_failed(&after, id) && endpoints_sent_to(&after).is_empty(),
                    "{outcome:?}"
                );
                continue;
            }
            let next = endpoints_sent_to(&after);
            assert_eq!(next.len(), 1, "{class} {outcome:?}");
            if class == IDEMPOTENT_BY_KEY && !outcome.never_ran() {
                assert_eq!(
                    next[0] / 2,
                    endpoints_sent_to(&first)[0] / 2,
                    "must stay in its cell after {outcome:?}"
                );
            }
        }
    }
}

#[test]
fn requests_with_idempotency_keys_are_retried_only_while_repeats_are_dropped() {
    let mut settings = default_settings();
    settings.classes[IDEMPOTENT_BY_KEY].late_value = 0.5;
    let mut harness = Harness::new(settings, 1, 5);
    let (id, _) = harness.request(IDEMPOTENT_BY_KEY);
    harness.advance(1190 * MS);
    let mut after = harness.finish(id, 0, Outcome::Error);
    after.extend(harness.advance(1500 * MS));
    assert!(endpoints_sent_to(&after).is_empty());
    assert!(
        is_failed(&after, id),
        "it may have run, so it cannot be rejected"
    );
}

#[test]
fn attempts_are_bounded() {
    let mut harness = Harness::new(default_settings(), 8, 2);
    let (id, _) = harness.request(IDEMPOTENT);
    let mut actions = Vec::new();
    for n in 0..3 {
        actions.extend(harness.finish(id, n, Outcome::Error));
        actions.extend(harness.advance(200 * MS));
    }
    assert_eq!(harness.attempts_sent[&id], 3);
    assert!(is_rejected(&actions, id));
}
