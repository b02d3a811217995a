//! A platform with its servers, and the invariants of every action that it accepts.

use load_balancer_maintenance::{
    Action, Answer, DisruptionBudget, Health, Server, ServerObservation, Step, Unclear,
};
use std::collections::BTreeMap;

/// Time is counted in heartbeats.
pub const TICK_MS: u64 = 100;
/// A drained server is idle after this, one that returns runs after as much, and is warm after as
/// much again.
const IDLE: u64 = 8;
/// How long a death may be unknown: the bound on observations, a round of looks, and what an order
/// may be on its way.
const UNKNOWN: u64 = 90;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    Serving,
    Draining,
    Away,
    Returning,
}

#[derive(Clone, Debug)]
pub struct Held {
    pub name: String,
    pub zone: String,
    pub place: Place,
    pub started: u64,
    highest: u64,
    since: u64,
    /// Dead since then.
    pub dead: Option<u64>,
    /// Tokens that have drained it.
    drained_by: Vec<u64>,
    /// The token of the drain for which it was said to be clear last.
    clear: u64,
}

pub struct Platform {
    pub all: Vec<Held>,
    pub now: u64,
    budget: DisruptionBudget,
    pub accepted: u64,
    pub refused: u64,
    pub taken: BTreeMap<String, u64>,
}

impl Platform {
    pub fn new(servers: usize, budget: DisruptionBudget) -> Self {
        let held = |n: usize| Held {
            name: format!("a{n}"),
            zone: format!("z{}", n % 3),
            place: Place::Serving,
            started: 0,
            highest: 0,
            since: 0,
            dead: None,
            drained_by: Vec::new(),
            clear: 0,
        };
        let all = (0..servers).map(held).collect();
        Self {
            all,
            now: 0,
            budget,
            accepted: 0,
            refused: 0,
            taken: BTreeMap::new(),
        }
    }

    pub fn list(&self) -> Vec<Server> {
        let server = |h: &Held| Server {
            name: h.name.clone(),
            zone: h.zone.clone(),
            group: String::new(),
            weight: 10,
            started: h.started,
        };
        self.all.iter().map(server).collect()
    }

    fn warm(&self, h: &Held) -> bool {
        h.started == 0 || self.now >= h.started / TICK_MS + IDLE
    }

    /// What enough members of the fleet see.
    pub fn words(&self) -> Vec<ServerObservation> {
        let word = |h: &Held| ServerObservation {
            server: h.name.clone(),
            state: match h.dead.is_none() && matches!(h.place, Place::Serving | Place::Draining) {
                true => Health::Healthy,
                false => Health::Unhealthy,
            },
            warm: self.warm(h),
            started: h.started,
            age_ms: 300,
            enough: true,
        };
        self.all.iter().map(word).collect()
    }

    pub fn pass(&mut self) {
        self.now += 1;
        for h in &mut self.all {
            if h.place == Place::Returning && self.now >= h.since + IDLE {
                (h.place, h.started, h.dead) = (Place::Serving, self.now * TICK_MS, None);
            }
        }
    }

    /// Whether nothing runs at a drained server.
    pub fn clear(&mut self, asked: &Unclear) -> bool {
        let now = self.now;
        let Some(h) = self.all.iter_mut().find(|h| h.name == asked.server) else {
            return false;
        };
        let clear = h.place == Place::Draining && now >= h.since + IDLE;
        if clear {
            h.clear = asked.epoch;
        }
        clear
    }

    pub fn act(&mut self, act: &Action) -> Answer {
        let now = self.now;
        let Some(h) = self.all.iter_mut().find(|h| h.name == act.server) else {
            return Answer::Failed;
        };
        if act.token < h.highest {
            self.refused += 1;
            return Answer::Refused { seen: h.highest };
        }
        h.highest = act.token;
        self.accepted += 1;
        let before = h.place;
        h.place = match (act.step, before) {
            (Step::Drain, Place::Serving) => Place::Draining,
            (Step::Take, Place::Serving | Place::Draining) => Place::Away,
            (Step::Return | Step::CallBack, Place::Draining) => Place::Serving,
            (Step::Return, Place::Away) => Place::Returning,
            (_, before) => before,
        };
        if h.place == before {
            return match (act.step, before) {
                (Step::CallBack, Place::Away) => Answer::Taken,
                _ => Answer::Done { started: None },
            };
        }
        h.since = now;
        match act.step {
            Step::Drain => {
                assert!(
                    !h.drained_by.contains(&act.token),
                    "drained twice by one token: {act:?}"
                );
                h.drained_by.push(act.token);
            }
            Step::Take => {
                assert_eq!(before, Place::Draining, "taken without a drain: {act:?}");
                assert_eq!(h.clear, act.token, "taken and not clear: {act:?}");
                *self.taken.entry(act.server.clone()).or_default() += 1;
            }
            Step::Return | Step::CallBack => {}
        }
        if act.step == Step::Drain {
            self.capacity(act);
        }
        Answer::Done { started: None }
    }

    /// What is there bears what was just drained; a death that cannot be known yet is nobody's
    /// fault.
    fn capacity(&self, act: &Action) {
        let there = |h: &&Held| {
            let dead = h.dead.is_some_and(|since| self.now > since + UNKNOWN);
            h.place == Place::Serving && !dead && self.warm(h)
        };
        let there: Vec<&Held> = self.all.iter().filter(there).collect();
        let away = self.all.len() - there.len();
        assert!(
            there.len() as u64 * 10 >= self.budget.keep,
            "capacity breached by {act:?}: {:#?}",
            self.all
        );
        assert!(
            away <= self.budget.most_away as usize,
            "{away} away by {act:?}"
        );
        for (zone, keep) in &self.budget.keep_zone {
            let of_zone = there.iter().filter(|h| h.zone == *zone).count();
            assert!(
                of_zone as u64 * 10 >= *keep,
                "capacity of {zone} breached by {act:?}"
            );
        }
    }
}
