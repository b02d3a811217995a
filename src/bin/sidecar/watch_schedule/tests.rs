//! Tests that changes are received before the protocol assumes them to be known.

mod overload;

use super::*;
use load_balancer::{Action, Balancer, Event, ListUpdate, Micros, settings};
use std::collections::BTreeSet;

/// The same deadline after a reload.
const RELOAD_CHANGE_DEADLINE: Duration = Duration::from_secs(4);
/// Time that an immediate answer takes to arrive.
const ANSWER_DELAY: Duration = Duration::from_millis(150);
/// Values of the setting for the longest interval between fetches, in microseconds.
const MAX_FETCH_INTERVALS: [Micros; 9] = [
    0,
    1,
    1000,
    300_000,
    1_000_000,
    2_000_000,
    10_000_000,
    30_000_000,
    (1 << 50) - 1,
];

/// How a call without a list ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FailedCall {
    /// There is no answer.
    Silent,
    /// The connection is never established.
    Unconnected,
    /// The connection is refused, or the answer is an error or not a list.
    Refused,
    /// Discovery answers that it is overloaded.
    Overloaded,
    /// The connection is reset or closed just before the call times out.
    ResetLate,
}

const FAILED_CALLS: [FailedCall; 5] = [
    FailedCall::Silent,
    FailedCall::Unconnected,
    FailedCall::Refused,
    FailedCall::Overloaded,
    FailedCall::ResetLate,
];

/// Follows a list as `discovery` and the engine do: after a failed call the module requests the
/// next watch.
struct Follower {
    mode: String,
    balancer: Balancer,
    timers: BTreeSet<(Micros, u64)>,
    schedule: WatchSchedule,
    now: Micros,
    knows_version: bool,
    random: f64,
}

impl Follower {
    fn new(
        mode: &str,
        max_fetch_interval: Micros,
        knows_version: bool,
        random: f64,
        seed: u64,
    ) -> Self {
        let text = format!(
            r#"{{"Balancers":300,"Discovery":"{mode}","Index":0,
            "Lanes":[{{"AimUs":1000000,"DeadlineUs":2000000,"Effect":"pure","Name":"any"}}],
            "Limits":{{"MaxAttempts":3}},"Rules":{{"AskWithinUs":{max_fetch_interval},"ColdShare":0.3,"OverloadFactor":3.0,
            "TipAfterUs":1500000,"WarmWithinUs":8900000}},"TickUs":5000}}"#
        );
        let settings = settings::decode(&text).expect("settings").settings;
        let balancer = Balancer::new(settings, seed).expect("usable settings");
        let (timers, schedule) = (BTreeSet::new(), WatchSchedule::new(false));
        let mut follower = Self {
            mode: mode.to_owned(),
            balancer,
            timers,
            schedule,
            now: 1_000_000,
            knows_version,
            random,
        };
        follower.handle(Event::Endpoints(ListUpdate::Cached(Vec::new())));
        follower
    }

    /// Passes an event to the module; returns whether it requests a watch.
    fn handle(&mut self, event: Event) -> bool {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::SetTimer { after, token } = action {
                self.timers.insert((self.now + after, *token));
            }
        }
        actions.contains(&Action::Subscribe(true))
    }

    /// Fires the next timer.
    fn fire_next_timer(&mut self) -> bool {
        let (at, token) = self.timers.pop_first().expect("a timer runs");
        self.now = self.now.max(at);
        self.handle(Event::Timer(token))
    }

    /// Performs a call that fails in this way; returns when it began.
    fn fail_call(&mut self, how: FailedCall) -> Micros {
        let (started, call) = (
            self.now,
            self.schedule.next_call(self.knows_version, self.random),
        );
        let elapsed = match how {
            FailedCall::Silent => call.timeout,
            FailedCall::Unconnected => CALL_TIMEOUT.min(call.timeout),
            FailedCall::Refused | FailedCall::Overloaded => Duration::ZERO,
            FailedCall::ResetLate => call.timeout - Duration::from_millis(1),
        };
        let ended = started + elapsed.as_micros() as Micros;
        // Requests of the module during a call have no effect.
        while self.timers.first().is_some_and(|timer| timer.0 <= ended) {
            self.fire_next_timer();
        }
        self.now = ended;
        self.handle(Event::Endpoints(ListUpdate::Failed));
        match how {
            FailedCall::Silent | FailedCall::Unconnected => self.schedule.record_timeout(),
            FailedCall::Overloaded if self.mode == "on_request" => {
                let delay = self.schedule.record_refusal(None, self.random);
                let next = ended + delay.as_micros() as Micros;
                while self.timers.first().is_some_and(|timer| timer.0 <= next) {
                    self.fire_next_timer();
                }
                self.now = next;
            }
            FailedCall::Refused | FailedCall::Overloaded | FailedCall::ResetLate => {
                while !self.fire_next_timer() {}
                self.schedule = WatchSchedule::new(true);
            }
        }
        started
    }
}

/// Every sequence of that many failed calls.
fn failure_sequences(calls: u32) -> impl Iterator<Item = Vec<FailedCall>> {
    let kinds = FAILED_CALLS.len();
    (0..kinds.pow(calls)).map(move |n| {
        (0..calls)
            .map(|i| FAILED_CALLS[n / kinds.pow(i) % kinds])
            .collect()
    })
}

/// Checks the start times of the calls in every sequence, under all settings.
fn check_every_sequence(calls: u32, check: impl Fn(&[Micros], &str)) {
    for mode in ["pushed", "on_request"] {
        for max_fetch_interval in MAX_FETCH_INTERVALS {
            for (knows_version, random) in [(false, 1.0), (true, 0.0), (true, 1.0)] {
                for (seed, sequence) in failure_sequences(calls).enumerate() {
                    let mut follower =
                        Follower::new(mode, max_fetch_interval, knows_version, random, seed as u64);
                    let starts: Vec<_> = sequence
                        .iter()
                        .map(|how| follower.fail_call(*how))
                        .collect();
                    check(
                        &starts,
                        &format!(
                            "{mode} {max_fetch_interval} {knows_version} {sequence:?} {starts:?}"
                        ),
                    );
                }
            }
        }
    }
}

fn micros(time: Duration) -> Micros {
    time.as_micros() as Micros
}

// Invariant: the call that just misses a change and the next one may fail in any way; a third
// begins in time for its answer to arrive before the deadline of the change.
#[test]
fn two_calls_may_be_lost_before_a_change_counts_as_told() {
    check_every_sequence(5, |starts, what| {
        for three in starts.windows(3) {
            assert!(
                three[2] - three[0] + micros(ANSWER_DELAY) <= micros(CHANGE_DEADLINE),
                "{what}"
            );
        }
    });
}

// Invariant: the same holds after a reload, which fetches the whole list, whatever failures at the
// old address the module remembers.
#[test]
fn two_calls_may_be_lost_after_a_reload_before_changes_count_as_told() {
    for mode in ["pushed", "on_request"] {
        for max_fetch_interval in MAX_FETCH_INTERVALS {
            for (seed, sequence) in failure_sequences(3).enumerate() {
                let mut follower = Follower::new(mode, max_fetch_interval, false, 1.0, seed as u64);
                for _ in 0..20 {
                    follower.fail_call(FailedCall::Refused);
                }
                follower.schedule = WatchSchedule::new(false);
                let starts: Vec<_> = sequence
                    .iter()
                    .map(|how| follower.fail_call(*how))
                    .collect();
                let last = starts[2] - starts[0] + micros(ANSWER_DELAY);
                assert!(
                    last <= micros(RELOAD_CHANGE_DEADLINE),
                    "{mode} {max_fetch_interval} {sequence:?} {starts:?}"
                );
            }
        }
    }
}

// Invariant: no settings cause a discovery that refuses calls to be called in a tight loop, and the
// delays grow.
#[test]
fn refused_calls_are_spaced_by_waits_that_grow() {
    for mode in ["pushed", "on_request"] {
        for max_fetch_interval in MAX_FETCH_INTERVALS {
            let mut follower = Follower::new(mode, max_fetch_interval, true, 1.0, 7);
            let starts: Vec<_> = (0..12)
                .map(|_| follower.fail_call(FailedCall::Refused))
                .collect();
            let waits: Vec<_> = starts.windows(2).map(|two| two[1] - two[0]).collect();
            assert!(
                waits.iter().all(|wait| *wait >= 10_000),
                "{mode} {max_fetch_interval} {waits:?}"
            );
            assert!(
                waits[6..].iter().all(|wait| *wait >= 100_000),
                "{mode} {max_fetch_interval} {waits:?}"
            );
        }
    }
}

// Processes whose calls were refused at the same time must not all call a shared discovery again at
// the same time.
#[test]
fn the_calls_of_many_processes_are_spread() {
    let mut last: Vec<_> = (0..300)
        .map(|seed| {
            let mut follower = Follower::new("on_request", 10_000_000, true, 1.0, seed);
            for _ in 0..8 {
                follower.fail_call(FailedCall::Refused);
            }
            follower.now
        })
        .collect();
    last.sort_unstable();
    assert!(
        last.windows(100).all(|w| w[99] - w[0] > 50_000),
        "a third of the calls within 50 ms"
    );
}

// If lists are pushed, changes count as known as soon as discovery returns, so a call must be open
// then. A call that times out is followed at once; as it has taken its time, this is no tight loop.
#[test]
fn a_silence_is_never_without_an_open_call_and_no_tight_loop() {
    for knows_version in [true, false] {
        let mut schedule = WatchSchedule::new(false);
        for _ in 0..20 {
            assert!(schedule.next_call(knows_version, 0.0).timeout >= CALL_TIMEOUT);
            schedule.record_timeout();
        }
    }
}

#[test]
fn an_agent_that_takes_three_seconds_is_heard_again() {
    for knows_version in [true, false] {
        let mut schedule = WatchSchedule::new(false);
        let calls = (0..3).map(|_| {
            let call = schedule.next_call(knows_version, 0.0);
            schedule.record_timeout();
            call
        });
        assert!(
            calls
                .max_by_key(|c| c.timeout)
                .is_some_and(|c| c.timeout > Duration::from_secs(3))
        );
    }
}

// Protocol: a watch continues as long as each call comes within 200 ms of the last answer.
#[test]
fn a_watch_that_was_answered_waits_again() {
    let mut schedule = WatchSchedule::new(true);
    assert_eq!(
        schedule.next_call(true, 1.0).wait,
        Duration::ZERO,
        "what was missed comes first"
    );
    schedule.record_answer();
    assert!(schedule.next_call(true, 0.0).wait > Duration::ZERO);
}

// After one without a wait the watch would have to be admitted by a second call, which an overloaded
// discovery refuses again: no watch was ever opened then.
#[test]
fn a_refused_call_is_followed_by_one_that_waits_for_changes() {
    for after_failure in [false, true] {
        let mut schedule = WatchSchedule::new(after_failure);
        for _ in 0..10 {
            schedule.record_refusal(None, 0.5);
            assert!(schedule.next_call(true, 0.0).wait > Duration::ZERO);
        }
    }
}

#[test]
fn a_refusal_that_says_when_to_call_again_is_honoured_up_to_the_deadline_of_changes() {
    let delay =
        |retry_after, random| WatchSchedule::new(false).record_refusal(Some(retry_after), random);
    let second = Duration::from_secs(1);
    assert!(delay(second, 0.0) >= second);
    assert!(
        delay(second, 1.0) > delay(second, 0.0),
        "all call again together"
    );
    for random in [0.0, 0.5, 1.0] {
        assert!(delay(Duration::MAX, random) <= MAX_REFUSAL_DELAY);
        assert!(delay(Duration::ZERO, random) > Duration::ZERO);
    }
}
