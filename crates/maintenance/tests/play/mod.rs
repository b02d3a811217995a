//! Audits a history independently of the state machine's own accounts.
#![allow(dead_code)]

mod moves;

use load_balancer_maintenance::{
    Action, DisruptionBudget, Event, Health, Machine, Outcome, Span, State, Step, WindowView,
};

use std::collections::BTreeMap;

use crate::world::{World, budget};

/// Delayed words between the leader, the thing acted on, and back.
#[derive(Clone)]
pub enum Wire {
    Action(Action),
    Event(Event),
}

/// How far leaders' clocks are apart, in milliseconds: observations may be older by that than it
/// seems.
pub const SKEW_MS: i64 = 300;

pub struct Play {
    pub rng: fastrand::Rng,
    pub world: World,
    pub budget: DisruptionBudget,
    pub machine: Machine,
    /// Leaders of before that may still act, with what they knew.
    pub old: Vec<Machine>,
    pub wires: Vec<(i64, Wire)>,
    pub asked: u64,
    /// Length and overrun by a request's name.
    pub requests: BTreeMap<String, (i64, i64)>,
    /// Whether the thing acted on checks tokens.
    pub checks: bool,
    /// When a server was heard of last, and whether it was well and warm.
    pub heard: BTreeMap<String, (i64, bool)>,
    /// The agreement's blackout, as far as the machine was told of its time.
    pub blackout: Option<Span>,
    pub planned: Option<Span>,
    pub figures: Figures,
}

#[derive(Clone, Copy, Default, Debug)]
pub struct Figures {
    pub booked: u64,
    pub closed_after_return: u64,
    pub called_back: u64,
    pub drains: u64,
    pub takes: u64,
    pub refused: u64,
    pub leaders: u64,
    pub blackouts: u64,
}

impl Play {
    pub fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut world = World {
            now: 1_800_000_000_000,
            ..World::default()
        };
        let count = rng.usize(4..10);
        let zones = ["a", "b", "c"];
        for index in 0..count {
            let group = if rng.bool() { "g" } else { "h" };
            world.add(&format!("s{index}"), zones[index % 3], group, rng.u32(1..5));
        }
        let total: u64 = world
            .servers
            .values()
            .map(|real| u64::from(real.weight))
            .sum();
        let mut budget = budget(total * rng.u64(40..85) / 100, &[], rng.u32(1..5));
        if rng.bool() {
            let a = world
                .servers
                .values()
                .filter(|r| r.zone == "a")
                .map(|r| u64::from(r.weight))
                .sum::<u64>();
            budget.keep_zone.insert("a".into(), a / 2);
        }
        if rng.bool() {
            let g = world
                .servers
                .values()
                .filter(|r| r.group == "g")
                .map(|r| u64::from(r.weight))
                .sum::<u64>();
            budget.keep_group.insert("g".into(), g / 2);
        }
        let mut play = Play {
            rng,
            world,
            budget,
            machine: Machine::new(),
            old: Vec::new(),
            wires: Vec::new(),
            asked: 0,
            requests: BTreeMap::new(),
            checks: true,
            heard: BTreeMap::new(),
            blackout: None,
            planned: None,
            figures: Figures::default(),
        };
        play.apply(Event::DisruptionBudget(play.budget.clone()));
        play.apply(play.world.list());
        play
    }

    /// Seats with an open grant: server and token of each.
    pub fn open(&self) -> Vec<(String, u64, State)> {
        let slots = self.machine.windows().into_iter().flat_map(|w| w.slots);
        slots
            .filter(|s| s.state.is_admitted())
            .map(|s| (s.server, s.token, s.state))
            .collect()
    }

    /// Applies an agreed event and audits what it did.
    pub fn apply(&mut self, event: Event) -> Outcome {
        if let Event::Observations(observations) = &event {
            for observation in observations.iter().filter(|observation| observation.enough) {
                let well = observation.state == Health::Healthy && observation.warm;
                self.heard
                    .insert(observation.server.clone(), (self.world.now, well));
            }
        }
        if let Event::Servers(list) = &event {
            let names = self.world.servers.keys();
            let unlisted = names
                .filter(|name| list.iter().all(|server| server.name != **name))
                .cloned();
            self.world.unlisted = unlisted.collect();
        }
        let (before, token) = (self.open(), self.machine.last_token());
        // Clocks of leaders differ; an event's time may lie before the last one's.
        let skew = self.rng.i64(-SKEW_MS..=0);
        let outcome = self.machine.apply(self.world.now + skew, event);
        let after = self.open();
        assert!(self.machine.last_token() >= token, "a token went back");
        let is_admitted: Vec<String> = after.iter().map(|(server, _, _)| server.clone()).collect();
        for (server, new, state) in &after {
            let had = before.iter().find(|(name, _, _)| name == server);
            if *state == State::Draining && had.is_none_or(|(_, old, _)| old != new) {
                assert!(*new > token, "a grant without a token of its own");
                let fresh = had.is_none();
                let bound = self.budget.evidence_bound_ms + SKEW_MS;
                let held = self.world.holds(&self.budget, &is_admitted, bound);
                assert!(!fresh || held, "a grant of {server} breached the agreement");
                assert!(
                    !fresh || !self.meets_blackout(server),
                    "a grant of {server} reaches into a blackout"
                );
            }
        }
        for (server, _, state) in &before {
            if !is_admitted.contains(server) {
                assert!(
                    matches!(state, State::Returning | State::CalledBack),
                    "{server} left from {state:?}"
                );
                let real = &self.world.servers[server];
                let bound = self.budget.evidence_bound_ms + SKEW_MS;
                assert!(
                    real.bad_since.is_none_or(|at| self.world.now - at < bound),
                    "{server} credited, not there"
                );
                assert!(
                    !real.drained && !real.taken,
                    "{server} credited while drained or taken"
                );
                self.figures.closed_after_return += u64::from(*state == State::Returning);
            }
        }
        self.figures.called_back += after
            .iter()
            .filter(|(server, _, state)| {
                *state == State::CalledBack
                    && !before
                        .iter()
                        .any(|b| b.0 == *server && b.2 == State::CalledBack)
            })
            .count() as u64;
        outcome
    }

    /// Whether the part of a server's window that no blackout may touch does so, from now on.
    fn meets_blackout(&self, server: &str) -> bool {
        let windows = self.machine.windows();
        let of = |w: &&WindowView| {
            w.slots
                .iter()
                .any(|s| s.server == server && s.state.is_admitted())
        };
        let asked = windows
            .iter()
            .find(of)
            .and_then(|w| self.requests.get(&w.name));
        let Some((blackout, (length, overrun))) = self.blackout.zip(asked) else {
            return false;
        };
        let hard = length
            + if self.budget.overrun_may_enter_blackout {
                0
            } else {
                *overrun
            };
        let now = self.world.now;
        blackout.from_ms < now - SKEW_MS + hard && blackout.until_ms > now
    }

    /// Nothing is taken away any more that would be away in a blackout, by whoever leads now.
    pub fn audit_blackout(&self) {
        for act in self.machine.due(self.world.now) {
            let out = matches!(act.step, Step::Drain | Step::Take);
            let now = self.world.now;
            let on = self
                .blackout
                .is_some_and(|b| b.from_ms <= now && now < b.until_ms);
            assert!(!out || !on, "{act:?} is due in a blackout");
        }
    }

    /// What is drained or taken must have an open grant, at every moment.
    pub fn audit(&self) {
        assert!(self.world.broken.is_empty(), "{:?}", self.world.broken);
        let open = self.open();
        for (name, real) in &self.world.servers {
            let away = real.drained || real.taken;
            assert!(
                !away || open.iter().any(|(server, _, _)| server == name),
                "{name} is away without a grant"
            );
        }
    }

    /// No server that serves drains on while all together are below the floor even with what was
    /// cancelled.
    pub fn audit_call_back(&self) {
        let Some(capacity) = self.machine.capacity(0) else {
            return;
        };
        let (all, open) = (&capacity.rooms[0], self.open());
        let live_ms = self.budget.evidence_bound_ms - 2 * SKEW_MS;
        let heard = |server: &String| {
            self.heard
                .get(server)
                .filter(|(at, _)| self.world.now - at < live_ms)
        };
        let drains = open.iter().any(|(server, _, state)| {
            matches!(state, State::Draining | State::Clear)
                && heard(server).is_some_and(|(_, well)| *well)
        });
        let coming: u64 = open
            .iter()
            .filter(|(server, _, state)| {
                *state == State::CalledBack && heard(server).is_none_or(|(_, well)| *well)
            })
            .map(|(server, _, _)| u64::from(self.world.servers[server].weight))
            .sum();
        assert!(
            all.present + coming >= all.keep || !drains,
            "something drains below the floor"
        );
    }
}
