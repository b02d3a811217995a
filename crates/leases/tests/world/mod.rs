//! A fleet in simulated time that wants singleton tasks, with message loss, duplication and delay,
//! stops, kills, leader changes, lost majorities, and clocks one in a hundred apart.

mod faults;

use load_balancer_leases::{
    Claimant, Event, FencingGate, Holder, HolderMonitor, LeaseTable, LeaseTerms, Outcome,
};
use std::collections::BTreeMap;

/// A lease, in milliseconds.
pub const LEASE_MS: u64 = 1_000;
/// How often everybody looks, in milliseconds.
const STEP_MS: u64 = 10;
/// Clocks' rates differ by one in a hundred at most, counted in whole milliseconds.
const TERMS: LeaseTerms = LeaseTerms {
    rate_permille: 12,
    pause_ms: 200,
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

enum Wire {
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

/// What was seen over a history.
#[derive(Default)]
pub struct Seen {
    pub acts: usize,
    pub refused: usize,
    pub faults: usize,
}

pub struct World {
    rng: fastrand::Rng,
    now: u64,
    machine: LeaseTable,
    holder_monitor: HolderMonitor,
    leader_rate: f64,
    /// Nobody agrees on anything until then.
    no_leader_until: u64,
    pub processes: Vec<Process>,
    wire: BTreeMap<(u64, u64), Wire>,
    sent: u64,
    gates: Vec<FencingGate>,
    /// By task: the highest token that something was done by, and whose it was.
    done: Vec<(u64, (usize, u64))>,
    check: bool,
    /// Whether one word in twenty comes up to two leases late. Late words of a dead holder are
    /// words of the holder.
    pub late: bool,
    pub seen: Seen,
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
    /// One by a seed; without `check` what is acted on takes any token.
    pub fn new(seed: u64, check: bool) -> Self {
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
            machine: LeaseTable::default(),
            holder_monitor: HolderMonitor::default(),
            no_leader_until: 0,
            processes,
            wire: BTreeMap::new(),
            sent: 0,
            gates: vec![FencingGate::default(); tasks],
            done: vec![(0, (0, 0)); tasks],
            check,
            late: true,
            seen: Seen::default(),
        }
    }

    fn clock(&self, process: usize) -> u64 {
        (self.now as f64 * self.processes[process].rate) as u64
    }

    fn runs(&self, process: usize) -> bool {
        let p = &self.processes[process];
        p.stopped_until <= self.now && p.dead_until <= self.now
    }

    fn send(&mut self, wire: impl Fn() -> Wire, acts: bool) {
        let copies = [0, 1, 1, 1, 1, 1, 1, 1, 1, 2][self.rng.usize(0..10)];
        for _ in 0..copies {
            // An act is as late as a process that is stopped between its look at the right and the
            // act.
            let most = if acts || self.late && self.rng.u8(0..20) == 0 {
                2 * LEASE_MS
            } else {
                60
            };
            self.sent += 1;
            self.wire
                .insert((self.now + self.rng.u64(1..=most), self.sent), wire());
        }
    }

    fn deliver(&mut self, wire: Wire) -> Result<(), String> {
        match wire {
            Wire::LeaseMessage {
                from,
                incarnation,
                task,
                number,
                event,
            } if self.no_leader_until <= self.now => {
                let outcome = self.machine.apply(event);
                let answer = || Wire::Answer {
                    to: from,
                    incarnation,
                    task,
                    number,
                    outcome: outcome.clone(),
                };
                self.send(answer, false);
            }
            Wire::LeaseMessage { .. } => {}
            Wire::Answer {
                to,
                incarnation,
                task,
                number,
                outcome,
            } => {
                if self.processes[to].incarnation == incarnation && self.runs(to) {
                    let now = self.clock(to);
                    self.processes[to].holders[task].receive(now, number, &outcome);
                }
            }
            Wire::Act {
                from,
                task: n,
                token,
            } => {
                if self.check && self.gates[n].pass(&task(n), token, 1).is_err() {
                    self.seen.refused += 1;
                    return Ok(());
                }
                let (last, by) = self.done[n];
                if token < last || (token == last && by != from) {
                    return Err(format!(
                        "{from:?} acts by token {token} after {by:?} by {last}"
                    ));
                }
                self.done[n] = (token, from);
                self.seen.acts += 1;
            }
        }
        Ok(())
    }

    /// Plays for so long, with that many troubles in a thousand steps.
    ///
    /// # Errors
    /// A rule is broken.
    pub fn play(&mut self, lasts_ms: u64, faults: u32) -> Result<(), String> {
        let end = self.now + lasts_ms;
        while self.now < end {
            self.now += STEP_MS;
            while let Some(entry) = self
                .wire
                .first_entry()
                .filter(|entry| entry.key().0 <= self.now)
            {
                let wire = entry.remove();
                self.deliver(wire)?;
            }
            if self.no_leader_until <= self.now {
                let now = (self.now as f64 * self.leader_rate) as u64;
                for event in self.holder_monitor.due(now, &self.machine, 8) {
                    self.machine.apply(event);
                }
            }
            for who in 0..self.processes.len() {
                if self.runs(who) {
                    self.run(who);
                }
            }
            self.one_holder()?;
            if self.rng.u32(0..1000) < faults {
                self.trouble();
            }
        }
        Ok(())
    }

    fn run(&mut self, who: usize) {
        let (now, incarnation) = (self.clock(who), self.processes[who].incarnation);
        for task in 0..self.gates.len() {
            if let Some(message) = self.processes[who].holders[task].tick(now) {
                let say = || Wire::LeaseMessage {
                    from: who,
                    incarnation,
                    task,
                    number: message.number,
                    event: message.event.clone(),
                };
                self.send(say, false);
            }
            // Home it goes, where somebody of a higher rank waits.
            if let Some(heir) = self.processes[who].holders[task]
                .wanted_by()
                .map(str::to_owned)
                && self.rng.u8(0..50) == 0
            {
                self.processes[who].holders[task].release(now, Some(&heir), true);
            }
            if let Some(right) = self.processes[who].holders[task].may_act(now)
                && self.rng.u8(0..8) == 0
            {
                self.send(
                    || Wire::Act {
                        from: (who, incarnation),
                        task,
                        token: right.token,
                    },
                    true,
                );
            }
        }
    }

    /// Who may act on a task, of all that run.
    pub fn holders_of(&self, task: usize) -> Vec<usize> {
        let may = |who: &usize| {
            self.processes[*who].holders[task]
                .may_act(self.clock(*who))
                .is_some()
        };
        (0..self.processes.len())
            .filter(|who| self.runs(*who))
            .filter(may)
            .collect()
    }

    pub fn tasks(&self) -> usize {
        self.gates.len()
    }

    fn one_holder(&self) -> Result<(), String> {
        for n in 0..self.tasks() {
            let all = self.holders_of(n);
            if all.len() > 1 {
                return Err(format!("{all:?} hold duty {n} at {} ms", self.now));
            }
        }
        Ok(())
    }
}
