//! Random histories of a few members with loss, duplication, reordering, partitions, crashes, stops
//! and skewed clocks.

mod checks;
mod events;
mod runs;

use crate::entry::Process;
use crate::exchange::TICK;
use crate::member::AffinityMember;
use crate::safety_rules::SafetyRules;
use crate::section::AffinityEntriesSection;
use crate::time::Times;
use crate::{Micros, mix};
use load_balancer_common::units::Time;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Where true time begins.
const EPOCH: Micros = 1_900_000_000_000_000;
const KEYS: u64 = 24;
const PROCESSES: u64 = 3;
/// Sends of a periodic message, for those by members that pass its entries on: an entry goes with
/// three of them, so that at 30 % loss one in 10^14 is not reached.
const SENDS: usize = 9;

/// Lives as short as they can be beside the spread, so that much ages out in a history.
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
    lifetime: u64,
    offset: Micros,
    stopped: bool,
    booted: Micros,
    /// Since when nothing befell this member.
    steady: Micros,
    under_way: Vec<(Micros, Process)>,
}

/// When it arrives, its number, from whom, to whom, and the fragment.
type Datagram = (Micros, u64, usize, usize, Vec<u8>);

struct World {
    t: Micros,
    times: Times,
    rules: SafetyRules,
    capacity: usize,
    rng: fastrand::Rng,
    nodes: Vec<Node>,
    net: BinaryHeap<Reverse<Datagram>>,
    sent: u64,
    loss: f64,
    /// From whom to whom nothing passes.
    cut: Vec<Vec<bool>>,
    /// Since when something passes.
    joined: Vec<Vec<Micros>>,
    truth: checks::Truth,
    /// The member that is asked whether the first process is clear, and since when it is.
    asked: Option<usize>,
    clear: Option<Micros>,
}

impl World {
    fn new(seed: u64, members: usize, capacity: usize, rules: SafetyRules) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let times = section().times();
        let loss = [0.0, 0.1, 0.3][rng.usize(..3)];
        let mut world = Self {
            t: EPOCH + rng.i64(0..times.slot),
            times,
            rules,
            capacity,
            nodes: Vec::new(),
            net: BinaryHeap::new(),
            sent: 0,
            loss,
            cut: vec![vec![false; members]; members],
            joined: vec![vec![0; members]; members],
            truth: checks::Truth::default(),
            asked: None,
            clear: None,
            rng,
        };
        for i in 0..members {
            // Two clocks differ by the skew at the most; one history in eight has one that is off
            // by two seconds.
            let half = times.skew / 2;
            let off = i == 0 && world.rng.u8(..8) == 0;
            let way = if world.rng.bool() {
                2_000_000
            } else {
                -2_000_000
            };
            let offset = if off {
                way
            } else {
                world.rng.i64(-half..=half)
            };
            let node = world.boot(i, offset, true);
            world.nodes.push(node);
        }
        world
    }

    fn boot(&mut self, i: usize, offset: Micros, founds: bool) -> Node {
        self.sent += 1;
        let (members, lifetime) = (self.cut.len(), self.sent);
        let rates = section().rates(members as u32);
        let number = member(i as u64);
        let mut affinity = AffinityMember::new(
            self.t + offset,
            self.times,
            self.capacity,
            rates,
            number,
            founds,
        );
        (
            affinity.rules,
            affinity.publishing.rules,
            affinity.table.rules,
        ) = (self.rules, self.rules, self.rules);
        affinity.members(&(0..members as u64).map(member).collect::<Vec<_>>());
        let (booted, steady, under_way) = (self.t, self.t, Vec::new());
        Node {
            affinity,
            lifetime,
            offset,
            stopped: false,
            booted,
            steady,
            under_way,
        }
    }

    fn now(&self, i: usize) -> Micros {
        self.t + self.nodes[i].offset
    }

    fn mono(&self, i: usize) -> Micros {
        self.t - self.nodes[i].booted
    }

    /// A datagram leaves: it is lost, late, comes twice, or overtakes others.
    fn send(&mut self, from: usize, to: usize, bytes: &[u8], sends: usize) {
        let repeats = 1 + usize::from(self.rng.u8(..10) == 0);
        let mut at = self.t;
        let mut came = 0;
        for _ in 0..sends {
            if came < repeats && self.rng.f64() >= self.loss {
                came += 1;
                self.sent += 1;
                let late = if self.rng.u8(..40) == 0 {
                    self.rng.i64(0..20_000_000)
                } else {
                    0
                };
                let arrives = at + self.rng.i64(1000..100_000) + if came > 1 { late } else { 0 };
                self.net
                    .push(Reverse((arrives, self.sent, from, to, bytes.to_vec())));
            }
            at += 50_000;
        }
    }

    fn step(&mut self) {
        self.t += TICK;
        self.befall();
        // Who was stopped goes on with what it knew before it reads what waits for it.
        self.check();
        self.use_keys();
        while self
            .net
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= self.t)
            && let Some(Reverse((_, _, from, to, bytes))) = self.net.pop()
        {
            self.arrive(from, to, &bytes);
        }
        self.check();
        for i in 0..self.nodes.len() {
            self.tick(i);
        }
        self.ask();
    }

    fn arrive(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if self.nodes[to].stopped {
            // It waits in the socket's buffer.
            self.sent += 1;
            self.net.push(Reverse((
                self.t + TICK,
                self.sent,
                from,
                to,
                bytes.to_vec(),
            )));
            return;
        }
        if self.cut[from][to] {
            return;
        }
        let now = self.now(to);
        // What cannot be read is no history's business.
        let _ = self.nodes[to].affinity.receive(now, from as u64, bytes);
    }

    fn tick(&mut self, i: usize) {
        if self.nodes[i].stopped {
            return;
        }
        let (now, t) = (self.now(i), self.t);
        let node = &mut self.nodes[i];
        for (_, process) in node.under_way.extract_if(.., |(until, _)| *until <= t) {
            node.affinity.under_way(process, false);
        }
        let mono = self.mono(i);
        let told = self.nodes[i].affinity.tick(now, mono);
        for to in (0..self.nodes.len()).filter(|to| *to != i) {
            told.nearby
                .iter()
                .for_each(|message| self.send(i, to, message, SENDS));
        }
        for (to, message) in told.direct {
            self.send(i, to as usize, &message, 1);
        }
    }

    /// Requests come in: each goes where its key is bound, or else where all would send it, or
    /// elsewhere.
    fn use_keys(&mut self) {
        for i in 0..self.nodes.len() {
            if self.nodes[i].stopped || self.rng.u8(..4) > 0 {
                continue;
            }
            let key = self.rng.u64(..KEYS);
            let (now, mono) = (self.now(i), self.mono(i));
            let cached_at = self.nodes[i]
                .affinity
                .picks(now, mono, key, |_| true)
                .first()
                .copied();
            let at = cached_at.unwrap_or_else(|| process(mix(key, self.rng.u64(..2)) % PROCESSES));
            if cached_at.is_some() {
                let until = self.t + self.rng.i64(0..self.times.longest_use);
                self.nodes[i].under_way.push((until, at));
                self.nodes[i].affinity.under_way(at, true);
            }
            self.nodes[i].affinity.record_use(now, key, at);
            // A use by an affinity entry that is about to end is told too late: the spread, two
            // clocks and a slot before.
            let late =
                self.times.slot(now + 2 * self.times.skew) + self.times.dissemination_time + 2;
            let in_time = self.nodes[i]
                .affinity
                .table
                .at(key, at)
                .is_some_and(|w| w.ends > late);
            self.truth.record_use(
                self.t,
                self.times.slot(now),
                i,
                (key, at),
                cached_at.is_some() && in_time,
            );
        }
    }

    /// Whoever wants the first process away asks one member, again and again.
    fn ask(&mut self) {
        let Some(i) = self.asked.filter(|i| !self.nodes[*i].stopped) else {
            return;
        };
        let (now, mono) = (self.now(i), self.mono(i));
        // It knows for sure of itself alone; whom it heard of, it knows by itself.
        if self.nodes[i]
            .affinity
            .clear(now, mono, process(0), 0, &[member(i as u64)])
            .clear
        {
            self.clear = self.clear.or(Some(self.t));
        }
    }
}

/// What came of histories: how often each property was looked at, and the first breach.
type Found = (HashMap<&'static str, u64>, Option<String>);

fn play(seed: u64, rules: SafetyRules, capacity: usize, seconds: i64) -> Found {
    let members = 3 + (seed % 3) as usize;
    let mut world = World::new(seed, members, capacity, rules);
    while world.t < EPOCH + seconds * 1_000_000 && world.truth.breach.is_none() {
        world.step();
    }
    world.settle();
    (world.truth.looked, world.truth.breach)
}
