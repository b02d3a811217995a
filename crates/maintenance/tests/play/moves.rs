//! The events of a history: requests, losses, repeats, failures, leader changes.

use jiff::Timestamp;
use jiff::tz::TimeZone;
use load_balancer_maintenance::{
    Action, Answer, Blackout, Event, Every, Machine, Outcome, Request, Span, State, Step, Target,
};

use super::{Figures, Play, Wire};

const DAY_MS: i64 = 86_400_000;

impl Play {
    pub fn send(&mut self, wire: Wire) {
        for _ in 0..self.rng.usize(0..3) {
            let far = if self.rng.u8(0..8) == 0 { 30_000 } else { 900 };
            self.wires
                .push((self.world.now + self.rng.i64(0..far), wire.clone()));
        }
    }

    pub fn deliver(&mut self) {
        let now = self.world.now;
        let (due, rest): (Vec<_>, Vec<_>) = self.wires.drain(..).partition(|(at, _)| *at <= now);
        self.wires = rest;
        for (_, wire) in due {
            match wire {
                Wire::Event(event) => {
                    self.apply(event);
                }
                Wire::Action(act) => {
                    let warm = self.rng.i64(0..4_000);
                    let result = match self.rng.u8(0..12) {
                        0 => Answer::Failed,
                        _ => self.world.act(&act, warm, self.checks),
                    };
                    let Action {
                        window,
                        server,
                        step,
                        token,
                    } = act;
                    self.send(Wire::Event(Event::Acted {
                        window,
                        server,
                        step,
                        token,
                        result,
                    }));
                }
            }
        }
        self.audit();
    }

    pub fn ask(&mut self) {
        self.asked += 1;
        let names: Vec<String> = self.world.servers.keys().cloned().collect();
        let target = match self.rng.u8(0..3) {
            0 => Target::Servers(
                (0..self.rng.usize(1..4))
                    .map(|_| self.rng.choice(&names).unwrap().clone())
                    .collect(),
            ),
            1 => Target::Group(if self.rng.bool() {
                "g".into()
            } else {
                "h".into()
            }),
            _ => Target::Zone {
                zone: "a".into(),
                share_permille: self.rng.u32(200..=1_000),
            },
        };
        let (length_ms, earliest_ms) = (
            self.rng.i64(3_000..30_000),
            self.world.now + self.rng.i64(0..20_000),
        );
        let overrun_ms = self.rng.i64(0..length_ms / 2);
        let request = Request {
            name: format!("r{}", self.asked),
            target,
            earliest_ms,
            latest_ms: earliest_ms + length_ms + overrun_ms + self.rng.i64(0..400_000),
            length_ms,
            overrun_ms,
            priority: self.rng.u8(0..3),
            split: self.rng.bool(),
        };
        self.requests
            .insert(request.name.clone(), (length_ms, overrun_ms));
        if let Outcome::Booked { .. } = self.apply(Event::Ask(request)) {
            self.figures.booked += 1;
        }
    }

    pub fn fault(&mut self) {
        let names: Vec<String> = self.world.servers.keys().cloned().collect();
        let name = self.rng.choice(&names).unwrap().clone();
        match self.rng.u8(0..12) {
            10 => self.agree_anew(),
            11 => {
                // A list that names nobody, or all but one; the next one is whole, and comes before
                // a server that is not listed would be given up.
                if !self.world.unlisted.is_empty() {
                    return;
                }
                let Event::Servers(mut list) = self.world.list() else {
                    return;
                };
                match self.rng.bool() {
                    true => list.clear(),
                    false => list.retain(|server| server.name != name),
                }
                self.apply(Event::Servers(list));
                self.heard.clear();
                let whole = self.world.now + self.rng.i64(0..20_000);
                self.wires.push((whole, Wire::Event(self.world.list())));
            }
            0 => self.world.kill(&name),
            1..=3 => self.world.revive(&name, self.rng.i64(0..6_000)),
            4 => {
                let window = self.rng.u64(1..6);
                self.apply(Event::Cancel { window });
            }
            5 => {
                // Another leader, from a snapshot; the one of before goes on acting by what it
                // knew.
                let text = serde_json::to_string(&self.machine).unwrap();
                let successor: Machine = serde_json::from_str(&text).unwrap();
                assert!(successor == self.machine, "a snapshot lost something");
                self.old
                    .push(std::mem::replace(&mut self.machine, successor));
                self.figures.leaders += 1;
            }
            6 => drop(self.old.pop()),
            7 => {
                self.apply(self.world.list());
            }
            8 => {
                let windows = self.machine.windows();
                let slots = windows
                    .iter()
                    .flat_map(|w| w.slots.iter().map(|s| (w.window, s.server.clone())));
                if let Some((window, server)) = self.rng.choice(slots.collect::<Vec<_>>()) {
                    self.apply(Event::Finished { window, server });
                }
            }
            _ => {}
        }
    }

    /// Another agreement, with a blackout that may begin at once or in a while, or without.
    fn agree_anew(&mut self) {
        let from_ms = self.world.now + self.rng.i64(0..60_000);
        let until_ms = from_ms + self.rng.i64(1_000..30_000);
        let moment =
            |ms| TimeZone::UTC.to_datetime(Timestamp::from_millisecond(ms).expect("a time"));
        let blackout = Blackout {
            name: "b".into(),
            time_zone: "UTC".into(),
            from: moment(from_ms),
            until: moment(until_ms),
            every: Every::Once,
        };
        self.budget.blackouts = if self.rng.u8(0..3) > 0 {
            vec![blackout]
        } else {
            Vec::new()
        };
        self.budget.overrun_may_enter_blackout = self.rng.bool();
        self.budget.most_away = self.rng.u32(1..5);
        self.blackout = None;
        // A calendar of before may come after it.
        let before = self
            .machine
            .calendar_due(self.world.now + self.rng.i64(0..2) * 40 * DAY_MS);
        before
            .into_iter()
            .for_each(|event| self.send(Wire::Event(event)));
        self.apply(Event::DisruptionBudget(self.budget.clone()));
        self.planned = (!self.budget.blackouts.is_empty()).then_some(Span { from_ms, until_ms });
    }

    /// The leader tells the blackouts' times, in a while.
    fn tell_calendar(&mut self) {
        let due = self
            .machine
            .calendar_due(self.world.now)
            .filter(|_| self.rng.bool());
        if let Some(calendar) = due {
            self.apply(calendar);
            self.blackout = self.planned;
            self.figures.blackouts += u64::from(self.blackout.is_some());
        }
    }

    pub fn step(&mut self) {
        self.world.pass(self.rng.i64(50..1_500));
        self.tell_calendar();
        self.deliver();
        if self.rng.u8(0..6) == 0 {
            self.fault();
        }
        if self.asked < 6 && self.rng.u8(0..8) == 0 {
            self.ask();
        }
        if self.rng.u8(0..10) > 0 {
            let mut observations = Vec::new();
            for name in self.world.servers.keys() {
                if self.rng.u8(0..12) > 0 {
                    let mut observation = self.world.observation(name, 0);
                    observation.enough = self.rng.u8(0..20) > 0;
                    observations.push(observation);
                }
            }
            self.send(Wire::Event(Event::Observations(Vec::new())));
            self.apply(Event::Observations(observations));
        }
        for (name, real) in &self.world.servers {
            // Every member's affinity entries have run out a while after the drain.
            if real.drained && !real.taken && self.world.now - real.drained_at > 2_000 {
                self.world.cleared.push(real.drain_token);
                let windows = self.machine.windows();
                let window = windows.iter().find(|w| {
                    w.slots
                        .iter()
                        .any(|s| s.server == *name && s.state.is_admitted())
                });
                if let Some(window) = window {
                    let (window, server, epoch) = (window.window, name.clone(), real.drain_token);
                    self.wires.push((
                        self.world.now,
                        Wire::Event(Event::Clear {
                            window,
                            server,
                            epoch,
                        }),
                    ));
                }
            }
        }
        let mut acts = self.machine.due(self.world.now);
        for old in &self.old {
            if self.rng.bool() {
                acts.extend(old.due(self.world.now));
            }
        }
        acts.into_iter()
            .for_each(|act| self.send(Wire::Action(act)));
        self.apply(Event::Tick);
        self.audit();
        self.audit_call_back();
        self.audit_blackout();
    }

    /// Quiet days at the end: whatever was granted comes back, and nothing stays open for ever.
    pub fn settle(&mut self) {
        self.old.clear();
        self.wires.clear();
        for name in self.world.servers.keys().cloned().collect::<Vec<_>>() {
            self.world.revive(&name, 0);
        }
        for _ in 0..900 {
            if self
                .machine
                .windows()
                .iter()
                .all(|w| w.state == State::Closed)
            {
                return;
            }
            self.world.pass(1_000);
            self.machine
                .calendar_due(self.world.now)
                .into_iter()
                .for_each(|event| drop(self.apply(event)));
            self.apply(self.world.list());
            let observations = self
                .world
                .servers
                .keys()
                .map(|name| self.world.observation(name, 0))
                .collect();
            self.apply(Event::Observations(observations));
            for act in self.machine.due(self.world.now) {
                let result = self.world.act(&act, 500, self.checks);
                let Action {
                    window,
                    server,
                    step,
                    token,
                } = act;
                if step == Step::Drain {
                    self.world.cleared.push(token);
                }
                self.apply(Event::Acted {
                    window,
                    server: server.clone(),
                    step,
                    token,
                    result,
                });
                self.apply(Event::Clear {
                    window,
                    server,
                    epoch: token,
                });
            }
            self.audit();
        }
        panic!(
            "windows are open after all is well: {:#?}",
            self.machine.windows()
        );
    }

    pub fn run(mut self) -> Figures {
        for _ in 0..self.rng.usize(40..160) {
            self.step();
        }
        self.settle();
        self.figures.drains = self.world.drains;
        self.figures.takes = self.world.takes;
        self.figures.refused = self.world.tokens_refused;
        self.figures
    }
}
