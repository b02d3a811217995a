//! Runs an experiment with the decision module itself in simulated time: no process, no socket, the
//! same bytes out for the same seed, at sizes that no machine holds.

mod attempts;
mod clients;
mod event;
mod faults;
mod instance;
mod network;
mod sidecars;
mod tap;

use crate::audit::audit;
use crate::datagrams::Datagrams;
use crate::experiment::{Experiment, Variant, Way};
use crate::plan::Plan;
use crate::record::{Entry, Seen, Try};
use crate::site;
use crate::tally::{Beside, Tally, tally};
use crate::world::World;
use crate::{SECOND, Us};
use event::What;
use instance::{Instance, Open, address, sections};
use load_balancer::{AttemptIndex, Event, Micros, RequestId};
use load_balancer_common::config::InvalidConfig;
use load_balancer_gossip::core::{ACTIVE_TICK, Core};
use load_balancer_gossip::section::FleetSection;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
pub use tap::Tap;

/// The module's clock at the beginning of a run: far from 0, as Unix time is.
const EPOCH: Micros = 1_000_000_000_000;
/// A connection that does not come up has failed after this, as the settings have it.
const DIAL_TIMEOUT: Us = 120_000;
/// How long an idle connection is kept: an eighth less than servers do.
const IDLE: Us = site::IDLE_CLOSE / 8 * 7;
/// How long a sidecar is away at a planned restart.
const AWAY: Us = SECOND / 2;
/// Longest that a run goes on after its last request: every deadline is over by then.
const TAIL: Us = 10 * SECOND;

struct Sim<'a> {
    experiment: &'a Experiment,
    plan: &'a Plan,
    now: Us,
    order: u64,
    queue: BinaryHeap<Reverse<(Us, u64, What)>>,
    world: World,
    instances: Vec<Instance>,
    current: Vec<Option<usize>>,
    open: BTreeMap<Try, Open>,
    /// Attempts that servers hold, by their number.
    held: BTreeMap<u64, (usize, RequestId, AttemptIndex)>,
    attempts: u64,
    cuts: Vec<(usize, Way)>,
    slow: Us,
    resets: f64,
    rng: fastrand::Rng,
    record: Vec<Entry>,
    sections: Vec<FleetSection>,
    by_address: HashMap<SocketAddr, usize>,
    faults: Datagrams,
    /// Datagrams under way, with who sent them.
    mail: HashMap<u64, (SocketAddr, Vec<u8>)>,
    mailed: u64,
    mailed_bytes: u64,
    tap: Option<&'a mut dyn Tap>,
}

/// Runs it.
///
/// # Errors
/// The variant's configuration cannot be used.
pub fn simulate(
    experiment: &Experiment,
    plan: &Plan,
    variant: &Variant,
) -> Result<Tally, InvalidConfig> {
    simulate_tapped(experiment, plan, variant, None)
}

/// Runs it, and tells `tap` whatever passes between the sidecars and their modules.
///
/// # Errors
/// The variant's configuration cannot be used.
pub fn simulate_tapped<'a>(
    experiment: &'a Experiment,
    plan: &'a Plan,
    variant: &Variant,
    tap: Option<&'a mut dyn Tap>,
) -> Result<Tally, InvalidConfig> {
    let mut sim = Sim {
        sections: sections(variant, plan)?,
        by_address: (0..plan.sidecars.len())
            .map(|sidecar| (address(sidecar), sidecar))
            .collect(),
        faults: Datagrams::default(),
        mail: HashMap::new(),
        mailed: 0,
        mailed_bytes: 0,
        experiment,
        plan,
        now: 0,
        order: 0,
        queue: BinaryHeap::new(),
        world: World::new(plan),
        instances: Vec::new(),
        current: vec![None; plan.sidecars.len()],
        open: BTreeMap::new(),
        held: BTreeMap::new(),
        attempts: 0,
        cuts: Vec::new(),
        slow: 0,
        resets: 0.0,
        rng: fastrand::Rng::with_seed(plan.seed ^ 0x5157),
        record: Vec::new(),
        tap,
    };
    (0..plan.sidecars.len()).for_each(|sidecar| sim.start(sidecar));
    for (number, (at, _)) in plan.steps.iter().enumerate() {
        sim.at(*at, What::Fault(number));
    }
    let mut next = 0;
    while sim.now < plan.lasts + TAIL {
        // Arrivals are drawn ahead: only the next one waits in the queue.
        if next < plan.arrivals.len() {
            sim.at(plan.arrivals[next].at, What::Ask(next, 0));
            next += 1;
        }
        let until = plan.arrivals.get(next).map_or(plan.lasts + TAIL, |a| a.at);
        sim.run(until);
    }
    let (work, savable, fallen) = (
        sim.world.work(),
        sim.world.savable(),
        sim.world.fallen().len(),
    );
    let mut record = sim.record;
    record.sort_by_key(|(at, _)| *at);
    let findings = audit(plan, &record);
    let fleet_bytes = sim.mailed_bytes;
    Ok(tally(
        plan,
        &record,
        Beside {
            work,
            savable,
            fallen,
            fleet_bytes,
            ..Beside::default()
        },
        findings,
    ))
}

impl Sim<'_> {
    fn at(&mut self, at: Us, what: What) {
        self.order += 1;
        self.queue
            .push(Reverse((at.max(self.now), self.order, what)));
    }

    fn note(&mut self, seen: Seen) {
        self.record.push((self.now, seen));
    }

    /// Goes on until there is nothing left before that instant.
    fn run(&mut self, until: Us) {
        loop {
            let event = self.queue.peek().map(|Reverse((at, ..))| *at);
            let next = [event, self.world.next()]
                .into_iter()
                .flatten()
                .min()
                .filter(|at| *at < until);
            let Some(next) = next else { break };
            self.now = self.now.max(next);
            let mut done = Vec::new();
            self.world.advance(self.now, &mut done);
            self.served(done);
            if event.is_some_and(|at| at <= self.now)
                && let Some(Reverse((.., what))) = self.queue.pop()
            {
                self.happen(what);
            }
        }
        self.now = self.now.max(until);
    }

    fn happen(&mut self, what: What) {
        let mail = match what {
            What::Mail { number, .. } if self.instance_runs(&what) => self.mail.remove(&number),
            _ => None,
        };
        let instance = match what {
            What::Reach { instance, .. }
            | What::Back { instance, .. }
            | What::TimeOut { instance, .. }
            | What::Timer { instance, .. }
            | What::Mail { instance, .. }
            | What::Beat { instance } => Some(instance),
            _ => None,
        };
        if let Some(instance) = instance.map(|i| &mut self.instances[i]) {
            if instance.dead {
                return;
            }
            // What is under way to a server goes on whether its sender runs or not.
            if let Some(waiting) = instance
                .frozen
                .as_mut()
                .filter(|_| !matches!(what, What::Reach { .. }))
            {
                return waiting.push(what);
            }
        }
        match what {
            What::Ask(arrival, attempt) => self.ask(arrival, attempt),
            What::Impatient(request) => self.impatient(request),
            What::Reach {
                instance,
                request,
                attempt,
                dialled,
            } => self.reach(instance, request, attempt, dialled),
            What::Back {
                instance,
                request,
                attempt,
                outcome,
            } => self.back(instance, request, attempt, outcome),
            What::TimeOut {
                instance,
                request,
                attempt,
            } => self.timed_out(instance, request, attempt),
            What::Timer { instance, token } => self.tell(instance, Event::Timer(token)),
            What::Mail { instance, .. } => {
                if let Some((from, bytes)) = mail {
                    self.member(instance, |core, now| {
                        core.handle_datagram(now, from, &bytes)
                    });
                }
            }
            What::Beat { instance } => {
                self.member(instance, Core::tick);
                if self.instances[instance].member.is_some() {
                    self.at(self.now + ACTIVE_TICK as Us, What::Beat { instance });
                }
            }
            What::List(sidecar) => self.listed(sidecar),
            What::Fault(number) => self.fault(self.plan.steps[number].1),
            What::Return(sidecar) => {
                if self.current[sidecar].is_none() {
                    self.start(sidecar);
                    self.note(Seen::SidecarUp { sidecar });
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
