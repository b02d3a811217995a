//! Changes of the endpoint list.

use crate::common::*;
use crate::delta;
use load_balancer::*;

#[test]
fn draining_and_removed_endpoints_get_nothing_at_once() {
    for status in [EndpointStatus::Draining, EndpointStatus::Removed] {
        let mut harness = Harness::new(default_settings(), 3, 1);
        delta(
            &mut harness,
            ListedEndpoint {
                status,
                ..listing(1)
            },
        );
        assert!(!endpoints_used(&mut harness, 12).contains(&1));
        delta(&mut harness, listing(1));
        assert!(endpoints_used(&mut harness, 12).contains(&1));
    }
}

#[test]
fn endpoints_missing_from_a_full_list_are_removed() {
    let mut harness = Harness::new(default_settings(), 3, 1);
    harness.handle(Event::Endpoints(ListUpdate::Full(vec![
        listing(0),
        listing(2),
    ])));
    assert!(!endpoints_used(&mut harness, 12).contains(&1));
}

#[test]
fn without_endpoints_requests_are_rejected_in_time() {
    let mut harness = Harness::new(default_settings(), 1, 1);
    harness.handle(Event::Endpoints(ListUpdate::Full(Vec::new())));
    let (id, _) = harness.request(NON_IDEMPOTENT);
    assert!(is_rejected(&harness.advance(1000 * MS), id));
}

#[test]
fn a_queued_request_is_not_sent_to_an_endpoint_that_began_to_drain() {
    let mut harness = Harness::new(default_settings(), 1, 1);
    (0..5).for_each(|_| drop(harness.request(IDEMPOTENT)));
    delta(
        &mut harness,
        ListedEndpoint {
            status: EndpointStatus::Draining,
            ..listing(0)
        },
    );
    harness.advance(10 * MS);
    assert!(endpoints_sent_to(&harness.finish(1, 0, Outcome::Ok)).is_empty());
}

#[test]
fn discovery_is_called_at_the_start_and_after_failures_with_backoff() {
    let mut settings = default_settings();
    settings.discovery = Discovery::OnRequest;
    let mut balancer = Balancer::new(settings.clone(), 1).expect("usable settings");
    let mut actions = Vec::new();
    balancer.handle(
        START,
        Event::Endpoints(ListUpdate::Cached(vec![listing(0)])),
        &mut actions,
    );
    assert!(actions.contains(&Action::Subscribe(true)));
    let mut harness = Harness::new(settings, 1, 1);
    let mut waits = Vec::new();
    for _ in 0..12 {
        harness.handle(Event::Endpoints(ListUpdate::Failed));
        let failed = harness.now;
        while harness
            .advance(10 * MS)
            .iter()
            .all(|a| *a != Action::Subscribe(true))
        {
            assert!(
                harness.now - failed < harness.settings.rules.poll_interval,
                "calls within the interval"
            );
        }
        waits.push(harness.now - failed);
    }
    assert!(waits[3] > waits[0], "{waits:?}");
    harness.handle(Event::Endpoints(ListUpdate::Delta(Vec::new())));
    harness.handle(Event::Endpoints(ListUpdate::Failed));
    assert!(
        harness
            .advance(1500 * MS)
            .contains(&Action::Subscribe(true)),
        "a success resets the backoff"
    );
}

// Changes missed by a broken push count as notified, so the subscription must be renewed within
// 0.8 s.
#[test]
fn a_broken_push_subscription_is_soon_renewed() {
    let settings = Settings {
        discovery: Discovery::Pushed,
        ..default_settings()
    };
    let mut harness = Harness::new(settings, 2, 1);
    for (failure, within) in [(0, 100), (1, 200), (2, 400), (3, 800), (20, 800)] {
        let actions = harness.handle(Event::Endpoints(ListUpdate::Failed));
        assert!(
            !actions.contains(&Action::Subscribe(true)),
            "not in a tight loop"
        );
        assert!(
            harness
                .advance(within * MS)
                .contains(&Action::Subscribe(true)),
            "failure {failure}"
        );
    }
}

// Endpoints that are replaced repeatedly must not slow down each pick, so their ids are reused.
#[test]
fn a_removed_endpoint_is_forgotten_once_no_open_request_used_it() {
    let gone = |endpoint| ListedEndpoint {
        status: EndpointStatus::Removed,
        ..listing(endpoint)
    };
    let mut harness = Harness::new(default_settings(), 2, 5);
    let (id, actions) = harness.request(IDEMPOTENT);
    let [first] = endpoints_sent_to(&actions)[..] else {
        panic!("one attempt")
    };
    let other = 1 - first;
    delta(&mut harness, gone(first));
    assert!(
        harness.balancer.is_known(first),
        "its answer may still arrive"
    );
    harness.finish(id, 0, Outcome::Ok);
    delta(&mut harness, listing(other));
    assert!(!harness.balancer.is_known(first) && harness.balancer.is_known(other));
    delta(
        &mut harness,
        ListedEndpoint {
            status: EndpointStatus::Draining,
            ..listing(other)
        },
    );
    assert!(
        harness.balancer.is_known(other),
        "a draining endpoint is still listed"
    );
    // Its id may be reused for another endpoint, which starts without state and is picked as usual.
    delta(&mut harness, listing(first));
    assert_eq!(endpoints_used(&mut harness, 1), [first]);
    harness.handle(Event::Endpoints(ListUpdate::Full(vec![listing(other)])));
    assert!(
        !harness.balancer.is_known(first),
        "a full list without it removes it"
    );
}

#[test]
fn an_endpoint_id_above_the_limit_is_ignored() {
    let mut harness = Harness::new(default_settings(), 2, 1);
    delta(&mut harness, listing(EndpointId::MAX));
    assert!(endpoints_used(&mut harness, 8).iter().all(|e| *e < 2));
}
