//! The simulated environment of the tests: servers, a platform, and a network that loses and
//! repeats messages.
#![allow(dead_code)]

pub mod scenario;

use std::collections::BTreeMap;

use load_balancer_maintenance::{
    Action, Answer, DisruptionBudget, Event, Health, Server, ServerObservation, Step,
};

/// The actual state of a server.
#[derive(Clone, Debug)]
pub struct SimulatedServer {
    pub zone: String,
    pub group: String,
    pub weight: u32,
    pub started: u64,
    pub alive: bool,
    pub drained: bool,
    pub taken: bool,
    /// Since when it is not both healthy and warm; none while it is.
    pub unhealthy_since: Option<i64>,
    pub warm_at: i64,
    /// The highest token that the target of the actions has seen for it.
    pub highest_token: u64,
    /// The token of the current drain.
    pub drain_token: u64,
    pub drained_at: i64,
    /// Tokens of drains that took effect.
    pub drains: Vec<u64>,
    pub taken_at: i64,
}

/// All servers, and the target of the actions.
#[derive(Clone, Debug, Default)]
pub struct World {
    pub now: i64,
    pub servers: BTreeMap<String, SimulatedServer>,
    /// Servers missing from the last list: the unhealthy ones among them are not counted.
    pub unlisted: Vec<String>,
    /// Tokens of drains that were confirmed clear.
    pub cleared: Vec<u64>,
    /// Violated rules, as text.
    pub broken: Vec<String>,
    pub tokens_refused: u64,
    pub drains: u64,
    pub takes: u64,
}

impl World {
    pub fn add(&mut self, name: &str, zone: &str, group: &str, weight: u32) {
        let real = SimulatedServer {
            zone: zone.into(),
            group: group.into(),
            weight,
            started: 1,
            alive: true,
            drained: false,
            taken: false,
            unhealthy_since: None,
            warm_at: i64::MIN,
            highest_token: 0,
            drain_token: 0,
            drained_at: 0,
            drains: Vec::new(),
            taken_at: 0,
        };
        self.servers.insert(name.into(), real);
    }

    pub fn list(&self) -> Event {
        let servers = self.servers.iter().map(|(name, real)| Server {
            name: name.clone(),
            zone: real.zone.clone(),
            group: real.group.clone(),
            weight: real.weight,
            started: real.started,
        });
        Event::Servers(servers.collect())
    }

    /// Advances the clock, with what follows from that.
    pub fn advance(&mut self, ms: i64) {
        self.now += ms;
        for real in self.servers.values_mut() {
            let is_healthy = real.alive && !real.taken && self.now >= real.warm_at;
            real.unhealthy_since = if is_healthy {
                None
            } else {
                real.unhealthy_since.or(Some(self.now))
            };
        }
    }

    pub fn observation(&self, name: &str, age_ms: u64) -> ServerObservation {
        let real = &self.servers[name];
        ServerObservation {
            server: name.into(),
            state: if real.alive && !real.taken {
                Health::Healthy
            } else {
                Health::Unhealthy
            },
            warm: self.now >= real.warm_at,
            started: real.started,
            age_ms,
            enough: true,
        }
    }

    pub fn kill(&mut self, name: &str) {
        let now = self.now;
        let real = self.servers.get_mut(name).expect("a server of this world");
        real.alive = false;
        real.unhealthy_since = real.unhealthy_since.or(Some(now));
    }

    pub fn revive(&mut self, name: &str, warm_ms: i64) {
        let now = self.now;
        let real = self.servers.get_mut(name).expect("a server of this world");
        if !real.alive {
            real.alive = true;
            real.started += 1;
            real.warm_at = now + warm_ms;
            real.unhealthy_since = real.unhealthy_since.or(Some(now));
        }
    }

    /// Performs an action as the documentation of `Action` requires; with or without checking
    /// tokens.
    pub fn perform(&mut self, act: &Action, warm_ms: i64, checks_tokens: bool) -> Answer {
        let now = self.now;
        let Some(real) = self.servers.get_mut(&act.server) else {
            return Answer::Failed;
        };
        if checks_tokens && act.token < real.highest_token {
            self.tokens_refused += 1;
            return Answer::Refused {
                seen: real.highest_token,
            };
        }
        real.highest_token = real.highest_token.max(act.token);
        match act.step {
            Step::Drain => {
                if !real.drained && !real.taken {
                    real.drained = true;
                    real.drain_token = act.token;
                    real.drained_at = now;
                    self.drains += 1;
                    if real.drains.contains(&act.token) {
                        self.broken
                            .push(format!("{} drained twice under {}", act.server, act.token));
                    }
                    real.drains.push(act.token);
                }
                Answer::Done { started: None }
            }
            Step::Take => {
                if !real.taken {
                    if !real.drained
                        || real.drain_token != act.token
                        || !self.cleared.contains(&act.token)
                    {
                        self.broken
                            .push(format!("{} taken before it was clear", act.server));
                    }
                    real.taken = true;
                    real.taken_at = now;
                    real.unhealthy_since = real.unhealthy_since.or(Some(now));
                    self.takes += 1;
                }
                Answer::Done { started: None }
            }
            Step::Return => {
                if real.taken {
                    real.taken = false;
                    real.started += 1;
                    real.warm_at = now + warm_ms;
                    real.unhealthy_since = Some(now);
                }
                real.drained = false;
                Answer::Done {
                    started: Some(real.started),
                }
            }
            Step::CallBack if real.taken => Answer::Taken,
            Step::CallBack => {
                real.drained = false;
                Answer::Done { started: None }
            }
        }
    }

    /// Whether every limit holds with the given servers admitted, counting as away the servers that
    /// were unhealthy for `bound_ms`.
    pub fn holds(&self, budget: &DisruptionBudget, is_admitted: &[String], bound_ms: i64) -> bool {
        let serves = |name: &String, real: &SimulatedServer| {
            !is_admitted.contains(name)
                && real
                    .unhealthy_since
                    .is_none_or(|since| self.now - since < bound_ms)
        };
        let serving_weight = |matches: &dyn Fn(&SimulatedServer) -> bool| -> u64 {
            let all = self
                .servers
                .iter()
                .filter(|(name, real)| serves(name, real) && matches(real));
            all.map(|(_, real)| u64::from(real.weight)).sum()
        };
        let is_counted =
            |name: &String| is_admitted.contains(name) || !self.unlisted.contains(name);
        let away = self
            .servers
            .iter()
            .filter(|(name, real)| !serves(name, real) && is_counted(name))
            .count();
        serving_weight(&|_| true) >= budget.keep
            && budget
                .keep_zone
                .iter()
                .all(|(zone, keep)| serving_weight(&|r| r.zone == *zone) >= *keep)
            && budget
                .keep_group
                .iter()
                .all(|(group, keep)| serving_weight(&|r| r.group == *group) >= *keep)
            && away <= budget.most_away as usize
    }
}

/// A disruption budget with the given limits, and short times.
pub fn budget(keep: u64, keep_zone: &[(&str, u64)], most_away: u32) -> DisruptionBudget {
    DisruptionBudget {
        keep,
        keep_zone: keep_zone
            .iter()
            .map(|(zone, keep)| (zone.to_string(), *keep))
            .collect(),
        keep_group: BTreeMap::new(),
        most_away,
        blackouts: Vec::new(),
        overrun_most_permille: 1_000,
        overrun_may_enter_blackout: false,
        most_open: 64,
        evidence_bound_ms: 5_000,
        clear_most_ms: 60_000,
        repair_ms: 60_000,
        patience_ms: 600_000,
    }
}
