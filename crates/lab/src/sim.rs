//! Plays an experiment with the decision module itself in simulated time: no process, no socket, the same bytes out for
//! the same seed, and sizes that no machine holds. Changes with what the sidecar's rim does between module and
//! network, in its simplest form.

use crate::audit::audit;
use crate::datagrams::{Datagrams, HELD_UP};
use crate::directory::State;
use crate::experiment::{Experiment, Variant, Way};
use crate::fronts::{Address, section};
use crate::listing;
use crate::plan::{Plan, Step};
use crate::play::FLEET;
use crate::record::{Entry, Seen, Try};
use crate::servers::{arrival_of, try_number};
use crate::site::{self, CLASSES, CLIENT_RETRIES, Repeat};
use crate::tally::{Beside, Tally, tally};
use crate::world::{Admission, Done, Job, World};
use crate::{SECOND, Us};
use linenproxy::settings::decode;
use linenproxy::{
    Action, AttemptEnd, AttemptNo, Balancer, Event, ListUpdate, Listing, Load, Micros, NewRequest, Outcome,
    RequestId, Rest, Sharing, Status, Word,
};
use linenproxy_common::config::{self, Configuration, Contradiction, Problem};
use linenproxy_fleet::core::{Core, Listed, TICK};
use linenproxy_fleet::evidence::Sign;
use linenproxy_fleet::section::FleetSection;
use linenproxy_fleet::verdict;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

/// The module's clock at the beginning of a play: far from 0, as Unix time is.
const EPOCH: Micros = 1_000_000_000_000;
/// A connection that does not come up has failed after this, as the settings have it.
const DIAL_TIMEOUT: Us = 120_000;
/// How long an idle connection is kept: an eighth less than servers do.
const IDLE: Us = site::IDLE_CLOSE / 8 * 7;
/// How long a sidecar is away at a planned restart.
const AWAY: Us = SECOND / 2;
/// Longest that a play goes on after its last request: every deadline is over by then.
const TAIL: Us = 10 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    /// A client's try begins.
    Ask(usize, u32),
    /// Its client's patience is over.
    Impatient(Try),
    /// An attempt reaches its server, or finds that it cannot.
    Reach { instance: usize, request: RequestId, attempt: AttemptNo, dialled: bool },
    /// Its end comes back.
    Back { instance: usize, request: RequestId, attempt: AttemptNo, outcome: Came },
    /// The sidecar stops waiting for it.
    TimeOut { instance: usize, request: RequestId, attempt: AttemptNo },
    /// A timer of the module's.
    Timer { instance: usize, token: u64 },
    /// A datagram from another member has come.
    Mail { instance: usize, number: u64 },
    /// A member's clock beats.
    Beat { instance: usize },
    /// The list has news for a sidecar.
    List(usize),
    /// A fault.
    Fault(usize),
    /// A sidecar is there again.
    Return(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Came {
    Ok,
    Error,
    Rejected,
    ConnectFailed,
    Reset,
}

/// One life of a sidecar.
struct Instance {
    sidecar: usize,
    balancer: Balancer,
    member: Option<Box<Core>>,
    heard: usize,
    out: BTreeMap<(RequestId, AttemptNo), Out>,
    sends: BTreeMap<RequestId, AttemptNo>,
    idle: BTreeMap<usize, Vec<Us>>,
    /// Stopped: what comes waits.
    frozen: Option<Vec<What>>,
    dead: bool,
}

struct Out {
    server: usize,
    sent: Us,
    number: u64,
}

struct Open {
    instance: usize,
    arrival: usize,
    attempt: u32,
}

/// What of a product configuration has a meaning here.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
struct Sections {
    fleet: FleetSection,
}

impl Configuration for Sections {
    fn check(&self) -> Result<(), Contradiction> {
        self.fleet.check()
    }
}

/// Where a sidecar's datagrams would arrive: nobody listens there.
fn address(sidecar: usize) -> SocketAddr {
    let [_, a, b, c] = (sidecar as u32 + 1).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, a, b, c), 7946))
}

/// Each sidecar's section, where the variant has any.
fn sections(variant: &Variant, plan: &Plan) -> Result<Vec<FleetSection>, Problem> {
    if !variant.config.contains(FLEET) {
        return Ok(Vec::new());
    }
    let both = |sidecar| Address { own: address(sidecar), front: address(sidecar) };
    let addresses: Vec<Address> = (0..plan.sidecars.len()).map(both).collect();
    let name = Path::new(&variant.name);
    let of = |(sidecar, spec): (usize, &crate::plan::SidecarSpec)| {
        let text = variant.config.replace(FLEET, &section(&addresses, sidecar, spec.clock_offset_ms));
        Ok(config::parse::<Sections>(name, &text)?.fleet)
    };
    plan.sidecars.iter().enumerate().map(of).collect()
}

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
    held: BTreeMap<u64, (usize, RequestId, AttemptNo)>,
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
}

/// Plays it.
///
/// # Errors
/// The variant's configuration cannot be used.
pub fn simulate(experiment: &Experiment, plan: &Plan, variant: &Variant) -> Result<Tally, Problem> {
    let mut sim = Sim {
        sections: sections(variant, plan)?,
        by_address: (0..plan.sidecars.len()).map(|sidecar| (address(sidecar), sidecar)).collect(),
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
    let (work, savable, fallen) = (sim.world.work(), sim.world.savable(), sim.world.fallen().len());
    let mut record = sim.record;
    record.sort_by_key(|(at, _)| *at);
    let findings = audit(plan, &record);
    let fleet_bytes = sim.mailed_bytes;
    Ok(tally(plan, &record, Beside { work, savable, fallen, fleet_bytes, ..Beside::default() }, findings))
}

impl Sim<'_> {
    fn at(&mut self, at: Us, what: What) {
        self.order += 1;
        self.queue.push(Reverse((at.max(self.now), self.order, what)));
    }

    fn note(&mut self, seen: Seen) {
        self.record.push((self.now, seen));
    }

    /// Goes on until there is nothing left before that instant.
    fn run(&mut self, until: Us) {
        loop {
            let event = self.queue.peek().map(|Reverse((at, ..))| *at);
            let next = [event, self.world.next()].into_iter().flatten().min().filter(|at| *at < until);
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
            if let Some(waiting) = instance.frozen.as_mut().filter(|_| !matches!(what, What::Reach { .. })) {
                return waiting.push(what);
            }
        }
        match what {
            What::Ask(arrival, attempt) => self.ask(arrival, attempt),
            What::Impatient(request) => self.impatient(request),
            What::Reach { instance, request, attempt, dialled } => {
                self.reach(instance, request, attempt, dialled)
            }
            What::Back { instance, request, attempt, outcome } => {
                self.back(instance, request, attempt, outcome)
            }
            What::TimeOut { instance, request, attempt } => self.timed_out(instance, request, attempt),
            What::Timer { instance, token } => self.tell(instance, Event::Timer(token)),
            What::Mail { instance, .. } => {
                if let Some((from, bytes)) = mail {
                    self.member(instance, |core, now| core.datagram(now, from, &bytes));
                }
            }
            What::Beat { instance } => {
                self.member(instance, Core::tick);
                if self.instances[instance].member.is_some() {
                    self.at(self.now + TICK as Us, What::Beat { instance });
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

    // ---- The network ----

    fn passes(&self, from: usize, to: usize) -> bool {
        !self.cuts.iter().any(|(zone, way)| {
            let (out, into) = (*zone == from && *zone != to, *zone == to && *zone != from);
            (out && *way != Way::In) || (into && *way != Way::Out)
        })
    }

    fn delay(&mut self, from: usize, to: usize) -> Us {
        let network = &self.experiment.network;
        let us = |time: linenproxy_common::units::Time| Us::try_from(time.0.as_micros()).unwrap_or(0);
        let base = us(if from == to { network.inside } else { network.between });
        base + self.rng.u64(0..=us(network.jitter)) + self.slow
    }

    // ---- The fleet ----

    /// Whether what it concerns takes it in now: neither dead nor stopped.
    fn instance_runs(&self, what: &What) -> bool {
        let What::Mail { instance, .. } = what else { return false };
        let i = &self.instances[*instance];
        i.dead || i.frozen.is_none()
    }

    /// Does something with an instance's member, and tells its module of the words that come of it.
    fn member(&mut self, instance: usize, what: impl FnOnce(&mut Core, Micros)) {
        let words = self.with_member(instance, what);
        if !words.is_empty() {
            self.tell(instance, Event::Words(words));
        }
    }

    fn with_member(&mut self, instance: usize, what: impl FnOnce(&mut Core, Micros)) -> Vec<Word> {
        let sidecar = self.instances[instance].sidecar;
        let offset = Micros::from(self.plan.sidecars[sidecar].clock_offset_ms) * 1000;
        let now = EPOCH + self.now as Micros + offset;
        let Some(core) = self.instances[instance].member.as_deref_mut() else { return Vec::new() };
        what(core, now);
        let effects = core.effects();
        for (to, bytes) in effects.datagrams {
            self.post(sidecar, to, bytes);
        }
        let word = |word: linenproxy_fleet::core::Word| Word {
            endpoint: word.endpoint,
            rest: match word.rest {
                verdict::Rest::No => Rest::No,
                verdict::Rest::Yes => Rest::Yes,
                verdict::Rest::Trial => Rest::Trial,
                verdict::Rest::Over => Rest::Over,
            },
            until: word.until - offset,
        };
        effects.words.into_iter().map(word).collect()
    }

    fn post(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        self.mailed_bytes += bytes.len() as u64;
        let Some(to) = self.by_address.get(&to).copied() else { return };
        let (from_zone, to_zone) = (self.plan.sidecars[from].zone, self.plan.sidecars[to].zone);
        let Some(instance) = self.current[to] else { return };
        if !self.passes(from_zone, to_zone) || self.rng.f64() < self.faults.lost {
            return;
        }
        let copies = if self.rng.f64() < self.faults.repeated { 2 } else { 1 };
        for _ in 0..copies {
            let held_up = self.rng.f64() < self.faults.held_up;
            let held_up = if held_up { (self.rng.f64() * HELD_UP.as_micros() as f64) as Us } else { 0 };
            let at = self.now + self.delay(from_zone, to_zone) + held_up;
            self.mailed += 1;
            self.mail.insert(self.mailed, (address(from), bytes.clone()));
            self.at(at, What::Mail { instance, number: self.mailed });
        }
    }

    // ---- Clients ----

    fn ask(&mut self, arrival: usize, attempt: u32) {
        let a = &self.plan.arrivals[arrival];
        let Some(instance) = self.current[a.sidecar] else {
            self.note(Seen::Unreached { sidecar: a.sidecar });
            return self.again(arrival, attempt, 0);
        };
        let request = try_number(arrival, attempt);
        let until = self.now + a.patience;
        self.note(Seen::Taken { request, arrival, sidecar: a.sidecar, until });
        self.open.insert(request, Open { instance, arrival, attempt });
        self.at(until, What::Impatient(request));
        let new = NewRequest {
            id: request,
            class: a.class,
            tenant: None,
            key: Some(a.key),
            bound: Vec::new(),
            due: EPOCH + until as Micros,
            work: None,
            repeat: attempt > 0,
        };
        self.tell_or_wait(instance, Event::Request(new));
    }

    /// A stopped process takes nothing in: what its system has accepted for it is lost to the client.
    fn tell_or_wait(&mut self, instance: usize, event: Event) {
        if self.instances[instance].frozen.is_none() {
            self.tell(instance, event);
        }
    }

    fn impatient(&mut self, request: Try) {
        if let Some(open) = self.open.remove(&request) {
            self.note(Seen::GaveUp { request });
            if !self.instances[open.instance].dead {
                self.tell_or_wait(open.instance, Event::Abandoned(request));
            }
            self.client_again(&open, false, 0);
        }
    }

    fn answer(&mut self, request: RequestId, status: u16, hold_off: Micros) {
        if let Some(open) = self.open.remove(&request) {
            self.note(Seen::Answered { request, status, genuine: true });
            if status != 200 {
                self.client_again(&open, status == 503, hold_off.max(0) as Us);
            }
        }
    }

    fn client_again(&mut self, open: &Open, harmless: bool, hold_off: Us) {
        if harmless || CLASSES[self.plan.arrivals[open.arrival].class].repeat != Repeat::Never {
            self.again(open.arrival, open.attempt, hold_off);
        }
    }

    fn again(&mut self, arrival: usize, attempt: u32, hold_off: Us) {
        let a = &self.plan.arrivals[arrival];
        let Some(wait) = a.waits.get(attempt as usize).filter(|_| attempt < CLIENT_RETRIES) else { return };
        let at = self.now + hold_off.max(*wait);
        if at < a.at + CLASSES[a.class].deadline {
            self.at(at, What::Ask(arrival, attempt + 1));
        }
    }

    // ---- Sidecars ----

    fn start(&mut self, sidecar: usize) {
        let settings = site::settings(self.plan.sidecars.len(), sidecar, self.plan.sidecars[sidecar].zone);
        let number = self.instances.len();
        let seed = self.plan.seed.wrapping_add((number as u64) << 20);
        let decoded = decode(&settings.to_string()).ok();
        let Some(mut balancer) = decoded.and_then(|d| Balancer::new(d.settings, seed).ok()) else { return };
        let member = self.sections.get(sidecar).filter(|section| section.enabled).map(|section| {
            let ahead = if section.affinity.enabled { section.affinity.ahead } else { 0.0 };
            balancer.share(Sharing { words: section.verdicts.enabled, ahead });
            let spec = &self.plan.sidecars[sidecar];
            let now = EPOCH + self.now as Micros + Micros::from(spec.clock_offset_ms) * 1000;
            let (name, zone) = (format!("n{sidecar}"), site::ZONES[spec.zone % site::ZONES.len()]);
            Box::new(Core::new(section, &name, zone, now.unsigned_abs(), seed, now))
        });
        if member.is_some() {
            // Members' clocks do not beat together.
            let beat = self.now + self.rng.u64(0..TICK as Us);
            self.at(beat, What::Beat { instance: number });
        }
        self.instances.push(Instance {
            sidecar,
            balancer,
            member,
            heard: 0,
            out: BTreeMap::new(),
            sends: BTreeMap::new(),
            idle: BTreeMap::new(),
            frozen: None,
            dead: false,
        });
        self.current[sidecar] = Some(number);
        self.list_for_member(number, 0);
        let known = self.listings(&self.plan.directory.whole(0));
        self.tell(number, Event::Endpoints(ListUpdate::Cached(known)));
        self.listed(sidecar);
    }

    fn list_for_member(&mut self, instance: usize, heard: usize) {
        if self.instances[instance].member.is_none() {
            return;
        }
        let listed = |l: Listing| Listed {
            endpoint: l.endpoint,
            name: self.plan.servers[l.endpoint].name.clone(),
            started: l.started,
            ready: l.status == Status::Ready,
        };
        let list = self.listings(&self.plan.directory.whole(heard)).into_iter().map(listed).collect();
        self.member(instance, |core, now| core.listed(now, list));
    }

    fn listings(&self, entries: &[(usize, State)]) -> Vec<Listing> {
        let listing = |(server, state): &(usize, State)| {
            let spec = &self.plan.servers[*server];
            let (status, started) = match state {
                State::Active { since } => (Status::Ready, since.map(|at| EPOCH + at as Micros)),
                State::Leaving => (Status::Draining, None),
                State::Left => (Status::Gone, None),
            };
            Listing {
                endpoint: *server,
                zone: Some(spec.zone),
                cell: spec.group as u64,
                kind: Some(spec.kind),
                status,
                size: listing::weight(spec),
                started,
                alias: *server as u64,
            }
        };
        entries.iter().map(listing).collect()
    }

    fn listed(&mut self, sidecar: usize) {
        let lag = self.plan.sidecars[sidecar].list_lag;
        let heard = self.plan.directory.heard(self.now, lag);
        if let Some(number) = self.current[sidecar]
            && self.instances[number].heard < heard
        {
            let entries = self.plan.directory.between(self.instances[number].heard, heard);
            self.instances[number].heard = heard;
            for (server, state) in &entries {
                self.note(Seen::Told { sidecar, server: *server, state: *state });
                if !matches!(state, State::Active { .. }) {
                    self.instances[number].idle.remove(server);
                }
            }
            let listings = self.listings(&entries);
            self.list_for_member(number, heard);
            self.tell_or_wait(number, Event::Endpoints(ListUpdate::Delta(listings)));
        }
        if let Some(next) = self.plan.directory.next(heard, lag) {
            self.at(next, What::List(sidecar));
        }
    }

    /// Tells a module of an event and carries out what it asks for.
    fn tell(&mut self, instance: usize, event: Event) {
        let mut events = std::collections::VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            let now = EPOCH + self.now as Micros;
            self.instances[instance].balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Send { request, endpoint, timeout } => {
                        self.send(instance, request, endpoint, timeout)
                    }
                    Action::Refuse { request, hold_off } => self.answer(request, 503, hold_off),
                    Action::Fail(request) => self.answer(request, 502, 0),
                    Action::Cancel { request, attempt } => {
                        if let Some(out) = self.instances[instance].out.remove(&(request, attempt)) {
                            events.push_back(self.end(request, attempt, &out, Outcome::Cancelled));
                        }
                    }
                    Action::SetTimer { after, token } => {
                        self.at(self.now + after.max(0) as Us, What::Timer { instance, token });
                    }
                    Action::CloseIdle(endpoint) => drop(self.instances[instance].idle.remove(&endpoint)),
                    Action::Witness { endpoint, served } => {
                        let sign = if served { Sign::Well } else { Sign::Sick };
                        let words = self.with_member(instance, |core, now| core.witness(now, endpoint, sign));
                        if !words.is_empty() {
                            events.push_back(Event::Words(words));
                        }
                    }
                    Action::Probe(_)
                    | Action::Subscribe(_)
                    | Action::FetchList
                    | Action::Tell { .. }
                    | Action::Log(_) => {}
                }
            }
        }
    }

    fn end(&self, request: RequestId, attempt: AttemptNo, out: &Out, outcome: Outcome) -> Event {
        Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            endpoint: out.server,
            outcome,
            took: (self.now - out.sent) as Micros,
            settled: !self.open.contains_key(&request),
            load: Load::default(),
        })
    }

    fn send(&mut self, instance: usize, request: RequestId, server: usize, timeout: Micros) {
        let (now, number) = (self.now, self.attempts);
        self.attempts += 1;
        let i = &mut self.instances[instance];
        let sidecar = i.sidecar;
        let sends = i.sends.entry(request).or_default();
        let attempt = *sends;
        *sends += 1;
        i.out.insert((request, attempt), Out { server, sent: now, number });
        let idle = i.idle.entry(server).or_default();
        idle.retain(|since| now - since < IDLE);
        let dialled = idle.pop().is_none();
        self.at(now + timeout.max(1) as Us, What::TimeOut { instance, request, attempt });
        let (from, to) = (self.plan.sidecars[sidecar].zone, self.plan.servers[server].zone);
        let opens = self.passes(from, to) && self.passes(to, from);
        if dialled && !opens {
            let outcome = Came::ConnectFailed;
            return self.at(now + DIAL_TIMEOUT, What::Back { instance, request, attempt, outcome });
        }
        let there_and_back = if dialled { self.delay(from, to) + self.delay(to, from) } else { 0 };
        if dialled && !self.world.up(server) {
            let outcome = Came::ConnectFailed;
            return self.at(now + there_and_back, What::Back { instance, request, attempt, outcome });
        }
        // What is written into a cut goes nowhere.
        if self.passes(from, to) {
            let arrives = now + there_and_back + self.delay(from, to);
            self.at(arrives, What::Reach { instance, request, attempt, dialled });
        }
    }

    fn reach(&mut self, instance: usize, request: RequestId, attempt: AttemptNo, dialled: bool) {
        let Some(out) = self.instances[instance].out.get(&(request, attempt)) else {
            // It was given up on the way.
            return;
        };
        let (server, number, sent) = (out.server, out.number, out.sent);
        let sidecar = self.instances[instance].sidecar;
        let arrival = &self.plan.arrivals[arrival_of(request)];
        if dialled {
            self.note(Seen::Handshake { sidecar, server });
        }
        if self.resets > 0.0 && self.rng.f64() < self.resets {
            return self.reply(instance, request, attempt, Came::Reset);
        }
        if !self.world.up(server) {
            return self.reply(instance, request, attempt, Came::Reset);
        }
        self.note(Seen::Attempt { number, request: Some(request), sidecar, server, began: sent });
        let keyed = CLASSES[arrival.class].repeat == Repeat::Keyed;
        let once = keyed.then(|| try_number(arrival_of(request), 15));
        let (class, work, key) = (arrival.class, arrival.work, arrival.key);
        let job = Job { id: number, class, work, key, once, fresh: dialled };
        let mut done = Vec::new();
        let admitted = self.world.submit(self.now, server, job, &mut done);
        self.served(done);
        match admitted {
            Admission::Taken => drop(self.held.insert(number, (instance, request, attempt))),
            Admission::Swallowed => self.note(Seen::AttemptSwallowed { number }),
            Admission::Repeated => {
                self.note(Seen::AttemptAnswered { number, status: 200, unprocessed: false });
                self.reply(instance, request, attempt, Came::Ok);
            }
            Admission::Refused => {
                self.note(Seen::AttemptAnswered { number, status: 503, unprocessed: true });
                self.reply(instance, request, attempt, Came::Rejected);
            }
        }
    }

    /// Sends back how an attempt ended, where anything passes that way.
    fn reply(&mut self, instance: usize, request: RequestId, attempt: AttemptNo, outcome: Came) {
        let Some(out) = self.instances[instance].out.get(&(request, attempt)) else { return };
        let (from, to) =
            (self.plan.servers[out.server].zone, self.plan.sidecars[self.instances[instance].sidecar].zone);
        if self.passes(from, to) {
            let at = self.now + self.delay(from, to);
            self.at(at, What::Back { instance, request, attempt, outcome });
        }
    }

    fn served(&mut self, done: Vec<Done>) {
        for Done { job, served, .. } in done {
            let Some((instance, request, attempt)) = self.held.remove(&job) else { continue };
            let (status, outcome) = if served { (200, Came::Ok) } else { (500, Came::Error) };
            self.note(Seen::AttemptAnswered { number: job, status, unprocessed: false });
            self.reply(instance, request, attempt, outcome);
        }
    }

    fn back(&mut self, instance: usize, request: RequestId, attempt: AttemptNo, outcome: Came) {
        let Some(out) = self.instances[instance].out.remove(&(request, attempt)) else { return };
        let outcome = match outcome {
            Came::Ok => Outcome::Ok,
            Came::Error => Outcome::Error,
            Came::Rejected => Outcome::Rejected,
            Came::ConnectFailed => Outcome::ConnectFailed,
            Came::Reset => Outcome::Reset,
        };
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            self.instances[instance].idle.entry(out.server).or_default().push(self.now);
        }
        if outcome == Outcome::Ok {
            self.answer(request, 200, 0);
        }
        let end = self.end(request, attempt, &out, outcome);
        self.tell(instance, end);
    }

    fn timed_out(&mut self, instance: usize, request: RequestId, attempt: AttemptNo) {
        if let Some(out) = self.instances[instance].out.remove(&(request, attempt)) {
            let end = self.end(request, attempt, &out, Outcome::TimedOut);
            self.tell(instance, end);
        }
    }

    // ---- Faults ----

    fn fault(&mut self, step: Step) {
        match step {
            Step::ServerDown(server) => {
                self.world.stop(server);
                self.lose(server, true);
            }
            Step::ServerUp(server) => {
                self.world.start(server);
                self.note(Seen::ServerUp { server });
            }
            Step::ServerSilent(server, on) => {
                self.world.silence(server, on);
                if on {
                    self.lose(server, false);
                }
            }
            Step::ServerSlow(server, times) => self.world.slow_down(server, times),
            Step::ServerFails(server, share) => self.world.fail(server, share),
            Step::Cut(zone, way, on) => {
                self.cuts.retain(|cut| *cut != (zone, way));
                if on {
                    self.cuts.push((zone, way));
                }
            }
            Step::Slow(more) => self.slow = more,
            Step::Resets(share) => self.resets = share,
            Step::Datagrams(kind, share) => self.faults.set(kind, share),
            // Its list is drawn ahead here, and a call that fails changes nothing; nobody lies.
            Step::Returns(..) | Step::Agents(_) | Step::Lies(_) | Step::ServerLeaves(_) => {}
            Step::SidecarKill(sidecar) => {
                let Some(instance) = self.current[sidecar].take() else { return };
                self.instances[instance].dead = true;
                self.note(Seen::SidecarDown { sidecar, killed: true });
                let lost: Vec<Try> = self
                    .open
                    .iter()
                    .filter(|(_, o)| o.instance == instance)
                    .map(|(request, _)| *request)
                    .collect();
                for request in lost {
                    if let Some(open) = self.open.remove(&request) {
                        self.note(Seen::Lost { request });
                        self.client_again(&open, false, 0);
                    }
                }
            }
            Step::SidecarStart(sidecar) => self.at(self.now, What::Return(sidecar)),
            Step::SidecarRestart(sidecar) => {
                // What it has it still answers.
                if let Some(instance) = self.current[sidecar].take() {
                    self.member(instance, Core::leave);
                    self.instances[instance].member = None;
                }
                self.note(Seen::SidecarTold { sidecar });
                self.at(self.now + AWAY, What::Return(sidecar));
            }
            Step::SidecarPause(sidecar, on) => {
                let Some(instance) = self.current[sidecar] else { return };
                let frozen = &mut self.instances[instance].frozen;
                if on {
                    frozen.get_or_insert_default();
                } else if let Some(waiting) = frozen.take() {
                    waiting.into_iter().for_each(|what| self.happen(what));
                }
            }
        }
    }

    /// What a server held comes to nothing; a process that ended resets its connections.
    fn lose(&mut self, server: usize, resets: bool) {
        let world = &self.world;
        let lost: Vec<u64> = self.held.keys().copied().filter(|job| !world.holds(*job)).collect();
        for number in lost {
            let Some((instance, request, attempt)) = self.held.remove(&number) else { continue };
            self.note(Seen::AttemptSwallowed { number });
            if resets {
                self.reply(instance, request, attempt, Came::Reset);
            }
        }
        if resets {
            self.instances.iter_mut().for_each(|i| drop(i.idle.remove(&server)));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::draw::draw;
    use crate::experiment::{Fault, FaultKind};
    use crate::outcome::Measure;
    use linenproxy_common::units::Time;

    fn experiment(kind: Option<FaultKind>) -> Experiment {
        let mut experiment = Experiment { name: "a".to_owned(), ..Experiment::default() };
        experiment.load.lasts = Time::ms(12_000);
        experiment.load.work = 0.5;
        let sized = matches!(kind, Some(FaultKind::ServersSlow | FaultKind::NetworkSlow));
        experiment.fault.extend(kind.map(|kind| Fault {
            kind,
            at: Time::ms(4000),
            lasts: Time::ms(3000),
            zone: None,
            part: Some(0.25),
            size: sized.then_some(3.0),
            way: (kind == FaultKind::ZoneCut).then_some(Way::Both),
        }));
        experiment
    }

    #[test]
    fn a_seed_gives_the_same_bytes_twice() {
        let experiment = experiment(Some(FaultKind::ServersSilent));
        let bytes = |seed| {
            let plan = draw(&experiment, seed);
            let tally = simulate(&experiment, &plan, &Variant::default()).expect("it can be played");
            serde_json::to_string(&tally).expect("it can be written")
        };
        assert_eq!(bytes(5), bytes(5));
        assert_ne!(bytes(5), bytes(6));
    }

    #[test]
    fn no_rule_is_broken_in_any_trouble_and_calm_serves_nearly_all() {
        use FaultKind::*;
        let kinds = [
            None,
            Some(ServersDie),
            Some(ServersSilent),
            Some(ServersSlow),
            Some(ServersReplace),
            Some(ZoneCut),
            Some(NetworkSlow),
            Some(SidecarsKill),
            Some(SidecarsRoll),
        ];
        for kind in kinds {
            let experiment = experiment(kind);
            for seed in 1..4 {
                let tally = simulate(&experiment, &draw(&experiment, seed), &Variant::default());
                let tally = tally.expect("it can be played");
                let (findings, served) = (&tally.findings, tally.measures[&Measure::Served]);
                assert!(findings.is_empty(), "{kind:?}, seed {seed}: {findings:?}");
                let least = if kind.is_none() { 0.9 } else { 0.5 };
                assert!(served > least, "{kind:?}, seed {seed}: {served}");
                let swallowed = tally.measures[&Measure::Swallowed];
                assert!(kind != Some(ServersSilent) || swallowed > 0.0, "nothing came to a silent server");
                assert!(kind.is_some() || swallowed == 0.0, "something was swallowed in calm");
            }
        }
    }
}
