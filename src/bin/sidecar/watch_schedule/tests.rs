//! The times of calls for the list against those after which changes count as told.

use super::*;
use load_balancer::{Action, Balancer, Event, ListUpdate, Micros, settings};
use std::collections::BTreeSet;

/// After a reload what discovery has to tell counts as told in this time.
const TOLD_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// What an answer that comes at once may take on its way.
const ON_ITS_WAY: Duration = Duration::from_millis(150);
/// Longest times between two questions that settings may allow, in microseconds.
const ASK_WITHIN: [Micros; 9] = [
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

/// How a call ends that brings no list.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Lost {
    /// Nothing comes back.
    Silent,
    /// The connection never comes up.
    Unconnected,
    /// It is refused, or answered at once with an error or something that is no list.
    Refused,
    /// The connection is reset or closed just before the call would be given up.
    ResetLate,
}

const LOST: [Lost; 4] = [
    Lost::Silent,
    Lost::Unconnected,
    Lost::Refused,
    Lost::ResetLate,
];

/// Follows a list as `discovery` and the engine do: the module says when to begin anew after a call
/// that failed.
struct Follower {
    balancer: Balancer,
    timers: BTreeSet<(Micros, u64)>,
    watching: WatchSchedule,
    now: Micros,
    news: bool,
    chance: f64,
}

impl Follower {
    fn new(mode: &str, ask_within: Micros, news: bool, chance: f64, seed: u64) -> Self {
        let text = format!(
            r#"{{"Balancers":300,"Discovery":"{mode}","Index":0,
            "Lanes":[{{"AimUs":1000000,"DeadlineUs":2000000,"Effect":"pure","Name":"any"}}],
            "Limits":{{"MaxAttempts":3}},"Rules":{{"AskWithinUs":{ask_within},"ColdShare":0.3,"OverloadFactor":3.0,
            "TipAfterUs":1500000,"WarmWithinUs":8900000}},"TickUs":5000}}"#
        );
        let settings = settings::decode(&text).expect("settings").settings;
        let balancer = Balancer::new(settings, seed).expect("usable settings");
        let (timers, watching) = (BTreeSet::new(), WatchSchedule::new(false));
        let mut follower = Self {
            balancer,
            timers,
            watching,
            now: 1_000_000,
            news,
            chance,
        };
        follower.handle(Event::Endpoints(ListUpdate::Cached(Vec::new())));
        follower
    }

    /// Whether the module asks for a watch.
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

    /// Lets the next timer go off.
    fn wake(&mut self) -> bool {
        let (at, token) = self.timers.pop_first().expect("a timer runs");
        self.now = self.now.max(at);
        self.handle(Event::Timer(token))
    }

    /// A call that is lost in this way; returns when it began.
    fn lose(&mut self, how: Lost) -> Micros {
        let (begun, call) = (self.now, self.watching.call(self.news, self.chance));
        let took = match how {
            Lost::Silent => call.within,
            Lost::Unconnected => PATIENCE.min(call.within),
            Lost::Refused => Duration::ZERO,
            Lost::ResetLate => call.within - Duration::from_millis(1),
        };
        let ended = begun + took.as_micros() as Micros;
        // What the module asks for while a call is out is not done.
        while self.timers.first().is_some_and(|timer| timer.0 <= ended) {
            self.wake();
        }
        self.now = ended;
        self.handle(Event::Endpoints(ListUpdate::Failed));
        match how {
            Lost::Silent | Lost::Unconnected => self.watching.silent(),
            Lost::Refused | Lost::ResetLate => {
                while !self.wake() {}
                self.watching = WatchSchedule::new(true);
            }
        }
        begun
    }
}

/// Every order of so many lost calls.
fn orders(calls: u32) -> impl Iterator<Item = Vec<Lost>> {
    let kinds = LOST.len();
    (0..kinds.pow(calls)).map(move |n| (0..calls).map(|i| LOST[n / kinds.pow(i) % kinds]).collect())
}

/// When each call of every order begins, under all settings.
fn every_order(calls: u32, check: impl Fn(&[Micros], &str)) {
    for mode in ["pushed", "on_request"] {
        for ask_within in ASK_WITHIN {
            for (news, chance) in [(false, 1.0), (true, 0.0), (true, 1.0)] {
                for (seed, order) in orders(calls).enumerate() {
                    let mut follower = Follower::new(mode, ask_within, news, chance, seed as u64);
                    let begun: Vec<_> = order.iter().map(|how| follower.lose(*how)).collect();
                    check(
                        &begun,
                        &format!("{mode} {ask_within} {news} {order:?} {begun:?}"),
                    );
                }
            }
        }
    }
}

fn micros(time: Duration) -> Micros {
    time.as_micros() as Micros
}

// Invariant: a call that a change just missed, and one more, may be lost in whatever way: a third
// begins in time for its answer before the change counts as told.
#[test]
fn two_calls_may_be_lost_before_a_change_counts_as_told() {
    every_order(5, |begun, what| {
        for three in begun.windows(3) {
            assert!(
                three[2] - three[0] + micros(ON_ITS_WAY) <= micros(TOLD),
                "{what}"
            );
        }
    });
}

// Invariant: the same from the signal of a reload on, after which the whole list is asked for, with
// whatever failures at the old address the module remembers.
#[test]
fn two_calls_may_be_lost_after_a_reload_before_changes_count_as_told() {
    for mode in ["pushed", "on_request"] {
        for ask_within in ASK_WITHIN {
            for (seed, order) in orders(3).enumerate() {
                let mut follower = Follower::new(mode, ask_within, false, 1.0, seed as u64);
                for _ in 0..20 {
                    follower.lose(Lost::Refused);
                }
                follower.watching = WatchSchedule::new(false);
                let begun: Vec<_> = order.iter().map(|how| follower.lose(*how)).collect();
                let last = begun[2] - begun[0] + micros(ON_ITS_WAY);
                assert!(
                    last <= micros(TOLD_AFTER_RELOAD),
                    "{mode} {ask_within} {order:?} {begun:?}"
                );
            }
        }
    }
}

// Invariant: no settings have a discovery that refuses called in a tight loop, and the waits grow.
#[test]
fn refused_calls_are_spaced_by_waits_that_grow() {
    for mode in ["pushed", "on_request"] {
        for ask_within in ASK_WITHIN {
            let mut follower = Follower::new(mode, ask_within, true, 1.0, 7);
            let begun: Vec<_> = (0..12).map(|_| follower.lose(Lost::Refused)).collect();
            let waits: Vec<_> = begun.windows(2).map(|two| two[1] - two[0]).collect();
            assert!(
                waits.iter().all(|wait| *wait >= 10_000),
                "{mode} {ask_within} {waits:?}"
            );
            assert!(
                waits[6..].iter().all(|wait| *wait >= 100_000),
                "{mode} {ask_within} {waits:?}"
            );
        }
    }
}

// Processes whose calls were refused in the same instant must not all call again in one, where they
// share a discovery.
#[test]
fn the_calls_of_many_processes_are_spread() {
    let mut last: Vec<_> = (0..300)
        .map(|seed| {
            let mut follower = Follower::new("on_request", 10_000_000, true, 1.0, seed);
            for _ in 0..8 {
                follower.lose(Lost::Refused);
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

// What the agent gets as discovery returns counts as told at once where lists are pushed: a call
// must be open then. A silent call is followed at once; it has taken time enough, so that this is
// no tight loop.
#[test]
fn a_silence_is_never_without_an_open_call_and_no_tight_loop() {
    for news in [true, false] {
        let mut watching = WatchSchedule::new(false);
        for _ in 0..20 {
            assert!(watching.call(news, 0.0).within >= PATIENCE);
            watching.silent();
        }
    }
}

#[test]
fn an_agent_that_takes_three_seconds_is_heard_again() {
    for news in [true, false] {
        let mut watching = WatchSchedule::new(false);
        let calls = (0..3).map(|_| {
            let call = watching.call(news, 0.0);
            watching.silent();
            call
        });
        assert!(
            calls
                .max_by_key(|c| c.within)
                .is_some_and(|c| c.within > Duration::from_secs(3))
        );
    }
}

// The protocol: a watch goes on as long as each call comes within 200 ms of the last answer.
#[test]
fn a_watch_that_was_answered_waits_again() {
    let mut watching = WatchSchedule::new(true);
    assert_eq!(
        watching.call(true, 1.0).wait,
        Duration::ZERO,
        "what was missed comes first"
    );
    watching.answered();
    assert!(watching.call(true, 0.0).wait > Duration::ZERO);
}
