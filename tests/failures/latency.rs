//! What slow endpoints, groups and kinds lose of their turns.

use crate::common::*;
use load_balancer::*;

// A stalled answer is one error in the breaker's eyes. It says nothing of the pace of the answers
// that come.
#[test]
fn one_answer_that_never_comes_costs_an_endpoint_no_requests() {
    let mut rig = Rig::new(settings(), 3, 1);
    let part = |rig: &mut Rig| used(rig, 60).iter().filter(|e| **e == 2).count();
    let before = part(&mut rig);
    loop {
        let (id, actions) = rig.request_for(UNSAFE, 400 * MS, None, None);
        if sent(&actions)[0] == 2 {
            rig.wait(400 * MS);
            assert!(rig.out.is_empty(), "it has timed out");
            break;
        }
        rig.wait(20 * MS);
        rig.end(id, 0, Outcome::Ok);
    }
    let after = part(&mut rig);
    assert!(
        after * 4 >= before * 3,
        "{after} of 60 turns, {before} before"
    );
}

#[test]
fn others_slow_requests_do_not_make_an_endpoint_silent() {
    let mut rig = Rig::new(settings(), 4, 1);
    used(&mut rig, 40);
    let (_, actions) = rig.request(SAFE);
    let held = sent(&actions)[0];
    let logs = rig.wait(450 * MS);
    assert!(
        !logs.iter().any(|a| matches!(a, Action::Log(_))),
        "{held} answers within half the aim"
    );
}

#[test]
fn a_slow_endpoint_without_errors_loses_its_requests() {
    let mut rig = Rig::new(settings(), 4, 1);
    used(&mut rig, 80);
    let (mut slow, mut all) = (0, 0);
    for round in 0..1200 {
        let (_, actions) = rig.request(SAFE);
        if round > 600 {
            slow += sent(&actions).iter().filter(|e| **e == 3).count();
            all += sent(&actions).len();
        }
        rig.wait(50 * MS);
        for ((id, n), out) in rig.out.clone() {
            if rig.now - out.sent >= if out.endpoint == 3 { 700 * MS } else { 90 * MS } {
                rig.end(id, n, Outcome::Ok);
            }
        }
    }
    assert!(slow * 12 < all, "{slow} of {all}");
}

#[test]
fn slower_endpoints_have_fewer_requests_even_without_overload() {
    let mut rig = Rig::new(settings(), 4, 1);
    let mut slow = 0;
    for _ in 0..200 {
        let first = sent(&rig.request(SAFE).1)[0] == 0;
        slow += usize::from(first);
        rig.serve(if first { 80 * MS } else { 20 * MS });
    }
    assert!((8..40).contains(&slow), "{slow}");
}

// A sidecar with little traffic takes seconds for a round: by then what it learnt at the last send
// is old.
#[test]
fn a_turn_follows_what_was_learnt_since_the_last_one() {
    let mut rig = Rig::new(settings(), 4, 1);
    let kinds = (0..4).map(|e| Listing {
        kind: Some(e),
        ..listing(e)
    });
    rig.event(Event::Endpoints(ListUpdate::Full(kinds.collect())));
    for _ in 0..40 {
        rig.request(UNSAFE);
        rig.serve(100 * MS);
    }
    // One endpoint's answer takes twenty times as long as the others' while none else has a turn.
    let (slow, _) = rig.request(UNSAFE);
    let crowded = rig.out[&(slow, 0)].endpoint;
    rig.wait(2000 * MS);
    rig.end(slow, 0, Outcome::Ok);
    let to: Vec<_> = (0..4)
        .map(|_| {
            let (id, _) = rig.request(UNSAFE);
            let to = rig.out[&(id, 0)].endpoint;
            rig.serve(100 * MS);
            to
        })
        .collect();
    assert!(!to.contains(&crowded), "{to:?} after {crowded} was slow");
}

/// Sidecar traffic of two requests a second over eight seconds, each answered by its endpoint's own
/// time; returns what each endpoint got in the second half.
fn sparse(rig: &mut Rig, requests: usize, time: impl Fn(EndpointId) -> Micros) -> Vec<EndpointId> {
    let mut to = Vec::new();
    for n in 0..requests {
        let (_, actions) = rig.request(SAFE);
        if n >= requests / 2 {
            to.extend(sent(&actions));
        }
        let until = rig.now + 500 * MS;
        while let Some((at, key)) = rig
            .out
            .iter()
            .map(|(k, o)| (o.sent + time(o.endpoint), *k))
            .min()
        {
            if at > until {
                break;
            }
            rig.until(at);
            if rig.out.contains_key(&key) {
                rig.end(key.0, key.1, Outcome::Ok);
            }
        }
        rig.until(until);
    }
    to
}

#[test]
fn what_one_endpoint_shows_of_its_kind_holds_for_those_not_yet_met() {
    let mut slow = 0;
    for seed in 0..20 {
        let mut rig = Rig::new(
            Settings {
                instances: 1000,
                ..settings()
            },
            0,
            seed,
        );
        let kind = |endpoint| Listing {
            kind: Some(endpoint % 2),
            ..listing(endpoint)
        };
        rig.event(Event::Endpoints(ListUpdate::Full(
            (0..40).map(kind).collect(),
        )));
        let to = sparse(
            &mut rig,
            48,
            |e| if e % 2 == 1 { 900 * MS } else { 90 * MS },
        );
        slow += to.iter().filter(|e| **e % 2 == 1).count();
    }
    assert!(slow <= 160, "{slow} of 480 to the slow kind");
}

// A limited group is overdriven within a second by many sidecars, each of which sees an endpoint
// once in seconds.
#[test]
fn a_group_that_slows_down_together_soon_gets_fewer_requests() {
    let in_slow = |endpoint: EndpointId| endpoint / 8 == 1;
    let mut to_slow = 0;
    for seed in 0..20 {
        let mut rig = Rig::new(
            Settings {
                instances: 100,
                ..settings()
            },
            0,
            seed,
        );
        let grouped = |endpoint| Listing {
            cell: endpoint as u64 / 8,
            ..listing(endpoint)
        };
        rig.event(Event::Endpoints(ListUpdate::Full(
            (0..40).map(grouped).collect(),
        )));
        let to = sparse(
            &mut rig,
            40,
            |e| if in_slow(e) { 900 * MS } else { 90 * MS },
        );
        to_slow += to.iter().filter(|e| in_slow(**e)).count();
    }
    // One in five endpoints, and one in five of 400 sends if nothing were learnt.
    assert!(to_slow <= 40, "{to_slow} of 400 to the slow group");
}

// Choked servers at a third of their pace need rest, and a third of their turns keeps them just as
// busy.
#[test]
fn a_group_three_times_as_slow_gets_less_than_a_third_of_its_requests() {
    let in_slow = |endpoint: EndpointId| endpoint / 8 == 1;
    let mut to_slow = 0;
    for seed in 0..20 {
        let mut rig = Rig::new(
            Settings {
                instances: 100,
                ..settings()
            },
            0,
            seed,
        );
        let grouped = |endpoint| Listing {
            cell: endpoint as u64 / 8,
            ..listing(endpoint)
        };
        rig.event(Event::Endpoints(ListUpdate::Full(
            (0..40).map(grouped).collect(),
        )));
        let to = sparse(
            &mut rig,
            80,
            |e| if in_slow(e) { 270 * MS } else { 90 * MS },
        );
        to_slow += to.iter().filter(|e| in_slow(**e)).count();
    }
    // A fifth of 800 sends is 160.
    assert!(to_slow <= 90, "{to_slow} of 800 to the slow group");
}
