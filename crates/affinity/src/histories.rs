//! Random histories of a few members with message loss, duplication and reordering, partitions,
//! crashes, suspensions and skewed clocks.

mod checks;
mod events;
mod runs;

use crate::entry::Process;
use crate::exchange::TICK_US;
use crate::member::AffinityMember;
use crate::safety_rules::SafetyRules;
use crate::section::AffinityEntriesSection;
use crate::time::Times;
use crate::{Micros, mix};
use load_balancer_common::units::Time;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// The time at which a history starts.
const START_US: Micros = 1_900_000_000_000_000;
const KEYS: u64 = 24;
const PROCESSES: u64 = 3;
/// Sends of one periodic message, standing in for the members that would forward its entries: an
/// entry is in three such messages, so that with 30% loss one in 10^14 is not delivered.
const SENDS_PER_MESSAGE: usize = 9;

/// The shortest lifetimes that the dissemination time permits, so that many entries expire in a
/// history.
fn section() -> AffinityEntriesSection {
    let (first_lifetime, renewed_lifetime) = (Time::ms(6000), Time::ms(12_000));
    AffinityEntriesSection {
        first_lifetime,
        renewed_lifetime,
        ..AffinityEntriesSection::default()
    }
}

fn process(name: u64) -> Process {
    Process { name, started: 7 }
}

fn member(i: u64) -> u64 {
    mix(i, 0)
}

struct Node {
    affinity: AffinityMember,
    incarnation: u64,
    offset: Micros,
    stopped: bool,
    started_at: Micros,
    /// Since when no fault has affected this member.
    undisturbed_since: Micros,
    in_flight: Vec<(Micros, Process)>,
}

/// Time of arrival, sequence number, sender, receiver and content.
type Datagram = (Micros, u64, usize, usize, Vec<u8>);

struct World {
    now: Micros,
    times: Times,
    rules: SafetyRules,
    capacity: usize,
    rng: fastrand::Rng,
    nodes: Vec<Node>,
    network: BinaryHeap<Reverse<Datagram>>,
    sent: u64,
    loss: f64,
    /// From which member to which nothing is delivered.
    is_blocked: Vec<Vec<bool>>,
    /// Since when datagrams are delivered.
    connected_since: Vec<Vec<Micros>>,
    record: checks::HistoryRecord,
    /// The member that is queried whether the first process is clear, and since when it is.
    queried_member: Option<usize>,
    clear_since: Option<Micros>,
}

impl World {
    fn new(seed: u64, members: usize, capacity: usize, rules: SafetyRules) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let times = section().times();
        let loss = [0.0, 0.1, 0.3][rng.usize(..3)];
        let mut world = Self {
            now: START_US + rng.i64(0..times.slot),
            times,
            rules,
            capacity,
            nodes: Vec::new(),
            network: BinaryHeap::new(),
            sent: 0,
            loss,
            is_blocked: vec![vec![false; members]; members],
            connected_since: vec![vec![0; members]; members],
            record: checks::HistoryRecord::default(),
            queried_member: None,
            clear_since: None,
            rng,
        };
        for i in 0..members {
            // Clocks differ by at most the skew, except in one history of eight, in which one clock
            // is two seconds off.
            let half = times.skew / 2;
            let is_skewed = i == 0 && world.rng.u8(..8) == 0;
            let large_offset = if world.rng.bool() {
                2_000_000
            } else {
                -2_000_000
            };
            let offset = if is_skewed {
                large_offset
            } else {
                world.rng.i64(-half..=half)
            };
            let node = world.start_member(i, offset, true);
            world.nodes.push(node);
        }
        world
    }

    fn start_member(&mut self, i: usize, offset: Micros, is_founder: bool) -> Node {
        self.sent += 1;
        let (members, incarnation) = (self.is_blocked.len(), self.sent);
        let rates = section().rates(members as u32);
        let number = member(i as u64);
        let mut affinity = AffinityMember::new(
            self.now + offset,
            self.times,
            self.capacity,
            rates,
            number,
            is_founder,
        );
        (
            affinity.rules,
            affinity.publishing.rules,
            affinity.table.rules,
        ) = (self.rules, self.rules, self.rules);
        affinity.set_members(&(0..members as u64).map(member).collect::<Vec<_>>());
        let (started_at, undisturbed_since, under_way) = (self.now, self.now, Vec::new());
        Node {
            affinity,
            incarnation,
            offset,
            stopped: false,
            started_at,
            undisturbed_since,
            in_flight: under_way,
        }
    }

    fn clock(&self, i: usize) -> Micros {
        self.now + self.nodes[i].offset
    }

    fn monotonic_clock(&self, i: usize) -> Micros {
        self.now - self.nodes[i].started_at
    }

    /// Sends a datagram, which may be lost, delayed, duplicated or reordered.
    fn send(&mut self, from: usize, to: usize, bytes: &[u8], sends: usize) {
        let repeats = 1 + usize::from(self.rng.u8(..10) == 0);
        let mut send_at = self.now;
        let mut delivered = 0;
        for _ in 0..sends {
            if delivered < repeats && self.rng.f64() >= self.loss {
                delivered += 1;
                self.sent += 1;
                let delay = if self.rng.u8(..40) == 0 {
                    self.rng.i64(0..20_000_000)
                } else {
                    0
                };
                let arrives =
                    send_at + self.rng.i64(1000..100_000) + if delivered > 1 { delay } else { 0 };
                self.network
                    .push(Reverse((arrives, self.sent, from, to, bytes.to_vec())));
            }
            send_at += 50_000;
        }
    }

    fn step(&mut self) {
        self.now += TICK_US;
        self.inject_fault();
        // A member that was suspended acts on what it knew before it reads waiting datagrams.
        self.check();
        self.send_requests();
        while self
            .network
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= self.now)
            && let Some(Reverse((_, _, from, to, bytes))) = self.network.pop()
        {
            self.deliver_datagram(from, to, &bytes);
        }
        self.check();
        for i in 0..self.nodes.len() {
            self.tick(i);
        }
        self.query_clear();
    }

    fn deliver_datagram(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if self.nodes[to].stopped {
            // It waits in the socket's buffer.
            self.sent += 1;
            self.network.push(Reverse((
                self.now + TICK_US,
                self.sent,
                from,
                to,
                bytes.to_vec(),
            )));
            return;
        }
        if self.is_blocked[from][to] {
            return;
        }
        let now = self.clock(to);
        // Rejected messages are irrelevant here.
        let _ = self.nodes[to].affinity.receive(now, from as u64, bytes);
    }

    fn tick(&mut self, i: usize) {
        if self.nodes[i].stopped {
            return;
        }
        let (now, t) = (self.clock(i), self.now);
        let node = &mut self.nodes[i];
        for (_, process) in node.in_flight.extract_if(.., |(until, _)| *until <= t) {
            node.affinity.set_in_flight(process, false);
        }
        let monotonic_now = self.monotonic_clock(i);
        let outgoing = self.nodes[i].affinity.tick(now, monotonic_now);
        for to in (0..self.nodes.len()).filter(|to| *to != i) {
            outgoing
                .periodic
                .iter()
                .for_each(|message| self.send(i, to, message, SENDS_PER_MESSAGE));
        }
        for (to, message) in outgoing.direct {
            self.send(i, to as usize, &message, 1);
        }
    }

    /// Sends requests: to a process with an entry for the key, otherwise to the process that all
    /// members would choose or to another one.
    fn send_requests(&mut self) {
        for i in 0..self.nodes.len() {
            if self.nodes[i].stopped || self.rng.u8(..4) > 0 {
                continue;
            }
            let key = self.rng.u64(..KEYS);
            let (now, monotonic_now) = (self.clock(i), self.monotonic_clock(i));
            let picked = self.nodes[i]
                .affinity
                .pick(now, monotonic_now, key, |_| true)
                .first()
                .copied();
            let process =
                picked.unwrap_or_else(|| process(mix(key, self.rng.u64(..2)) % PROCESSES));
            if picked.is_some() {
                let ends_at = self.now + self.rng.i64(0..self.times.longest_use);
                self.nodes[i].in_flight.push((ends_at, process));
                self.nodes[i].affinity.set_in_flight(process, true);
            }
            self.nodes[i].affinity.record_use(now, key, process);
            // A use of an entry that is about to expire is published too late: the margin is the
            // dissemination time, two clocks and a slot.
            let latest_renewal =
                self.times.slot(now + 2 * self.times.skew) + self.times.dissemination_time + 2;
            let is_renewable = self.nodes[i]
                .affinity
                .table
                .get(key, process)
                .is_some_and(|w| w.expires_slot > latest_renewal);
            self.record.record_use(
                self.now,
                self.times.slot(now),
                i,
                (key, process),
                picked.is_some() && is_renewable,
            );
        }
    }

    /// Queries one member repeatedly whether the first process is clear.
    fn query_clear(&mut self) {
        let Some(i) = self.queried_member.filter(|i| !self.nodes[*i].stopped) else {
            return;
        };
        let (now, monotonic_now) = (self.clock(i), self.monotonic_clock(i));
        // Only the member itself is given as known to run; it knows the others it has heard of.
        if self.nodes[i]
            .affinity
            .drain_status(now, monotonic_now, process(0), 0, &[member(i as u64)])
            .clear
        {
            self.clear_since = self.clear_since.or(Some(self.now));
        }
    }
}

/// Number of checks of each property, and the first violation.
type HistoryResult = (HashMap<&'static str, u64>, Option<String>);

fn run_history(seed: u64, rules: SafetyRules, capacity: usize, seconds: i64) -> HistoryResult {
    let members = 3 + (seed % 3) as usize;
    let mut world = World::new(seed, members, capacity, rules);
    while world.now < START_US + seconds * 1_000_000 && world.record.violation.is_none() {
        world.step();
    }
    world.settle();
    (world.record.checks, world.record.violation)
}
