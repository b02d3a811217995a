//! Checks a history independently of the state machine's own ledger.
#![allow(dead_code)]

mod moves;

use load_balancer_maintenance::{
    Action, DisruptionBudget, Event, Health, Machine, Outcome, Span, State, Step, WindowView,
};

use std::collections::BTreeMap;

use crate::world::{World, budget};

/// Delayed messages between the leader and the target of the actions.
#[derive(Clone)]
pub enum Message {
    Action(Action),
    Event(Event),
}

/// The largest difference between leaders' clocks, in milliseconds: observations may be older than
/// they appear by as much.
pub const SKEW_MS: i64 = 300;

pub struct History {
    pub rng: fastrand::Rng,
    pub world: World,
    pub budget: DisruptionBudget,
    pub machine: Machine,
    /// Former leaders that still act on what they knew.
    pub former_leaders: Vec<Machine>,
    pub in_transit: Vec<(i64, Message)>,
    pub request_count: u64,
    /// Length and overrun by the request's name.
    pub requests: BTreeMap<String, (i64, i64)>,
    /// Whether the target of the actions checks tokens.
    pub checks_tokens: bool,
    /// The last observation of each server: its time, and whether the server was healthy and warm.
    pub last_observations: BTreeMap<String, (i64, bool)>,
    /// The disruption budget's blackout, as far as its time was given to the machine.
    pub blackout: Option<Span>,
    pub planned_blackout: Option<Span>,
    pub counts: Counts,
}

#[derive(Clone, Copy, Default, Debug)]
pub struct Counts {
    pub booked: u64,
    pub closed_after_return: u64,
    pub called_back: u64,
    pub drains: u64,
    pub takes: u64,
    pub refused: u64,
    pub leaders: u64,
    pub blackouts: u64,
}

impl History {
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
        let mut play = History {
            rng,
            world,
            budget,
            machine: Machine::new(),
            former_leaders: Vec::new(),
            in_transit: Vec::new(),
            request_count: 0,
            requests: BTreeMap::new(),
            checks_tokens: true,
            last_observations: BTreeMap::new(),
            blackout: None,
            planned_blackout: None,
            counts: Counts::default(),
        };
        play.apply(Event::DisruptionBudget(play.budget.clone()));
        play.apply(play.world.list());
        play
    }

    /// Admitted slots: server, token and state of each.
    pub fn admitted_slots(&self) -> Vec<(String, u64, State)> {
        let slots = self.machine.windows().into_iter().flat_map(|w| w.slots);
        slots
            .filter(|s| s.state.is_admitted())
            .map(|s| (s.server, s.token, s.state))
            .collect()
    }

    /// Applies an event and checks its effects.
    pub fn apply(&mut self, event: Event) -> Outcome {
        if let Event::Observations(observations) = &event {
            for observation in observations.iter().filter(|observation| observation.enough) {
                let well = observation.state == Health::Healthy && observation.warm;
                self.last_observations
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
        let (before, token) = (self.admitted_slots(), self.machine.last_token());
        // Leaders' clocks differ, so an event may be earlier than the last one.
        let skew = self.rng.i64(-SKEW_MS..=0);
        let outcome = self.machine.apply(self.world.now + skew, event);
        let after = self.admitted_slots();
        assert!(self.machine.last_token() >= token, "a token decreased");
        let admitted: Vec<String> = after.iter().map(|(server, _, _)| server.clone()).collect();
        for (server, new, state) in &after {
            let previous = before.iter().find(|(name, _, _)| name == server);
            if *state == State::Draining && previous.is_none_or(|(_, old, _)| old != new) {
                assert!(*new > token, "an admission without a new token");
                let is_new = previous.is_none();
                let bound = self.budget.evidence_bound_ms + SKEW_MS;
                let capacity_holds = self.world.holds(&self.budget, &admitted, bound);
                assert!(
                    !is_new || capacity_holds,
                    "the admission of {server} violated the disruption budget"
                );
                assert!(
                    !is_new || !self.meets_blackout(server),
                    "the admission of {server} overlaps a blackout"
                );
            }
        }
        for (server, _, state) in &before {
            if !admitted.contains(server) {
                assert!(
                    matches!(state, State::Returning | State::CalledBack),
                    "{server} left from {state:?}"
                );
                let real = &self.world.servers[server];
                let bound = self.budget.evidence_bound_ms + SKEW_MS;
                assert!(
                    real.unhealthy_since
                        .is_none_or(|at| self.world.now - at < bound),
                    "{server} was credited while not in service"
                );
                assert!(
                    !real.drained && !real.taken,
                    "{server} was credited while drained or taken"
                );
                self.counts.closed_after_return += u64::from(*state == State::Returning);
            }
        }
        self.counts.called_back += after
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

    /// Whether the part of a server's window that no blackout may overlap does so, from now on.
    fn meets_blackout(&self, server: &str) -> bool {
        let windows = self.machine.windows();
        let is_admitted_window = |w: &&WindowView| {
            w.slots
                .iter()
                .any(|s| s.server == server && s.state.is_admitted())
        };
        let times = windows
            .iter()
            .find(is_admitted_window)
            .and_then(|w| self.requests.get(&w.name));
        let Some((blackout, (length, overrun))) = self.blackout.zip(times) else {
            return false;
        };
        let blackout_free = length
            + if self.budget.overrun_may_enter_blackout {
                0
            } else {
                *overrun
            };
        let now = self.world.now;
        blackout.from_ms < now - SKEW_MS + blackout_free && blackout.until_ms > now
    }

    /// No server is due to be taken in a blackout, under any leader.
    pub fn check_blackout(&self) {
        for act in self.machine.due(self.world.now) {
            let leaves_service = matches!(act.step, Step::Drain | Step::Take);
            let now = self.world.now;
            let in_blackout = self
                .blackout
                .is_some_and(|b| b.from_ms <= now && now < b.until_ms);
            assert!(
                !leaves_service || !in_blackout,
                "{act:?} is due in a blackout"
            );
        }
    }

    /// Every drained or taken server must be admitted at that moment.
    pub fn check_admissions(&self) {
        assert!(self.world.broken.is_empty(), "{:?}", self.world.broken);
        let open = self.admitted_slots();
        for (name, real) in &self.world.servers {
            let away = real.drained || real.taken;
            assert!(
                !away || open.iter().any(|(server, _, _)| server == name),
                "{name} is away without being admitted"
            );
        }
    }

    /// No healthy server keeps draining while the total is below the floor even when the cancelled
    /// servers are counted.
    pub fn check_cancellations(&self) {
        let Some(capacity) = self.machine.capacity(0) else {
            return;
        };
        let (all, open) = (&capacity.rooms[0], self.admitted_slots());
        let live_ms = self.budget.evidence_bound_ms - 2 * SKEW_MS;
        let recent_observation = |server: &String| {
            self.last_observations
                .get(server)
                .filter(|(at, _)| self.world.now - at < live_ms)
        };
        let is_draining = open.iter().any(|(server, _, state)| {
            matches!(state, State::Draining | State::Clear)
                && recent_observation(server).is_some_and(|(_, well)| *well)
        });
        let returning: u64 = open
            .iter()
            .filter(|(server, _, state)| {
                *state == State::CalledBack
                    && recent_observation(server).is_none_or(|(_, well)| *well)
            })
            .map(|(server, _, _)| u64::from(self.world.servers[server].weight))
            .sum();
        assert!(
            all.present + returning >= all.keep || !is_draining,
            "a server drains below the floor"
        );
    }
}
