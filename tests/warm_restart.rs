//! Effect of state restored from an earlier incarnation, and its limits.

mod common;
use common::*;
use load_balancer::*;

const SECOND: Micros = 1000 * MS;

fn known(endpoint: EndpointId, open: bool) -> RestoredEndpoint {
    RestoredEndpoint {
        endpoint,
        started: None,
        last_outcome_at: START - 2 * SECOND,
        circuit_open: open,
        openings: 2 * u32::from(open),
        latency_per_work: 1.0,
        concurrency_limit: 2.0,
    }
}

/// Sends requests and ends those at endpoint 1 with `bad`. Returns how many were sent there.
fn sent_to_one(harness: &mut Harness, requests: usize, bad: Outcome) -> usize {
    let mut there = 0;
    for _ in 0..requests {
        let (id, actions) = harness.request(IDEMPOTENT);
        let at = endpoints_sent_to(&actions);
        there += at.iter().filter(|e| **e == 1).count();
        harness.now += 20 * MS;
        let outcome = if at.contains(&1) { bad } else { Outcome::Ok };
        harness.finish(id, 0, outcome);
    }
    there
}

#[test]
fn an_open_circuit_is_restored_as_half_open() {
    let mut fresh = Harness::new(default_settings(), 4, 1);
    let without = sent_to_one(&mut fresh, 60, Outcome::Error);
    let mut harness = Harness::new(default_settings(), 4, 1);
    harness.handle(Event::Restored(vec![known(1, true)]));
    assert_eq!(harness.balancer.summary().circuits_open, 1);
    let with = sent_to_one(&mut harness, 60, Outcome::Error);
    assert!(with == 1 && with * 3 <= without, "{with} against {without}");
    assert_eq!(harness.balancer.summary().circuits_open, 1);
    // If the endpoint has recovered, the restored state only delays the first requests to it.
    let mut harness = Harness::new(default_settings(), 4, 1);
    harness.handle(Event::Restored(vec![known(1, true)]));
    assert!(sent_to_one(&mut harness, 60, Outcome::Ok) > 8);
    assert_eq!(harness.balancer.summary().circuits_open, 0);
}

#[test]
fn state_of_an_earlier_process_is_not_restored() {
    let started = Some(START - SECOND);
    for (listed, kept) in [
        (started, None),
        (None, started),
        (started, Some(START - 9 * SECOND)),
    ] {
        let mut harness = Harness::new(default_settings(), 4, 1);
        harness.handle(Event::Endpoints(ListUpdate::Full(
            (0..4)
                .map(|e| ListedEndpoint {
                    started: listed,
                    ..listing(e)
                })
                .collect(),
        )));
        harness.handle(Event::Restored(vec![RestoredEndpoint {
            started: kept,
            ..known(1, true)
        }]));
        assert_eq!(
            harness.balancer.summary().circuits_open,
            0,
            "{listed:?} {kept:?}"
        );
    }
    // Once the list shows a later start, the restored state no longer applies.
    let mut harness = Harness::new(default_settings(), 4, 1);
    harness.handle(Event::Restored(vec![known(1, true)]));
    harness.handle(Event::Endpoints(ListUpdate::Delta(vec![ListedEndpoint {
        started,
        ..listing(1)
    }])));
    assert_eq!(harness.balancer.summary().circuits_open, 0);
}

#[test]
fn state_of_unlisted_or_draining_endpoints_or_from_the_future_is_ignored() {
    let mut harness = Harness::new(default_settings(), 3, 1);
    let draining = ListedEndpoint {
        status: EndpointStatus::Draining,
        ..listing(1)
    };
    harness.handle(Event::Endpoints(ListUpdate::Delta(vec![draining])));
    let future = RestoredEndpoint {
        last_outcome_at: START + SECOND,
        ..known(2, true)
    };
    let senseless = [f64::NAN, 0.0, f64::INFINITY].map(|slow| RestoredEndpoint {
        latency_per_work: slow,
        ..known(0, true)
    });
    harness.handle(Event::Restored(
        [
            vec![known(77, false), known(1, false), future],
            senseless.to_vec(),
        ]
        .concat(),
    ));
    let used = endpoints_used(&mut harness, 12);
    assert!(
        !used.contains(&1) && used.contains(&0) && used.contains(&2),
        "{used:?}"
    );
    assert!(!harness.balancer.is_known(77));
    assert_eq!(harness.balancer.summary().circuits_open, 0);
}

#[test]
fn own_answers_take_precedence_over_restored_state_which_keeps_its_age() {
    let mut harness = Harness::new(default_settings(), 4, 1);
    harness.handle(Event::Restored(vec![known(1, true), known(2, false)]));
    let told = harness.balancer.export();
    assert_eq!(told, [known(1, true), known(2, false)]);
    let mut later = Harness::new(default_settings(), 4, 1);
    endpoints_used(&mut later, 12);
    let before = later.balancer.export();
    later.handle(Event::Restored((0..4).map(|e| known(e, true)).collect()));
    assert_eq!(
        later.balancer.export(),
        before,
        "each was sent something since"
    );
}

/// Restored latencies are only a starting point: after the decay time an instance with them must
/// decide like one without.
#[test]
fn restored_latency_is_replaced_by_own_answers() {
    let mut harness = Harness::new(default_settings(), 4, 1);
    let slow = |e| RestoredEndpoint {
        latency_per_work: if e == 1 { 4.0 } else { 1.0 },
        ..known(e, false)
    };
    harness.handle(Event::Restored((0..4).map(slow).collect()));
    let first = sent_to_one(&mut harness, 40, Outcome::Ok);
    sent_to_one(&mut harness, 2000, Outcome::Ok);
    let last = sent_to_one(&mut harness, 40, Outcome::Ok);
    assert!(first < 8 && last >= 9, "{first}, then {last} of 40");
}
