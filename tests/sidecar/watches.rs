//! Calls to discovery that overlap, fail, or end without an answer.

use crate::ok;
use crate::stubs::*;
use std::time::{Duration, Instant};

/// The protocol assumes a change to be known this long after discovery had it, whatever calls fail.
const TOLD: Duration = Duration::from_secs(6);

/// `s-new` has replaced `s-old`, as a change or as the whole list.
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

/// Answers calls in this way until one requests changes after that version, which is returned.
pub fn tell(agent: &Agent, version: u64, answer: impl Fn(Call)) -> Call {
    let until = Instant::now() + TEST_TIMEOUT;
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

// Invariant: whatever interval between calls the settings permit, a discovery that failed is called
// again before its changes are assumed to be known.
#[test]
fn a_discovery_that_failed_often_is_called_again_before_its_changes_are_assumed_known() {
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

// One second has room for at most ten delays of 100 ms or more and a few shorter ones; a tight loop
// makes hundreds of calls.
#[test]
fn settings_without_an_interval_between_calls_cause_no_tight_loop() {
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

// The watch may have ended instead of a change: changes are requested without a wait, so that
// another call without an answer takes less time than a watch.
#[test]
fn after_a_broken_watch_changes_are_requested_without_a_wait() {
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
        // No answer again, directly after the watch was reopened.
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
        // An answer to the abandoned call is not read.
        second.answer(&list(9, true, &[("s-old", old.address, "active")]));
        assert_eq!(
            (body(&sidecar), old.requests()),
            (b"new".to_vec(), 0),
            "{mode}"
        );
    }
}

#[test]
fn watches_that_end_without_an_answer_miss_no_change() {
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

// Calls are at least 50 ms apart while a watch continues.
#[test]
fn watches_that_end_at_once_without_changes_cause_no_tight_loop() {
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

// An agent that has started over has new version numbers: changes to its list do not apply to the
// list that is held here.
#[test]
fn changes_under_a_lower_version_are_followed_by_the_whole_list() {
    let agent = Agent::start();
    let (old, new) = old_and_new();
    let sidecar = agent.sidecar("pushed", &[("s-old", &old)]);
    let mut call = tell(&agent, 41, |call| {
        call.answer(&list(41, true, &[("s-old", old.address, "active")]))
    });
    let until = Instant::now() + TEST_TIMEOUT;
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

// Clients can't use up the descriptors that discovery needs; if the system permits fewer than
// configured, discovery is called again once there are some.
#[test]
fn discovery_is_called_again_although_idle_clients_use_up_descriptors() {
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
        // They may use 20 of 64; beyond that, idle ones would be closed for each other.
        let clients: Vec<_> = (0..19).map(|_| sidecar.connect()).collect();
        if granted == 64 {
            wait_until("clients hold their part", || held() >= before + 15);
            watch.reset();
            let second = agent.call();
            assert_eq!(second.after(), Some(1));
            second.answer(&replaced(2, false, &old, &new));
            drop(clients);
        } else {
            wait_until("no descriptor is left", || held() >= granted as usize);
            watch.reset();
            // Whichever gets the descriptor, a client or discovery, the other one waits.
            wait_until("it is taken again", || held() >= granted as usize);
            drop(clients);
        }
        let _watch = tell(&agent, 2, |call| {
            call.answer(&replaced(2, false, &old, &new))
        });
        assert_eq!((body(&sidecar), old.requests()), (b"new".to_vec(), 0));
    }
}
