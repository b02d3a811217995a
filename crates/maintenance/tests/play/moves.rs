//! The steps of a history: requests, message loss and duplication, failures, leader changes.

use jiff::Timestamp;
use jiff::tz::TimeZone;
use load_balancer_maintenance::{
    Action, Answer, Blackout, Event, Every, Machine, Outcome, Request, Span, State, Step, Target,
};

use super::{Counts, History, Message};

const DAY_MS: i64 = 86_400_000;

impl History {
    pub fn send(&mut self, message: Message) {
        for _ in 0..self.rng.usize(0..3) {
            let far = if self.rng.u8(0..8) == 0 { 30_000 } else { 900 };
            self.in_transit
                .push((self.world.now + self.rng.i64(0..far), message.clone()));
        }
    }

    pub fn deliver(&mut self) {
        let now = self.world.now;
        let (due, later): (Vec<_>, Vec<_>) =
            self.in_transit.drain(..).partition(|(at, _)| *at <= now);
        self.in_transit = later;
        for (_, message) in due {
            match message {
                Message::Event(event) => {
                    self.apply(event);
                }
                Message::Action(act) => {
                    let warm = self.rng.i64(0..4_000);
                    let result = match self.rng.u8(0..12) {
                        0 => Answer::Failed,
                        _ => self.world.perform(&act, warm, self.checks_tokens),
                    };
                    let Action {
                        window,
                        server,
                        step,
                        token,
                    } = act;
                    self.send(Message::Event(Event::Acted {
                        window,
                        server,
                        step,
                        token,
                        result,
                    }));
                }
            }
        }
        self.check_admissions();
    }

    pub fn request_window(&mut self) {
        self.request_count += 1;
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
            name: format!("r{}", self.request_count),
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
            self.counts.booked += 1;
        }
    }

    pub fn inject_fault(&mut self) {
        let names: Vec<String> = self.world.servers.keys().cloned().collect();
        let name = self.rng.choice(&names).unwrap().clone();
        match self.rng.u8(0..12) {
            10 => self.change_budget(),
            11 => {
                // A list with no server, or with all but one; the next one is complete, and arrives
                // before an unlisted server would be given up.
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
                self.last_observations.clear();
                let restored_at = self.world.now + self.rng.i64(0..20_000);
                self.in_transit
                    .push((restored_at, Message::Event(self.world.list())));
            }
            0 => self.world.kill(&name),
            1..=3 => self.world.revive(&name, self.rng.i64(0..6_000)),
            4 => {
                let window = self.rng.u64(1..6);
                self.apply(Event::Cancel { window });
            }
            5 => {
                // Another leader starts from a snapshot; the former one goes on acting on what it
                // knew.
                let text = serde_json::to_string(&self.machine).unwrap();
                let successor: Machine = serde_json::from_str(&text).unwrap();
                assert!(successor == self.machine, "a snapshot is incomplete");
                self.former_leaders
                    .push(std::mem::replace(&mut self.machine, successor));
                self.counts.leaders += 1;
            }
            6 => drop(self.former_leaders.pop()),
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

    /// Sets another disruption budget, with or without a blackout that begins at once or later.
    fn change_budget(&mut self) {
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
        // An earlier calendar may be applied after it.
        let previous_calendar = self
            .machine
            .calendar_due(self.world.now + self.rng.i64(0..2) * 40 * DAY_MS);
        previous_calendar
            .into_iter()
            .for_each(|event| self.send(Message::Event(event)));
        self.apply(Event::DisruptionBudget(self.budget.clone()));
        self.planned_blackout =
            (!self.budget.blackouts.is_empty()).then_some(Span { from_ms, until_ms });
    }

    /// The leader proposes the blackouts' spans, with a delay.
    fn apply_calendar(&mut self) {
        let due = self
            .machine
            .calendar_due(self.world.now)
            .filter(|_| self.rng.bool());
        if let Some(calendar) = due {
            self.apply(calendar);
            self.blackout = self.planned_blackout;
            self.counts.blackouts += u64::from(self.blackout.is_some());
        }
    }

    pub fn step(&mut self) {
        self.world.advance(self.rng.i64(50..1_500));
        self.apply_calendar();
        self.deliver();
        if self.rng.u8(0..6) == 0 {
            self.inject_fault();
        }
        if self.request_count < 6 && self.rng.u8(0..8) == 0 {
            self.request_window();
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
            self.send(Message::Event(Event::Observations(Vec::new())));
            self.apply(Event::Observations(observations));
        }
        for (name, real) in &self.world.servers {
            // All affinity entries of a drained server expire some time after its drain.
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
                    self.in_transit.push((
                        self.world.now,
                        Message::Event(Event::Clear {
                            window,
                            server,
                            epoch,
                        }),
                    ));
                }
            }
        }
        let mut acts = self.machine.due(self.world.now);
        for old in &self.former_leaders {
            if self.rng.bool() {
                acts.extend(old.due(self.world.now));
            }
        }
        acts.into_iter()
            .for_each(|act| self.send(Message::Action(act)));
        self.apply(Event::Tick);
        self.check_admissions();
        self.check_cancellations();
        self.check_blackout();
    }

    /// Ends a history with days without faults: every admitted server returns, and no window stays
    /// open.
    pub fn finish(&mut self) {
        self.former_leaders.clear();
        self.in_transit.clear();
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
            self.world.advance(1_000);
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
                let result = self.world.perform(&act, 500, self.checks_tokens);
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
            self.check_admissions();
        }
        panic!(
            "windows are open after all servers are healthy: {:#?}",
            self.machine.windows()
        );
    }

    pub fn run(mut self) -> Counts {
        for _ in 0..self.rng.usize(40..160) {
            self.step();
        }
        self.finish();
        self.counts.drains = self.world.drains;
        self.counts.takes = self.world.takes;
        self.counts.refused = self.world.tokens_refused;
        self.counts
    }
}
