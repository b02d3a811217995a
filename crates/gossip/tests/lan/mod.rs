//! Fleets of members over a simulated network: no socket, no clock, the same for the same seed.
#![allow(dead_code, reason = "each file of tests uses its part")]

use load_balancer_gossip::connectivity::ConnectivityState;
use load_balancer_gossip::core::{Core, EjectionUpdate, ObservedEndpoint, ReceivedFragment};
use load_balancer_gossip::effects::Note;
use load_balancer_gossip::frame::{
    self, Content, DropReason, FrameHeader, KIND_OBSERVATION, MessagePart,
};
use load_balancer_gossip::health_status::EjectionStatus;
use load_balancer_gossip::member::Member;
use load_balancer_gossip::observation_table::{Observation, ObservedHealth, Process};
use load_balancer_gossip::section::FleetSection;
use load_balancer_gossip::{Micros, SECOND, hash};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};

pub const EPOCH: Micros = 1_000_000 * SECOND;
pub const ENDPOINTS: usize = 10;
/// No member.
pub const NOBODY: [usize; 0] = [];

/// A datagram under way: when it comes, its number, to whom, from where.
type Mail = Reverse<(Micros, u64, usize, SocketAddr, Vec<u8>)>;

/// Members on a network, in three zones by turns.
pub struct Lan {
    pub cores: Vec<Option<Core>>,
    pub offsets: Vec<Micros>,
    /// Stopped until then.
    pub stopped: Vec<Micros>,
    pub ejections: Vec<BTreeMap<usize, EjectionUpdate>>,
    /// What came out of carried fragments at each.
    pub carried: Vec<Vec<ReceivedFragment>>,
    pub now: Micros,
    pub mail: BinaryHeap<Mail>,
    pub number: u64,
    pub rng: SmallRng,
    pub lost: f64,
    pub repeated: f64,
    pub late: Micros,
    /// Where each member is, and when it is to tick next.
    pub places: HashMap<SocketAddr, usize>,
    pub due: Vec<Micros>,
    /// What people were told, by when and whom.
    pub notes: Vec<(Micros, usize, Note)>,
    /// Members find out where they stand.
    pub connectivity: bool,
    /// Members that nothing reaches and that reach nobody.
    pub isolated: Vec<usize>,
    /// From that zone nothing gets into that one.
    pub cuts: Vec<(usize, usize)>,
}

pub fn address(member: usize) -> SocketAddr {
    SocketAddr::from((
        Ipv4Addr::new(127, 0, (member / 250) as u8, (member % 250 + 1) as u8),
        7946,
    ))
}

pub fn section(member: usize, members: usize) -> FleetSection {
    let seeds = (0..members.min(4))
        .filter(|seed| *seed != member)
        .map(address)
        .collect();
    FleetSection {
        enabled: true,
        listen: address(member),
        seeds,
        ..FleetSection::default()
    }
}

pub fn listed(endpoint: usize) -> ObservedEndpoint {
    ObservedEndpoint {
        endpoint,
        name: format!("s-{endpoint}"),
        started: None,
        ready: true,
    }
}

impl Lan {
    pub fn new(members: usize, seed: u64) -> Self {
        let mut lan = Self {
            cores: (0..members).map(|_| None).collect(),
            offsets: vec![0; members],
            stopped: vec![Micros::MIN; members],
            ejections: vec![BTreeMap::new(); members],
            carried: vec![Vec::new(); members],
            now: EPOCH,
            mail: BinaryHeap::new(),
            number: 0,
            rng: SmallRng::seed_from_u64(seed),
            lost: 0.0,
            repeated: 0.0,
            late: 0,
            places: (0..members).map(|m| (address(m), m)).collect(),
            due: vec![EPOCH; members],
            notes: Vec::new(),
            connectivity: false,
            isolated: Vec::new(),
            cuts: Vec::new(),
        };
        (0..members).for_each(|member| lan.start(member));
        lan
    }

    /// One whose members find out where they stand, settled.
    pub fn settled(members: usize, seed: u64) -> Self {
        let mut lan = Self::new(members, seed);
        lan.connectivity = true;
        (0..members).for_each(|member| lan.start(member));
        lan.run(15 * SECOND);
        lan.notes.clear();
        lan
    }

    /// The same, but all know all from the start: a large fleet that gets to know itself takes long
    /// to simulate.
    pub fn acquainted(members: usize, seed: u64) -> Self {
        let mut lan = Self::new(members, seed);
        lan.connectivity = true;
        (0..members).for_each(|member| lan.start(member));
        let all: Vec<Member> = (0..members).map(|m| lan.member(m)).collect();
        for member in 0..members {
            let others = all
                .iter()
                .filter(|other| other.address != address(member))
                .cloned();
            lan.with(member, |core, now| core.add_known_members(now, others));
        }
        lan.run(10 * SECOND);
        lan.notes.clear();
        lan
    }

    fn member(&self, member: usize) -> Member {
        let incarnation = (self.now + self.offsets[member]).unsigned_abs();
        let zone = ["a", "b", "c"][member % 3].to_owned();
        Member {
            address: address(member),
            name: format!("n{member}"),
            zone,
            incarnation,
        }
    }

    /// What each member that runs takes its connectivity state for.
    pub fn connectivity_states(&self) -> Vec<ConnectivityState> {
        self.cores
            .iter()
            .flatten()
            .map(|core| core.connectivity().state)
            .collect()
    }

    /// Starts a member, again if it runs.
    pub fn start(&mut self, member: usize) {
        let (now, seed) = (self.now + self.offsets[member], self.rng.random());
        let zone = ["a", "b", "c"][member % 3];
        let mut section = section(member, self.cores.len());
        section.members = section.members.max(self.cores.len() as u32);
        section.connectivity.enabled = self.connectivity;
        let mut core = Core::new(
            &section,
            &format!("n{member}"),
            zone,
            now.unsigned_abs(),
            seed,
            now,
        );
        core.set_endpoints(now, (0..ENDPOINTS).map(listed).collect());
        core.set_endpoint_zones((0..ENDPOINTS).map(|e| (e, ["a", "b", "c"][e % 3])));
        self.due[member] = self.now;
        self.cores[member] = Some(core);
        self.ejections[member].clear();
    }

    pub fn with<T>(
        &mut self,
        member: usize,
        what: impl FnOnce(&mut Core, Micros) -> T,
    ) -> Option<T> {
        let now = self.now + self.offsets[member];
        let core = self.cores[member].as_mut()?;
        let result = what(core, now);
        let effects = core.take_effects();
        self.due[member] = core.next() - self.offsets[member];
        self.notes.extend(
            effects
                .notes
                .into_iter()
                .map(|note| (self.now, member, note)),
        );
        for (to, bytes) in effects.datagrams {
            self.post(address(member), to, bytes);
        }
        self.carried[member].extend(effects.fragments);
        for update in effects.ejections {
            match update.status {
                EjectionStatus::Ejected | EjectionStatus::TrialDue => {
                    self.ejections[member].insert(update.endpoint, update);
                }
                EjectionStatus::NotEjected | EjectionStatus::Recovered => {
                    self.ejections[member].remove(&update.endpoint);
                }
            }
        }
        Some(result)
    }

    pub fn post(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let member = |at: SocketAddr| self.places.get(&at).copied();
        let (Some(source), Some(to)) = (member(from), member(to)) else {
            return;
        };
        if self.isolated.contains(&source) || self.isolated.contains(&to) {
            return;
        }
        if self.cuts.contains(&(source % 3, to % 3)) || self.rng.random_bool(self.lost) {
            return;
        }
        for _ in 0..if self.rng.random_bool(self.repeated) {
            2
        } else {
            1
        } {
            self.number += 1;
            let at = self.now + self.rng.random_range(200..=2000 + self.late);
            self.mail
                .push(Reverse((at, self.number, to, from, bytes.clone())));
        }
    }

    /// Time passes.
    pub fn run(&mut self, time: Micros) {
        let until = self.now + time;
        loop {
            let tick = (0..self.cores.len()).filter_map(|m| {
                self.cores[m].as_ref()?;
                Some((self.due[m].max(self.stopped[m]), m))
            });
            let tick = tick.min();
            let mail = self.mail.peek().map(|Reverse((at, ..))| *at);
            let next = [tick.map(|t| t.0), mail]
                .into_iter()
                .flatten()
                .min()
                .filter(|at| *at < until);
            let Some(next) = next else { break };
            self.now = self.now.max(next);
            if mail.is_some_and(|at| at <= self.now) {
                if let Some(Reverse((_, number, to, from, bytes))) = self.mail.pop() {
                    match self.stopped[to] {
                        till if till > self.now => {
                            self.mail.push(Reverse((till, number, to, from, bytes)))
                        }
                        _ => {
                            self.with(to, |core, now| core.handle_datagram(now, from, &bytes));
                        }
                    }
                }
            } else if let Some((_, member)) = tick {
                self.with(member, Core::tick);
            }
        }
        self.now = until;
    }

    pub fn sees(
        &mut self,
        members: impl IntoIterator<Item = usize>,
        endpoint: usize,
        health: ObservedHealth,
    ) {
        for member in members {
            self.with(member, |core, now| core.observe(now, endpoint, health));
        }
    }

    /// Members that let an endpoint rest.
    pub fn ejected(&self, endpoint: usize) -> Vec<usize> {
        let rests = |m: &usize| {
            self.ejections[*m]
                .get(&endpoint)
                .is_some_and(|w| w.expires > self.now + self.offsets[*m])
        };
        (0..self.cores.len()).filter(rests).collect()
    }

    pub fn dropped(&self, member: usize, why: DropReason) -> u64 {
        self.cores[member]
            .as_ref()
            .map_or(0, |core| core.counts().dropped[why as usize])
    }

    pub fn known(&self) -> Vec<usize> {
        self.cores.iter().flatten().map(Core::members).collect()
    }

    /// Observations in another's name, or in the own one.
    pub fn forge(&mut self, by: usize, origin: usize, endpoint: usize, sequence: u64) {
        let incarnation = u64::MAX / 2;
        let process = Process {
            name: hash(&format!("s-{endpoint}")),
            started: 0,
        };
        let zone = hash(["a", "b", "c"][origin % 3]);
        let origin = hash(&format!("n{origin}"));
        let observation = Observation {
            origin,
            incarnation,
            sequence,
            zone,
            seen: self.now,
            process,
            health: ObservedHealth::Unhealthy,
        };
        let bytes = postcard::to_stdvec(&observation).expect("it can be written");
        let mut frame = frame::begin(&FrameHeader {
            cluster: "linenproxy",
            sent_at: self.now,
            content: Content::Updates,
        });
        assert!(frame::try_append(
            &mut frame,
            &MessagePart {
                kind: KIND_OBSERVATION,
                bytes: &bytes
            }
        ));
        for to in 0..self.cores.len() {
            self.post(address(by), address(to), frame.clone());
        }
    }
}
