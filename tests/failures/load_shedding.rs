//! Load shedding once answers are late or slow.

use crate::common::*;
use load_balancer::*;

/// Sends requests that are answered after `time` each. Returns how many were admitted.
fn admitted(harness: &mut Harness, requests: usize, time: Micros) -> usize {
    let before = harness.attempts_sent.len();
    for _ in 0..requests {
        harness.request(NON_IDEMPOTENT);
        harness.advance(500 * MS);
        for ((id, n), out) in harness.in_flight.clone() {
            if harness.now - out.sent_at >= time {
                harness.finish(id, n, Outcome::Ok);
            }
        }
    }
    harness.attempts_sent.len() - before
}

#[test]
fn late_answers_shed_a_part_of_the_load_but_never_all_of_it() {
    let mut harness = Harness::new(
        Settings {
            instances: 1000,
            ..default_settings()
        },
        12,
        1,
    );
    assert_eq!(admitted(&mut harness, 40, 500 * MS), 40);
    admitted(&mut harness, 40, 1500 * MS);
    let late = admitted(&mut harness, 60, 1500 * MS);
    assert!(
        (6..=40).contains(&late),
        "{late} of 60 admitted while all answers are late"
    );
    admitted(&mut harness, 60, 500 * MS);
    let recovered = admitted(&mut harness, 40, 500 * MS);
    assert_eq!(
        recovered, 40,
        "all are admitted once answers are in time again"
    );
}

// Overloaded servers fail before their answers exceed the objective, so shedding must start earlier.
#[test]
fn slow_answers_shed_load_while_they_are_still_within_the_objective() {
    let mut harness = Harness::new(
        Settings {
            instances: 100,
            ..default_settings()
        },
        60,
        4,
    );
    let mut admitted = |time: Micros| {
        let before = harness.attempts_sent.len();
        for _ in 0..200 {
            harness.request_with(NON_IDEMPOTENT, 3000 * MS, None, Some(100 * MS));
            harness.advance(50 * MS);
            for ((id, attempt), out) in harness.in_flight.clone() {
                if harness.now - out.sent_at >= time {
                    harness.finish(id, attempt, Outcome::Ok);
                }
            }
        }
        harness.attempts_sent.len() - before
    };
    assert_eq!(admitted(100 * MS), 200);
    let overloaded = admitted(250 * MS);
    assert!(
        (80..=190).contains(&overloaded),
        "{overloaded} of 200 admitted at 2.5 times the latency"
    );
    let slow = admitted(500 * MS);
    assert!(
        (4..=60).contains(&slow),
        "{slow} of 200 admitted at five times the latency, half of the objective"
    );
    admitted(100 * MS);
    assert_eq!(
        admitted(100 * MS),
        200,
        "all are admitted at the original latency"
    );
}

/// Returns how many requests are rejected at sixteen per second and twelve servers, of which the
/// silent ones never answer and the others answer after 100 ms.
fn rejected_of(requests: usize, silent: &[EndpointId]) -> usize {
    let mut harness = Harness::new(
        Settings {
            instances: 6,
            ..default_settings()
        },
        12,
        1,
    );
    let mut rejections = 0;
    for n in 0..100 + requests {
        let (id, actions) = harness.request_with(NON_IDEMPOTENT, 3000 * MS, None, Some(100 * MS));
        rejections += usize::from(n >= 100 && is_rejected(&actions, id));
        harness.advance(60 * MS);
        for ((id, attempt), out) in harness.in_flight.clone() {
            let is_silent = n >= 100 && silent.contains(&out.endpoint);
            if harness.now - out.sent_at >= 100 * MS && !is_silent {
                harness.finish(id, attempt, Outcome::Ok);
            }
        }
    }
    rejections
}

// Attempts at silent servers last until their timeout, while all other servers answer normally.
#[test]
fn attempts_stuck_at_silent_servers_are_no_overload() {
    assert_eq!(rejected_of(200, &[]), 0);
    let rejections = rejected_of(200, &[1, 3, 5, 7, 9, 11]);
    assert!(
        rejections <= 10,
        "{rejections} of 200 rejected while half of the servers are silent"
    );
}
