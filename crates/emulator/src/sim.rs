//! Runs an experiment with the decision module in simulated time: without processes and sockets,
//! with the same result for the same seed, and at sizes beyond the machine's.

mod attempts;
mod clients;
mod event;
mod faults;
mod instance;
mod network;
mod sidecars;
mod tap;

use crate::audit::audit;
use crate::datagrams::DatagramFaults;
use crate::experiment::{Experiment, Variant, Way};
use crate::plan::Plan;
use crate::record::{Entry, Seen, Try};
use crate::site;
use crate::tally::{Beside, Tally, tally};
use crate::world::World;
use crate::{SECOND, Us};
use event::SimEvent;
use instance::{Instance, OpenRequest, address, sections};
use load_balancer::{AttemptIndex, Event, Micros, RequestId};
use load_balancer_common::config::InvalidConfig;
use load_balancer_gossip::core::{ACTIVE_TICK, Core};
use load_balancer_gossip::section::FleetSection;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
pub use tap::SimulationObserver;

/// The module's clock at the start of a run, in microseconds: far from 0, like Unix time.
const START_US: Micros = 1_000_000_000_000;
/// Time after which a connection attempt fails, as in the settings.
const DIAL_TIMEOUT_US: Us = 120_000;
/// How long an idle connection is kept: an eighth less than by servers.
const MAX_IDLE_US: Us = site::IDLE_CLOSE / 8 * 7;
/// How long a sidecar is down in a planned restart.
const RESTART_TIME_US: Us = SECOND / 2;
/// Longest time that a run continues after its last request; every deadline is over by then.
const MAX_TAIL_US: Us = 10 * SECOND;

struct Simulation<'a> {
    experiment: &'a Experiment,
    plan: &'a Plan,
    now: Us,
    sequence: u64,
    queue: BinaryHeap<Reverse<(Us, u64, SimEvent)>>,
    world: World,
    instances: Vec<Instance>,
    current: Vec<Option<usize>>,
    open: BTreeMap<Try, OpenRequest>,
    /// Attempts in progress at servers, by number.
    at_servers: BTreeMap<u64, (usize, RequestId, AttemptIndex)>,
    attempts: u64,
    partitions: Vec<(usize, Way)>,
    extra_delay: Us,
    reset_share: f64,
    rng: fastrand::Rng,
    record: Vec<Entry>,
    sections: Vec<FleetSection>,
    by_address: HashMap<SocketAddr, usize>,
    datagram_faults: DatagramFaults,
    /// Datagrams in transit, with their senders.
    datagrams: HashMap<u64, (SocketAddr, Vec<u8>)>,
    datagrams_sent: u64,
    datagram_bytes: u64,
    tap: Option<&'a mut dyn SimulationObserver>,
}

/// Runs a variant of an experiment.
///
/// # Errors
/// The variant's configuration is invalid.
pub fn simulate(
    experiment: &Experiment,
    plan: &Plan,
    variant: &Variant,
) -> Result<Tally, InvalidConfig> {
    simulate_observed(experiment, plan, variant, None)
}

/// As above, reporting the events and actions of the decision modules to `observer`.
///
/// # Errors
/// The variant's configuration is invalid.
pub fn simulate_observed<'a>(
    experiment: &'a Experiment,
    plan: &'a Plan,
    variant: &Variant,
    observer: Option<&'a mut dyn SimulationObserver>,
) -> Result<Tally, InvalidConfig> {
    let mut sim = Simulation {
        sections: sections(variant, plan)?,
        by_address: (0..plan.sidecars.len())
            .map(|sidecar| (address(sidecar), sidecar))
            .collect(),
        datagram_faults: DatagramFaults::default(),
        datagrams: HashMap::new(),
        datagrams_sent: 0,
        datagram_bytes: 0,
        experiment,
        plan,
        now: 0,
        sequence: 0,
        queue: BinaryHeap::new(),
        world: World::new(plan),
        instances: Vec::new(),
        current: vec![None; plan.sidecars.len()],
        open: BTreeMap::new(),
        at_servers: BTreeMap::new(),
        attempts: 0,
        partitions: Vec::new(),
        extra_delay: 0,
        reset_share: 0.0,
        rng: fastrand::Rng::with_seed(plan.seed ^ 0x5157),
        record: Vec::new(),
        tap: observer,
    };
    (0..plan.sidecars.len()).for_each(|sidecar| sim.start(sidecar));
    for (number, (at, _)) in plan.steps.iter().enumerate() {
        sim.schedule(*at, SimEvent::Fault(number));
    }
    let mut next = 0;
    while sim.now < plan.lasts + MAX_TAIL_US {
        // Arrivals are generated in advance: only the next one is in the queue.
        if next < plan.arrivals.len() {
            sim.schedule(plan.arrivals[next].at, SimEvent::ClientRequest(next, 0));
            next += 1;
        }
        let until = plan
            .arrivals
            .get(next)
            .map_or(plan.lasts + MAX_TAIL_US, |a| a.at);
        sim.run(until);
    }
    let (work, savable, fallen) = (
        sim.world.work(),
        sim.world.savable(),
        sim.world.collapsed().len(),
    );
    let mut record = sim.record;
    record.sort_by_key(|(at, _)| *at);
    let findings = audit(plan, &record);
    let fleet_bytes = sim.datagram_bytes;
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

impl Simulation<'_> {
    fn schedule(&mut self, at: Us, event: SimEvent) {
        self.sequence += 1;
        self.queue
            .push(Reverse((at.max(self.now), self.sequence, event)));
    }

    fn record_event(&mut self, observed: Seen) {
        self.record.push((self.now, observed));
    }

    /// Processes everything before that time.
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
            self.complete_jobs(done);
            if event.is_some_and(|at| at <= self.now)
                && let Some(Reverse((.., event))) = self.queue.pop()
            {
                self.handle(event);
            }
        }
        self.now = self.now.max(until);
    }

    fn handle(&mut self, event: SimEvent) {
        let datagram = match event {
            SimEvent::Datagram { number, .. } if self.is_delivered_now(&event) => {
                self.datagrams.remove(&number)
            }
            _ => None,
        };
        let instance = match event {
            SimEvent::ServerArrival { instance, .. }
            | SimEvent::AttemptResult { instance, .. }
            | SimEvent::AttemptTimeout { instance, .. }
            | SimEvent::Timer { instance, .. }
            | SimEvent::Datagram { instance, .. }
            | SimEvent::MemberTick { instance } => Some(instance),
            _ => None,
        };
        if let Some(instance) = instance.map(|i| &mut self.instances[i]) {
            if instance.dead {
                return;
            }
            // A request in transit arrives whether its sender is suspended or not.
            if let Some(deferred) = instance
                .deferred
                .as_mut()
                .filter(|_| !matches!(event, SimEvent::ServerArrival { .. }))
            {
                return deferred.push(event);
            }
        }
        match event {
            SimEvent::ClientRequest(arrival, attempt) => self.send_request(arrival, attempt),
            SimEvent::ClientTimeout(request) => self.give_up(request),
            SimEvent::ServerArrival {
                instance,
                request,
                attempt,
                dialled,
            } => self.arrive_at_server(instance, request, attempt, dialled),
            SimEvent::AttemptResult {
                instance,
                request,
                attempt,
                outcome,
            } => self.receive_result(instance, request, attempt, outcome),
            SimEvent::AttemptTimeout {
                instance,
                request,
                attempt,
            } => self.time_out(instance, request, attempt),
            SimEvent::Timer { instance, token } => self.notify(instance, Event::Timer(token)),
            SimEvent::Datagram { instance, .. } => {
                if let Some((from, bytes)) = datagram {
                    self.update_member(instance, |core, now| {
                        core.handle_datagram(now, from, &bytes)
                    });
                }
            }
            SimEvent::MemberTick { instance } => {
                self.update_member(instance, Core::tick);
                if self.instances[instance].member.is_some() {
                    self.schedule(
                        self.now + ACTIVE_TICK as Us,
                        SimEvent::MemberTick { instance },
                    );
                }
            }
            SimEvent::ListUpdate(sidecar) => self.update_list(sidecar),
            SimEvent::Fault(number) => self.apply_fault(self.plan.steps[number].1),
            SimEvent::SidecarStart(sidecar) => {
                if self.current[sidecar].is_none() {
                    self.start(sidecar);
                    self.record_event(Seen::SidecarUp { sidecar });
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
