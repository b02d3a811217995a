//! What the module does as the list changes.

use crate::common::*;
use crate::delta;
use load_balancer::*;

#[test]
fn draining_and_gone_endpoints_get_nothing_at_once() {
    for status in [Status::Draining, Status::Gone] {
        let mut rig = Rig::new(settings(), 3, 1);
        delta(
            &mut rig,
            Listing {
                status,
                ..listing(1)
            },
        );
        assert!(!used(&mut rig, 12).contains(&1));
        delta(&mut rig, listing(1));
        assert!(used(&mut rig, 12).contains(&1));
    }
}

#[test]
fn what_a_full_list_leaves_out_is_gone() {
    let mut rig = Rig::new(settings(), 3, 1);
    rig.event(Event::Endpoints(ListUpdate::Full(vec![
        listing(0),
        listing(2),
    ])));
    assert!(!used(&mut rig, 12).contains(&1));
}

#[test]
fn with_no_endpoint_at_all_requests_are_refused_in_time() {
    let mut rig = Rig::new(settings(), 1, 1);
    rig.event(Event::Endpoints(ListUpdate::Full(Vec::new())));
    let (id, _) = rig.request(UNSAFE);
    assert!(refused(&rig.wait(1000 * MS), id));
}

#[test]
fn a_waiting_request_does_not_go_to_an_endpoint_that_began_to_drain() {
    let mut rig = Rig::new(settings(), 1, 1);
    (0..5).for_each(|_| drop(rig.request(SAFE)));
    delta(
        &mut rig,
        Listing {
            status: Status::Draining,
            ..listing(0)
        },
    );
    rig.wait(10 * MS);
    assert!(sent(&rig.end(1, 0, Outcome::Ok)).is_empty());
}

#[test]
fn discovery_is_asked_at_start_and_again_after_failures_with_waits() {
    let mut set = settings();
    set.discovery = Discovery::OnRequest;
    let mut balancer = Balancer::new(set.clone(), 1).expect("usable settings");
    let mut actions = Vec::new();
    balancer.handle(
        START,
        Event::Endpoints(ListUpdate::Cached(vec![listing(0)])),
        &mut actions,
    );
    assert!(actions.contains(&Action::Subscribe(true)));
    let mut rig = Rig::new(set, 1, 1);
    let mut waits = Vec::new();
    for _ in 0..12 {
        rig.event(Event::Endpoints(ListUpdate::Failed));
        let failed = rig.now;
        while rig
            .wait(10 * MS)
            .iter()
            .all(|a| *a != Action::Subscribe(true))
        {
            assert!(
                rig.now - failed < rig.set.rules.poll_interval,
                "asks inside the interval"
            );
        }
        waits.push(rig.now - failed);
    }
    assert!(waits[3] > waits[0], "{waits:?}");
    rig.event(Event::Endpoints(ListUpdate::Delta(Vec::new())));
    rig.event(Event::Endpoints(ListUpdate::Failed));
    assert!(
        rig.wait(1500 * MS).contains(&Action::Subscribe(true)),
        "a success starts the waits anew"
    );
}

// What a broken push did not bring counts as told all the same: it is asked for anew within 0.8 s.
#[test]
fn a_broken_push_of_the_list_is_soon_asked_for_anew() {
    let set = Settings {
        discovery: Discovery::Pushed,
        ..settings()
    };
    let mut rig = Rig::new(set, 2, 1);
    for (failure, within) in [(0, 100), (1, 200), (2, 400), (3, 800), (20, 800)] {
        let actions = rig.event(Event::Endpoints(ListUpdate::Failed));
        assert!(
            !actions.contains(&Action::Subscribe(true)),
            "not in a tight loop"
        );
        assert!(
            rig.wait(within * MS).contains(&Action::Subscribe(true)),
            "failure {failure}"
        );
    }
}

// Endpoints that are replaced over and over must not make each pick dearer: their numbers come free
// again.
#[test]
fn a_gone_endpoint_is_forgotten_once_no_open_request_has_been_there() {
    let gone = |endpoint| Listing {
        status: Status::Gone,
        ..listing(endpoint)
    };
    let mut rig = Rig::new(settings(), 2, 5);
    let (id, actions) = rig.request(SAFE);
    let [first] = sent(&actions)[..] else {
        panic!("one attempt")
    };
    let other = 1 - first;
    delta(&mut rig, gone(first));
    assert!(rig.balancer.knows(first), "its answer may still come");
    rig.end(id, 0, Outcome::Ok);
    delta(&mut rig, listing(other));
    assert!(!rig.balancer.knows(first) && rig.balancer.knows(other));
    delta(
        &mut rig,
        Listing {
            status: Status::Draining,
            ..listing(other)
        },
    );
    assert!(rig.balancer.knows(other), "one that drains is still listed");
    // Its number may go to another, which begins anew and gets its turns.
    delta(&mut rig, listing(first));
    assert_eq!(used(&mut rig, 1), [first]);
    rig.event(Event::Endpoints(ListUpdate::Full(vec![listing(other)])));
    assert!(
        !rig.balancer.knows(first),
        "a whole list without it is enough"
    );
}

#[test]
fn an_endpoint_number_out_of_all_bounds_is_ignored() {
    let mut rig = Rig::new(settings(), 2, 1);
    delta(&mut rig, listing(EndpointId::MAX));
    assert!(used(&mut rig, 8).iter().all(|e| *e < 2));
}
