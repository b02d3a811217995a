//! What knowledge from an incarnation before does to decisions, and what it must not do.

mod common;
use common::*;
use load_balancer::*;

const SECOND: Micros = 1000 * MS;

fn known(endpoint: EndpointId, open: bool) -> RestoredEndpoint {
    RestoredEndpoint {
        endpoint,
        started: None,
        last_heard: START - 2 * SECOND,
        circuit_open: open,
        openings: 2 * u32::from(open),
        latency_per_work: 1.0,
        concurrency_limit: 2.0,
    }
}

/// Sends requests, answers those at endpoint 1 with `bad`, and says what was sent there.
fn sent_to_one(rig: &mut Rig, requests: usize, bad: Outcome) -> usize {
    let mut there = 0;
    for _ in 0..requests {
        let (id, actions) = rig.request(SAFE);
        let at = sent(&actions);
        there += at.iter().filter(|e| **e == 1).count();
        rig.now += 20 * MS;
        let outcome = if at.contains(&1) { bad } else { Outcome::Ok };
        rig.end(id, 0, outcome);
    }
    there
}

#[test]
fn an_open_circuit_comes_back_half_open_and_its_own_outcome_decides() {
    let mut fresh = Rig::new(settings(), 4, 1);
    let without = sent_to_one(&mut fresh, 60, Outcome::Error);
    let mut rig = Rig::new(settings(), 4, 1);
    rig.event(Event::Restored(vec![known(1, true)]));
    assert_eq!(rig.balancer.summary().circuits_open, 1);
    let with = sent_to_one(&mut rig, 60, Outcome::Error);
    assert!(with == 1 && with * 3 <= without, "{with} against {without}");
    assert_eq!(rig.balancer.summary().circuits_open, 1);
    // The same knowledge of one that is well again costs it nothing but the wait for a first
    // answer.
    let mut rig = Rig::new(settings(), 4, 1);
    rig.event(Event::Restored(vec![known(1, true)]));
    assert!(sent_to_one(&mut rig, 60, Outcome::Ok) > 8);
    assert_eq!(rig.balancer.summary().circuits_open, 0);
}

#[test]
fn a_process_that_was_started_since_is_unknown() {
    let started = Some(START - SECOND);
    for (listed, kept) in [
        (started, None),
        (None, started),
        (started, Some(START - 9 * SECOND)),
    ] {
        let mut rig = Rig::new(settings(), 4, 1);
        rig.event(Event::Endpoints(ListUpdate::Full(
            (0..4)
                .map(|e| Listing {
                    started: listed,
                    ..listing(e)
                })
                .collect(),
        )));
        rig.event(Event::Restored(vec![RestoredEndpoint {
            started: kept,
            ..known(1, true)
        }]));
        assert_eq!(
            rig.balancer.summary().circuits_open,
            0,
            "{listed:?} {kept:?}"
        );
    }
    // One that the list says was started only later is unknown from then on.
    let mut rig = Rig::new(settings(), 4, 1);
    rig.event(Event::Restored(vec![known(1, true)]));
    rig.event(Event::Endpoints(ListUpdate::Delta(vec![Listing {
        started,
        ..listing(1)
    }])));
    assert_eq!(rig.balancer.summary().circuits_open, 0);
}

#[test]
fn what_is_unlisted_drains_or_comes_from_the_future_gets_nothing_by_it() {
    let mut rig = Rig::new(settings(), 3, 1);
    let draining = Listing {
        status: Status::Draining,
        ..listing(1)
    };
    rig.event(Event::Endpoints(ListUpdate::Delta(vec![draining])));
    let future = RestoredEndpoint {
        last_heard: START + SECOND,
        ..known(2, true)
    };
    let senseless = [f64::NAN, 0.0, f64::INFINITY].map(|slow| RestoredEndpoint {
        latency_per_work: slow,
        ..known(0, true)
    });
    rig.event(Event::Restored(
        [
            vec![known(77, false), known(1, false), future],
            senseless.to_vec(),
        ]
        .concat(),
    ));
    let used = used(&mut rig, 12);
    assert!(
        !used.contains(&1) && used.contains(&0) && used.contains(&2),
        "{used:?}"
    );
    assert!(!rig.balancer.knows(77));
    assert_eq!(rig.balancer.summary().circuits_open, 0);
}

#[test]
fn own_answers_stand_above_it_and_what_is_handed_on_grows_no_younger() {
    let mut rig = Rig::new(settings(), 4, 1);
    rig.event(Event::Restored(vec![known(1, true), known(2, false)]));
    let told = rig.balancer.export();
    assert_eq!(told, [known(1, true), known(2, false)]);
    let mut later = Rig::new(settings(), 4, 1);
    used(&mut later, 12);
    let before = later.balancer.export();
    later.event(Event::Restored((0..4).map(|e| known(e, true)).collect()));
    assert_eq!(
        later.balancer.export(),
        before,
        "each was sent something since"
    );
}

/// Pace is a prior: after the time in which what is learnt fades, one that knew and one that did
/// not part their turns alike.
#[test]
fn pace_from_before_gives_way_to_own_answers() {
    let mut rig = Rig::new(settings(), 4, 1);
    let slow = |e| RestoredEndpoint {
        latency_per_work: if e == 1 { 4.0 } else { 1.0 },
        ..known(e, false)
    };
    rig.event(Event::Restored((0..4).map(slow).collect()));
    let first = sent_to_one(&mut rig, 40, Outcome::Ok);
    sent_to_one(&mut rig, 2000, Outcome::Ok);
    let last = sent_to_one(&mut rig, 40, Outcome::Ok);
    assert!(first < 8 && last >= 9, "{first}, then {last} of 40");
}
