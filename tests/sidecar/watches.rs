//! Calls to discovery that cross each other, fail or end in place of telling.

use crate::ok;
use crate::stubs::*;
use std::time::{Duration, Instant};

/// After this time a change counts as told, whatever calls failed since discovery had it.
const TOLD: Duration = Duration::from_secs(6);

/// Where `s-new` has taken the place of `s-old`, as a change or as the whole list.
pub fn replaced(index: u64, snapshot: bool, old: &Endpoint, new: &Endpoint) -> String {
    let both = [
        ("s-old", old.address, "leaving"),
        ("s-new", new.address, "active"),
    ];
    list(index, snapshot, &both[usize::from(snapshot)..])
}

pub fn old_and_new() -> (Endpoint, Endpoint) {
    (
        Endpoint::start(|_| ok("old")),
        Endpoint::start(|_| ok("new")),
    )
}

/// Answers calls in this way until one asks for news after that version, which is given back.
pub fn tell(agent: &Agent, version: u64, answer: impl Fn(Call)) -> Call {
    let until = Instant::now() + LONG;
    while Instant::now() < until {
        let call = agent.call();
        if call.after() == Some(version) {
            return call;
        }
        answer(call);
    }
    panic!("version {version} was never taken in");
}

pub fn body(sidecar: &Sidecar) -> Vec<u8> {
    sidecar
        .ask(&request("book", "", ""))
        .expect("an answer")
        .body
}

// Invariant: whatever the settings allow between two questions, discovery that failed is asked
// again before what it has to tell counts as told.
#[test]
fn a_discovery_that_failed_often_is_asked_again_before_a_change_counts_as_told() {
    for within in ["30000000", "3600000000"] {
        let agent = Agent::start();
        let (old, new) = old_and_new();
        let sidecar = agent.sidecar_altered(&[("s-old", &old)], |config| {
            config.replace(
                "\"AskWithinUs\":2000000",
                &format!("\"AskWithinUs\":{within}"),
            )
        });
        for failure in 0..8 {
            let call = agent.call_within(TOLD);
            let call =
                call.unwrap_or_else(|| panic!("no call within {TOLD:?} of failure {failure}"));
            call.answer_as(503, "", "");
        }
        let change = replaced(2, false, &old, &new);
        let _watch = tell(&agent, 2, |call| call.answer(&change));
        assert_eq!((body(&sidecar), old.requests()), (b"new".to_vec(), 0));
    }
}

// A second holds at most ten waits of 100 ms or more and some shorter ones before them; a tight
// loop holds hundreds.
#[test]
fn settings_that_allow_no_time_between_two_questions_make_no_tight_loop() {
    for within in ["0", "1"] {
        let agent = Agent::start();
        let endpoint = Endpoint::start(|_| ok("served"));
        let _sidecar = agent.sidecar_altered(&[("s-1", &endpoint)], |config| {
            config.replace(
                "\"AskWithinUs\":2000000",
                &format!("\"AskWithinUs\":{within}"),
            )
        });
        agent.call().answer_as(503, "", "");
        let (until, mut calls) = (Instant::now() + Duration::from_secs(1), 0);
        while let Some(call) = agent.call_within(until.saturating_duration_since(Instant::now())) {
            call.answer_as(503, "", "");
            calls += 1;
        }
        assert!(calls <= 20, "{calls} calls in a second");
    }
}

// What ended the watch may have come in place of a change: it is asked for without a wait, so that
// silence right then does not last as long as a watch.
#[test]
fn after_a_watch_that_broke_what_it_may_have_missed_is_asked_for_without_a_wait() {
    for mode in ["on_request", "pushed"] {
        let agent = Agent::start();
        let (old, new) = old_and_new();
        let sidecar = agent.sidecar(mode, &[("s-old", &old)]);
        let first = agent.call();
        assert!(
            first.wait_ms().is_some_and(|ms| ms > 0),
            "{mode}: {}",
            first.start
        );
        first.reset();
        // Silent again directly after it was opened anew.
        let second = agent.call();
        assert_eq!(
            (second.after(), second.wait_ms()),
            (Some(1), Some(0)),
            "{mode}"
        );
        let third = agent.call();
        assert!(
            third.wait_ms().is_some_and(|ms| ms > 0),
            "{mode}: {}",
            third.start
        );
        third.answer(&replaced(2, false, &old, &new));
        let _watch = tell(&agent, 2, |call| {
            call.answer(&replaced(2, false, &old, &new))
        });
        // What the given-up call brings now is not read.
        second.answer(&list(9, true, &[("s-old", old.address, "active")]));
        assert_eq!(
            (body(&sidecar), old.requests()),
            (b"new".to_vec(), 0),
            "{mode}"
        );
    }
}

#[test]
fn watches_that_end_or_are_reset_in_place_of_an_answer_miss_no_change() {
    for reset in [false, true] {
        let agent = Agent::start();
        let (old, new) = old_and_new();
        let sidecar = agent.sidecar("pushed", &[("s-old", &old)]);
        for _ in 0..6 {
            let call = agent.call();
            assert_eq!(call.after(), Some(1));
            if reset { call.reset() } else { drop(call) }
        }
        let _watch = tell(&agent, 2, |call| {
            call.answer(&replaced(2, true, &old, &new))
        });
        assert_eq!((body(&sidecar), old.requests()), (b"new".to_vec(), 0));
    }
}

// Each is asked for 50 ms after the one before at the earliest, as a watch goes on.
#[test]
fn watches_that_end_at_once_without_news_make_no_tight_loop() {
    let agent = Agent::start();
    let (old, new) = old_and_new();
    let sidecar = agent.sidecar("pushed", &[("s-old", &old)]);
    let (until, mut calls) = (Instant::now() + Duration::from_secs(1), 0);
    while let Some(call) = agent.call_within(until.saturating_duration_since(Instant::now())) {
        assert_eq!(call.after(), Some(1));
        call.answer(&list(1, false, &[]));
        calls += 1;
    }
    assert!((1..=25).contains(&calls), "{calls} calls in a second");
    let _watch = tell(&agent, 2, |call| {
        call.answer(&replaced(2, false, &old, &new))
    });
    assert_eq!((body(&sidecar), old.requests()), (b"new".to_vec(), 0));
}

// An agent that began anew numbers its versions anew: changes to what it held do not fit to what is
// held here.
#[test]
fn changes_under_a_lower_version_are_followed_by_the_whole_list() {
    let agent = Agent::start();
    let (old, new) = old_and_new();
    let sidecar = agent.sidecar("pushed", &[("s-old", &old)]);
    let mut call = tell(&agent, 41, |call| {
        call.answer(&list(41, true, &[("s-old", old.address, "active")]))
    });
    let until = Instant::now() + LONG;
    while call.after() == Some(41) && Instant::now() < until {
        call.answer(&list(3, false, &[]));
        call = agent.call();
    }
    let whole = call;
    assert_eq!(whole.after(), None, "{}", whole.start);
    whole.answer(&replaced(3, true, &old, &new));
    let _watch = tell(&agent, 3, |call| {
        call.answer(&replaced(3, true, &old, &new))
    });
    assert_eq!((body(&sidecar), old.requests()), (b"new".to_vec(), 0));
}

// A whole list counts whatever its version.
#[test]
fn a_whole_list_under_a_lower_version_is_followed() {
    let agent = Agent::start();
    let (old, new) = old_and_new();
    let sidecar = agent.sidecar("pushed", &[("s-old", &old)]);
    let watch = tell(&agent, 41, |call| {
        call.answer(&list(41, true, &[("s-old", old.address, "active")]))
    });
    watch.answer(&replaced(3, true, &old, &new));
    let _watch = tell(&agent, 3, |call| {
        call.answer(&replaced(3, true, &old, &new))
    });
    assert_eq!((body(&sidecar), old.requests()), (b"new".to_vec(), 0));
}

// Clients may take no descriptor that discovery needs; where the system grants fewer than it says,
// discovery is called again once there are some.
#[test]
fn discovery_is_called_again_though_idle_clients_fill_the_descriptors() {
    for granted in [64, 24] {
        let agent = Agent::start();
        let (old, new) = old_and_new();
        let sidecar = agent.sidecar_granted(&[("s-old", &old)], granted, 64);
        let watch = agent.call();
        let held = || {
            std::fs::read_dir(format!("/proc/{}/fd", sidecar.process.id()))
                .map_or(0, Iterator::count)
        };
        let before = held();
        // Of 64 they may hold 20; from there on idle ones would make way for each other.
        let clients: Vec<_> = (0..19).map(|_| sidecar.connect()).collect();
        if granted == 64 {
            await_that("clients hold their part", || held() >= before + 15);
            watch.reset();
            let second = agent.call();
            assert_eq!(second.after(), Some(1));
            second.answer(&replaced(2, false, &old, &new));
            drop(clients);
        } else {
            await_that("no descriptor is left", || held() >= granted as usize);
            watch.reset();
            // Whoever gets it, a client or discovery, the other waits.
            await_that("it is taken again", || held() >= granted as usize);
            drop(clients);
        }
        let _watch = tell(&agent, 2, |call| {
            call.answer(&replaced(2, false, &old, &new))
        });
        assert_eq!((body(&sidecar), old.requests()), (b"new".to_vec(), 0));
    }
}
