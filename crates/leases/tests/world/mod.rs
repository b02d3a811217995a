//! A simulated fleet that claims singleton tasks, with message loss, duplication and delay,
//! suspended and killed processes, leader changes, lost majorities, and clock rates that differ by
//! 1%.

mod faults;

use load_balancer_leases::{
    Claimant, Event, FencingGate, Holder, HolderMonitor, LeaseTable, LeaseTerms, Outcome,
};
use std::collections::BTreeMap;

/// A lease, in milliseconds.
pub const LEASE_MS: u64 = 1_000;
/// Time that passes in one step, in milliseconds.
const STEP_MS: u64 = 10;
/// Clock rates differ by at most 1%; the rest allows for rounding to whole milliseconds.
const TERMS: LeaseTerms = LeaseTerms {
    clock_drift_permille: 12,
    max_pause_ms: 200,
};

/// One process and its clock.
pub struct Process {
    pub name: String,
    pub incarnation: u64,
    rate: f64,
    pub stopped_until: u64,
    pub dead_until: u64,
    pub holders: Vec<Holder>,
}

enum InTransit {
    LeaseMessage {
        from: usize,
        incarnation: u64,
        task: usize,
        number: u64,
        event: Event,
    },
    Answer {
        to: usize,
        incarnation: u64,
        task: usize,
        number: u64,
        outcome: Outcome,
    },
    Act {
        from: (usize, u64),
        task: usize,
        token: u64,
    },
}

/// What happened over a history.
#[derive(Default)]
pub struct Counts {
    pub acts: usize,
    pub refused: usize,
    pub faults: usize,
}

pub struct World {
    rng: fastrand::Rng,
    now: u64,
    table: LeaseTable,
    holder_monitor: HolderMonitor,
    leader_rate: f64,
    /// No event is applied until then.
    no_leader_until: u64,
    pub processes: Vec<Process>,
    in_transit: BTreeMap<(u64, u64), InTransit>,
    sent: u64,
    gates: Vec<FencingGate>,
    /// By task: the highest token by which an action took effect, and its sender.
    last_effects: Vec<(u64, (usize, u64))>,
    check_tokens: bool,
    /// Whether one message in twenty is delayed by up to two leases. A delayed message of a dead
    /// holder still renews its lease.
    pub late_messages: bool,
    pub counts: Counts,
}

fn task(number: usize) -> String {
    format!("d{number}")
}

fn holders(name: &str, incarnation: u64, tasks: usize) -> Vec<Holder> {
    let rank = u32::from(name.ends_with('0'));
    let (name, zone) = (name.to_owned(), String::new());
    let by = Claimant {
        name,
        incarnation,
        zone,
        rank,
        lease_ms: LEASE_MS,
    };
    (0..tasks)
        .map(|n| Holder::new(&task(n), by.clone(), TERMS))
        .collect()
}

impl World {
    /// A fleet generated from a seed; without `check_tokens` the resource accepts any token.
    pub fn new(seed: u64, check_tokens: bool) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (count, tasks) = (rng.usize(2..=4), rng.usize(1..=2));
        let rate = |rng: &mut fastrand::Rng| 0.995 + 0.01 * rng.f64();
        let process = |rng: &mut fastrand::Rng, n: usize| Process {
            name: format!("p{n}"),
            incarnation: 1,
            rate: rate(rng),
            stopped_until: 0,
            dead_until: 0,
            holders: holders(&format!("p{n}"), 1, tasks),
        };
        let processes = (0..count).map(|n| process(&mut rng, n)).collect();
        Self {
            leader_rate: rate(&mut rng),
            rng,
            now: 0,
            table: LeaseTable::default(),
            holder_monitor: HolderMonitor::default(),
            no_leader_until: 0,
            processes,
            in_transit: BTreeMap::new(),
            sent: 0,
            gates: vec![FencingGate::default(); tasks],
            last_effects: vec![(0, (0, 0)); tasks],
            check_tokens,
            late_messages: true,
            counts: Counts::default(),
        }
    }

    fn clock(&self, process: usize) -> u64 {
        (self.now as f64 * self.processes[process].rate) as u64
    }

    fn is_running(&self, process: usize) -> bool {
        let p = &self.processes[process];
        p.stopped_until <= self.now && p.dead_until <= self.now
    }

    fn send(&mut self, message: impl Fn() -> InTransit, is_action: bool) {
        let copies = [0, 1, 1, 1, 1, 1, 1, 1, 1, 2][self.rng.usize(0..10)];
        for _ in 0..copies {
            // An action may be as late as if its process had been suspended between checking its
            // right and acting.
            let max_delay = if is_action || self.late_messages && self.rng.u8(0..20) == 0 {
                2 * LEASE_MS
            } else {
                60
            };
            self.sent += 1;
            self.in_transit.insert(
                (self.now + self.rng.u64(1..=max_delay), self.sent),
                message(),
            );
        }
    }

    fn deliver(&mut self, message: InTransit) -> Result<(), String> {
        match message {
            InTransit::LeaseMessage {
                from,
                incarnation,
                task,
                number,
                event,
            } if self.no_leader_until <= self.now => {
                let outcome = self.table.apply(event);
                let answer = || InTransit::Answer {
                    to: from,
                    incarnation,
                    task,
                    number,
                    outcome: outcome.clone(),
                };
                self.send(answer, false);
            }
            InTransit::LeaseMessage { .. } => {}
            InTransit::Answer {
                to,
                incarnation,
                task,
                number,
                outcome,
            } => {
                if self.processes[to].incarnation == incarnation && self.is_running(to) {
                    let now = self.clock(to);
                    self.processes[to].holders[task].receive(now, number, &outcome);
                }
            }
            InTransit::Act {
                from,
                task: n,
                token,
            } => {
                if self.check_tokens && self.gates[n].check(&task(n), token, 1).is_err() {
                    self.counts.refused += 1;
                    return Ok(());
                }
                let (last_token, last_holder) = self.last_effects[n];
                if token < last_token || (token == last_token && last_holder != from) {
                    return Err(format!(
                        "{from:?} acts by token {token} after {last_holder:?} by {last_token}"
                    ));
                }
                self.last_effects[n] = (token, from);
                self.counts.acts += 1;
            }
        }
        Ok(())
    }

    /// Runs the fleet for that long, with that many faults in a thousand steps.
    ///
    /// # Errors
    /// A rule is violated.
    pub fn run(&mut self, duration_ms: u64, faults: u32) -> Result<(), String> {
        let end = self.now + duration_ms;
        while self.now < end {
            self.now += STEP_MS;
            while let Some(entry) = self
                .in_transit
                .first_entry()
                .filter(|entry| entry.key().0 <= self.now)
            {
                let wire = entry.remove();
                self.deliver(wire)?;
            }
            if self.no_leader_until <= self.now {
                let now = (self.now as f64 * self.leader_rate) as u64;
                for event in self.holder_monitor.due(now, &self.table, 8) {
                    self.table.apply(event);
                }
            }
            for process in 0..self.processes.len() {
                if self.is_running(process) {
                    self.tick_process(process);
                }
            }
            self.check_one_holder()?;
            if self.rng.u32(0..1000) < faults {
                self.inject_fault();
            }
        }
        Ok(())
    }

    fn tick_process(&mut self, process: usize) {
        let (now, incarnation) = (self.clock(process), self.processes[process].incarnation);
        for task in 0..self.gates.len() {
            if let Some(message) = self.processes[process].holders[task].tick(now) {
                let message_in_transit = || InTransit::LeaseMessage {
                    from: process,
                    incarnation,
                    task,
                    number: message.number,
                    event: message.event.clone(),
                };
                self.send(message_in_transit, false);
            }
            // Transfers the task to a claimant of a higher rank, as a process in its home zone has.
            if let Some(successor) = self.processes[process].holders[task]
                .requested_by()
                .map(str::to_owned)
                && self.rng.u8(0..50) == 0
            {
                self.processes[process].holders[task].release(now, Some(&successor), true);
            }
            if let Some(grant) = self.processes[process].holders[task].may_act(now)
                && self.rng.u8(0..8) == 0
            {
                self.send(
                    || InTransit::Act {
                        from: (process, incarnation),
                        task,
                        token: grant.token,
                    },
                    true,
                );
            }
        }
    }

    /// The running processes that may act on a task.
    pub fn holders_of(&self, task: usize) -> Vec<usize> {
        let may_act = |who: &usize| {
            self.processes[*who].holders[task]
                .may_act(self.clock(*who))
                .is_some()
        };
        (0..self.processes.len())
            .filter(|who| self.is_running(*who))
            .filter(may_act)
            .collect()
    }

    pub fn tasks(&self) -> usize {
        self.gates.len()
    }

    fn check_one_holder(&self) -> Result<(), String> {
        for n in 0..self.tasks() {
            let holders = self.holders_of(n);
            if holders.len() > 1 {
                return Err(format!("{holders:?} hold task {n} at {} ms", self.now));
            }
        }
        Ok(())
    }
}
