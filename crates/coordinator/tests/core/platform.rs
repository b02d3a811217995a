//! A simulated platform that checks the invariants of every action it accepts.

use load_balancer_maintenance::{
    Action, Answer, DisruptionBudget, DrainCheck, Health, Server, ServerObservation, Step,
};
use std::collections::BTreeMap;

/// Duration of a tick, which is one heartbeat.
pub const TICK_MS: u64 = 100;
/// Ticks until a drained server is idle, a returning one runs, and a started one is warm.
const STATE_CHANGE_TICKS: u64 = 8;
/// Ticks for which a failure may remain undetected: maximum staleness of observations, a polling
/// interval, and the transit of an order.
const MAX_DETECTION_TICKS: u64 = 90;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    Serving,
    Draining,
    Away,
    Returning,
}

#[derive(Clone, Debug)]
pub struct SimulatedServer {
    pub name: String,
    pub zone: String,
    pub state: ServerState,
    pub started: u64,
    highest_token: u64,
    since_tick: u64,
    /// The tick at which it failed.
    pub dead_since: Option<u64>,
    /// Fencing tokens of its drains.
    drained_by: Vec<u64>,
    /// Fencing token of the drain for which it was last confirmed as drained.
    clear_token: u64,
}

pub struct Platform {
    pub servers: Vec<SimulatedServer>,
    pub now: u64,
    budget: DisruptionBudget,
    pub accepted: u64,
    pub refused: u64,
    pub taken: BTreeMap<String, u64>,
}

impl Platform {
    pub fn new(servers: usize, budget: DisruptionBudget) -> Self {
        let server = |n: usize| SimulatedServer {
            name: format!("a{n}"),
            zone: format!("z{}", n % 3),
            state: ServerState::Serving,
            started: 0,
            highest_token: 0,
            since_tick: 0,
            dead_since: None,
            drained_by: Vec::new(),
            clear_token: 0,
        };
        let servers = (0..servers).map(server).collect();
        Self {
            servers,
            now: 0,
            budget,
            accepted: 0,
            refused: 0,
            taken: BTreeMap::new(),
        }
    }

    pub fn list(&self) -> Vec<Server> {
        let server = |h: &SimulatedServer| Server {
            name: h.name.clone(),
            zone: h.zone.clone(),
            group: String::new(),
            weight: 10,
            started: h.started,
        };
        self.servers.iter().map(server).collect()
    }

    fn is_warm(&self, h: &SimulatedServer) -> bool {
        h.started == 0 || self.now >= h.started / TICK_MS + STATE_CHANGE_TICKS
    }

    /// Returns what enough members of the fleet observe.
    pub fn observations(&self) -> Vec<ServerObservation> {
        let observation = |h: &SimulatedServer| ServerObservation {
            server: h.name.clone(),
            state: match h.dead_since.is_none()
                && matches!(h.state, ServerState::Serving | ServerState::Draining)
            {
                true => Health::Healthy,
                false => Health::Unhealthy,
            },
            warm: self.is_warm(h),
            started: h.started,
            age_ms: 300,
            enough: true,
        };
        self.servers.iter().map(observation).collect()
    }

    pub fn advance(&mut self) {
        self.now += 1;
        for h in &mut self.servers {
            if h.state == ServerState::Returning && self.now >= h.since_tick + STATE_CHANGE_TICKS {
                (h.state, h.started, h.dead_since) =
                    (ServerState::Serving, self.now * TICK_MS, None);
            }
        }
    }

    /// Returns whether a draining server is idle.
    pub fn check_clear(&mut self, process: &DrainCheck) -> bool {
        let now = self.now;
        let Some(h) = self.servers.iter_mut().find(|h| h.name == process.server) else {
            return false;
        };
        let is_clear = h.state == ServerState::Draining && now >= h.since_tick + STATE_CHANGE_TICKS;
        if is_clear {
            h.clear_token = process.epoch;
        }
        is_clear
    }

    pub fn perform(&mut self, action: &Action) -> Answer {
        let now = self.now;
        let Some(h) = self.servers.iter_mut().find(|h| h.name == action.server) else {
            return Answer::Failed;
        };
        if action.token < h.highest_token {
            self.refused += 1;
            return Answer::Refused {
                seen: h.highest_token,
            };
        }
        h.highest_token = action.token;
        self.accepted += 1;
        let previous = h.state;
        h.state = match (action.step, previous) {
            (Step::Drain, ServerState::Serving) => ServerState::Draining,
            (Step::Take, ServerState::Serving | ServerState::Draining) => ServerState::Away,
            (Step::Return | Step::CallBack, ServerState::Draining) => ServerState::Serving,
            (Step::Return, ServerState::Away) => ServerState::Returning,
            (_, before) => before,
        };
        if h.state == previous {
            return match (action.step, previous) {
                (Step::CallBack, ServerState::Away) => Answer::Taken,
                _ => Answer::Done { started: None },
            };
        }
        h.since_tick = now;
        match action.step {
            Step::Drain => {
                assert!(
                    !h.drained_by.contains(&action.token),
                    "drained twice with one token: {action:?}"
                );
                h.drained_by.push(action.token);
            }
            Step::Take => {
                assert_eq!(
                    previous,
                    ServerState::Draining,
                    "taken without a drain: {action:?}"
                );
                assert_eq!(
                    h.clear_token, action.token,
                    "taken before it was drained: {action:?}"
                );
                *self.taken.entry(action.server.clone()).or_default() += 1;
            }
            Step::Return | Step::CallBack => {}
        }
        if action.step == Step::Drain {
            self.check_capacity(action);
        }
        Answer::Done { started: None }
    }

    /// Checks that the remaining capacity suffices after a drain; failures that cannot be known yet
    /// do not count.
    fn check_capacity(&self, action: &Action) {
        let serves = |h: &&SimulatedServer| {
            let dead = h
                .dead_since
                .is_some_and(|since| self.now > since + MAX_DETECTION_TICKS);
            h.state == ServerState::Serving && !dead && self.is_warm(h)
        };
        let serving: Vec<&SimulatedServer> = self.servers.iter().filter(serves).collect();
        let away = self.servers.len() - serving.len();
        assert!(
            serving.len() as u64 * 10 >= self.budget.keep,
            "capacity breached by {action:?}: {:#?}",
            self.servers
        );
        assert!(
            away <= self.budget.most_away as usize,
            "{away} away by {action:?}"
        );
        for (zone, keep) in &self.budget.keep_zone {
            let serving_in_zone = serving.iter().filter(|h| h.zone == *zone).count();
            assert!(
                serving_in_zone as u64 * 10 >= *keep,
                "capacity of {zone} breached by {action:?}"
            );
        }
    }
}
