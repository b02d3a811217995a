//! How requests and their attempts end, and events without a matching request.

use crate::common::*;
use load_balancer::*;

#[test]
fn every_request_is_answered_before_its_deadline() {
    for class in [IDEMPOTENT, IDEMPOTENT_BY_KEY, NON_IDEMPOTENT] {
        let mut harness = Harness::new(default_settings(), 2, 1);
        let (id, _) = harness.request_with(class, 700 * MS, None, None);
        let due = START + 700 * MS;
        let mut actions = Vec::new();
        while harness.now < due {
            actions.extend(harness.advance(5 * MS));
        }
        assert!(
            is_rejected(&actions, id) || is_failed(&actions, id),
            "class {class}"
        );
        assert!(endpoints_sent_to(&harness.advance(3000 * MS)).is_empty());
    }
}

#[test]
fn a_request_without_time_left_is_rejected_without_an_attempt() {
    for left in [0, -5, 1, 10] {
        let mut harness = Harness::new(default_settings(), 2, 1);
        let (id, actions) = harness.request_with(NON_IDEMPOTENT, left * MS, None, None);
        assert!(
            is_rejected(&actions, id) && endpoints_sent_to(&actions).is_empty(),
            "{left} ms left"
        );
    }
}

#[test]
fn a_started_stream_has_no_deadline_and_its_interruption_ends_the_request() {
    let mut harness = Harness::new(default_settings(), 2, 1);
    let (id, _) = harness.request_with(IDEMPOTENT, 500 * MS, None, None);
    harness.handle(Event::StreamStarted {
        request: id,
        attempt: 0,
    });
    let out = harness.in_flight.remove(&(id, 0)).expect("sent");
    assert!(
        !harness
            .advance(5000 * MS)
            .iter()
            .any(|a| matches!(a, Action::Reject { .. } | Action::Fail(_)))
    );
    let end = AttemptEnd {
        request: id,
        attempt: 0,
        endpoint: out.endpoint,
        outcome: Outcome::Reset,
        elapsed: 5000 * MS,
        request_answered: true,
        load: LoadReport::default(),
    };
    assert!(
        !harness
            .handle(Event::AttemptEnded(end))
            .iter()
            .any(|a| matches!(a, Action::Reject { .. } | Action::Fail(_)))
    );
}

#[test]
fn a_long_stream_counts_neither_as_a_timeout_nor_as_slow() {
    let mut harness = Harness::new(default_settings(), 2, 1);
    let (id, actions) = harness.request(IDEMPOTENT);
    harness.advance(800 * MS);
    let at = endpoints_sent_to(&actions)[0];
    harness.handle(Event::StreamStarted {
        request: id,
        attempt: 0,
    });
    harness.in_flight.remove(&(id, 0)).expect("sent");
    let end = |attempt, outcome, settled| {
        let (endpoint, took, load) = (at, 1000 * MS, LoadReport::default());
        Event::AttemptEnded(AttemptEnd {
            request: id,
            attempt,
            endpoint,
            outcome,
            elapsed: took,
            request_answered: settled,
            load,
        })
    };
    let quiet = harness.advance(60_000 * MS);
    assert!(
        !quiet
            .iter()
            .any(|a| matches!(a, Action::Log(_) | Action::Fail(_) | Action::Reject { .. })),
        "{quiet:?}"
    );
    assert!(
        harness
            .handle(end(0, Outcome::Ok, true))
            .iter()
            .all(|a| matches!(a, Action::SetTimer { .. }))
    );
    assert!(endpoints_used(&mut harness, 8).contains(&at));
}

#[test]
fn unknown_and_repeated_events_change_nothing() {
    let mut harness = Harness::new(default_settings(), 2, 1);
    let (id, _) = harness.request(IDEMPOTENT);
    let end = AttemptEnd {
        request: id,
        attempt: 0,
        endpoint: harness.in_flight[&(id, 0)].endpoint,
        outcome: Outcome::Error,
        elapsed: 1,
        request_answered: false,
        load: LoadReport::default(),
    };
    for odd in [
        Event::Timer(99),
        Event::Abandoned(77),
        Event::StreamStarted {
            request: 77,
            attempt: 3,
        },
        Event::AttemptEnded(AttemptEnd { request: 77, ..end }),
        Event::AttemptEnded(AttemptEnd { attempt: 5, ..end }),
        Event::AttemptEnded(AttemptEnd {
            endpoint: 50,
            ..end
        }),
        Event::ProbeEnded {
            endpoint: 9,
            outcome: Outcome::Ok,
            elapsed: 1,
            load: LoadReport::default(),
        },
        Event::PeerMessage {
            from: 3,
            bytes: vec![1, 2],
        },
    ] {
        let text = format!("{odd:?}");
        assert!(harness.handle(odd).is_empty(), "{text}");
    }
    harness.handle(Event::AttemptEnded(end));
    assert!(harness.handle(Event::AttemptEnded(end)).is_empty());
}

#[test]
fn a_client_disconnect_ends_the_request_and_its_attempt() {
    let mut harness = Harness::new(default_settings(), 2, 1);
    let (id, _) = harness.request(IDEMPOTENT);
    assert_eq!(
        harness.handle(Event::Abandoned(id)),
        [Action::Cancel {
            request: id,
            attempt: 0
        }]
    );
    assert!(harness.finish(id, 0, Outcome::Cancelled).is_empty());
}

// A client may send any number of requests with a far deadline, each of which ends at once.
#[test]
fn timers_of_ended_requests_do_not_accumulate() {
    const REQUESTS: usize = 100_000;
    const HOUR: Micros = 3_600_000 * MS;
    let mut harness = Harness::new(default_settings(), 2, 1);
    for _ in 0..REQUESTS {
        let (id, _) = harness.request_with(IDEMPOTENT, HOUR, None, None);
        harness.handle(Event::Abandoned(id));
    }
    let timers = harness.balancer.summary().timers;
    assert!(timers < REQUESTS / 4, "{timers} timers");
}
