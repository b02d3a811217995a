//! A cluster of replicas in simulated time with network, disks and power, with invariants checked
//! at every step.

use crate::book::{RecordingMachine, SharedHistory};
use crate::faults::{Counts, FaultRates};
use load_balancer_coordinator::replicated_log::{
    Admission, LogStore, Message, Node, Options, decode, encode,
};
use load_balancer_record_store::disk::Disk;
use load_balancer_record_store::{OpenError, Store};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The host of one coordinator: its disk, and the node while it runs.
pub struct Host {
    pub name: String,
    pub disk: Disk,
    pub node: Option<Node<RecordingMachine>>,
    /// Offset of its clock in milliseconds.
    skew: i64,
}

pub struct World {
    pub random: fastrand::Rng,
    pub now: u64,
    pub hosts: Vec<Host>,
    pub history: Rc<RefCell<SharedHistory>>,
    in_transit: BTreeMap<(u64, u64), Vec<u8>>,
    sent: u64,
    /// Hosts by the ids of their disks.
    hosts_by_disk: BTreeMap<u64, usize>,
    pub partition: Vec<u8>,
    pub faults: FaultRates,
    next_order: u64,
    requests: BTreeMap<u64, u64>,
    pub answered: BTreeSet<u64>,
    pub leaders: BTreeMap<u64, u64>,
    /// The host whose disk lost its vote and has not got a new one; at most one at a time.
    pub host_without_vote: Option<usize>,
    pub counts: Counts,
}

const START_MS: i64 = 1_800_000_000_000;
const TICK_MS: u64 = 10;
const PATIENCE: usize = 10;

impl World {
    pub fn new(seed: u64, size: usize, faults: FaultRates) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let slot = |n: usize, random: &mut fastrand::Rng| Host {
            name: format!("steward-{n}"),
            disk: Disk::new(),
            node: None,
            skew: random.i64(-2_000..2_000),
        };
        let slots = (0..size).map(|n| slot(n, &mut random)).collect();
        let mut world = Self {
            random,
            now: 0,
            hosts: slots,
            history: Rc::default(),
            in_transit: BTreeMap::new(),
            sent: 0,
            hosts_by_disk: BTreeMap::new(),
            partition: vec![0; size],
            faults,
            next_order: 0,
            requests: BTreeMap::new(),
            answered: BTreeSet::new(),
            leaders: BTreeMap::new(),
            host_without_vote: None,
            counts: Counts::default(),
        };
        (0..size).for_each(|place| world.start(place, place == 0));
        world
    }

    pub fn start(&mut self, place: usize, is_founder: bool) {
        let (id, run) = (self.random.u64(1..), self.random.u64(..));
        let slot = &mut self.hosts[place];
        let store = match Store::open_backend(slot.disk.clone(), &slot.name) {
            Ok(store) => store,
            Err(OpenError::Corruption(_)) => {
                // A corrupt store is replaced, as opening the file does.
                self.counts.refused_disks += 1;
                slot.disk = Disk::new();
                Store::open_backend(slot.disk.clone(), &slot.name).expect("a new disk")
            }
            Err(refusal) => panic!("{refusal}"),
        };
        let log_store = LogStore::open(store, id).expect("what is kept belongs together");
        if log_store.is_blank() && self.now > 0 && self.host_without_vote.is_none() {
            self.host_without_vote = Some(place);
        }
        let machine = RecordingMachine {
            history: self.history.clone(),
            orders: Vec::new(),
        };
        let min_voters = self.partition.len().min(3);
        let options = Options {
            name: slot.name.clone(),
            run_id: run,
            election_ticks: PATIENCE,
            min_voters,
        };
        let node = Node::new(log_store, machine, options, is_founder).expect("starts");
        self.hosts_by_disk.insert(node.id(), place);
        slot.node = Some(node);
    }

    pub fn crash(&mut self, place: usize) {
        let random = &mut self.random;
        let slot = &mut self.hosts[place];
        slot.node = None;
        slot.disk = slot.disk.crash(|| random.bool());
        self.counts.crashes += 1;
    }

    /// Processes a node's ready state, sends its messages and checks its answers.
    fn process(&mut self, place: usize) {
        let Some(node) = &mut self.hosts[place].node else {
            return;
        };
        let effects = match node.process_ready() {
            Ok(effects) => effects,
            // The disk is full.
            Err(_) => return self.crash(place),
        };
        if self.history.borrow().corrupted {
            return effects
                .messages
                .iter()
                .for_each(|message| self.send(message));
        }
        if node.is_active_leader() {
            let replica_status = node.replica_status();
            let leader = *self
                .leaders
                .entry(replica_status.term)
                .or_insert(replica_status.id);
            assert_eq!(
                leader, replica_status.id,
                "two leaders of term {}",
                replica_status.term
            );
        }
        for (ticket, answer) in effects.answers {
            let order = self.requests[&ticket];
            let line = u64::from_le_bytes(answer.try_into().expect("a place")) as usize;
            assert_eq!(
                self.history.borrow().committed[line].1,
                order,
                "the answer belongs to another order"
            );
            assert!(self.answered.insert(order), "order {order} answered twice");
        }
        for ticket in effects.confirmed {
            // Everything answered before the request must be applied here.
            let lines = &self.hosts[place]
                .node
                .as_ref()
                .expect("it runs")
                .machine()
                .orders;
            assert!(
                lines.len() as u64 >= self.requests[&ticket],
                "a confirmed read lags"
            );
            self.counts.confirmed += 1;
        }
        for message in effects.messages {
            self.send(&message);
        }
    }

    fn send(&mut self, message: &Message) {
        let copies = 1 + u64::from(self.random.u64(0..1_000) < self.faults.repeats);
        for _ in 0..copies {
            if self.random.u64(0..1_000) < self.faults.loss {
                self.counts.lost_messages += 1;
                continue;
            }
            self.sent += 1;
            let at = self.now + self.random.u64(1..=self.faults.delay);
            self.in_transit
                .insert((at, self.sent), encode(message).expect("a form"));
        }
    }

    fn deliver(&mut self) {
        let later = self.in_transit.split_off(&(self.now + 1, 0));
        for (_, bytes) in std::mem::replace(&mut self.in_transit, later) {
            let message = decode(&bytes).expect("ours");
            let (from, to) = (
                self.hosts_by_disk.get(&message.from),
                self.hosts_by_disk.get(&message.to),
            );
            let (Some(from), Some(to)) = (from.copied(), to.copied()) else {
                continue;
            };
            if self.partition[from] == self.partition[to]
                && let Some(node) = &mut self.hosts[to].node
            {
                node.step(message);
                self.process(to);
            }
        }
    }

    /// A random host proposes an order and requests a confirmation; hosts without a vote request
    /// one.
    fn make_requests(&mut self) {
        let place = self.random.usize(0..self.hosts.len());
        let order = self.next_order;
        let clock = START_MS + (self.now * TICK_MS) as i64 + self.hosts[place].skew;
        let answered = self.answered.len() as u64;
        if let Some(node) = &mut self.hosts[place].node {
            if node
                .propose(clock, order * 2, order.to_le_bytes().to_vec())
                .is_ok()
            {
                self.requests.insert(order * 2, order);
            }
            self.requests.insert(order * 2 + 1, answered);
            node.request_confirmation(order * 2 + 1);
            self.next_order += 1;
        }
        self.process(place);
        for joining in 0..self.hosts.len() {
            let Some(node) = &self.hosts[joining].node else {
                continue;
            };
            let (id, name) = (node.id(), self.hosts[joining].name.clone());
            let member = node.replica_status().voters.contains(&name);
            for other in 0..self.hosts.len() {
                if member || self.partition[other] != self.partition[joining] {
                    continue;
                }
                if let Some(node) = &mut self.hosts[other].node
                    && node.admit(id, &name) == Admission::Member
                    && self.host_without_vote == Some(joining)
                {
                    self.host_without_vote = None;
                }
                self.process(other);
            }
        }
    }

    /// Advances time.
    pub fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.now += 1;
            self.deliver();
            for place in 0..self.hosts.len() {
                if let Some(node) = &mut self.hosts[place].node {
                    node.tick();
                    self.process(place);
                }
            }
            if self.random.u64(0..4) == 0 {
                self.make_requests();
            }
            if self.faults.with_faults && self.random.u64(0..25) == 0 {
                self.inject_fault();
            }
        }
    }

    /// Returns the messages in transit.
    pub fn in_transit_messages(&self) -> Vec<Vec<u8>> {
        self.in_transit.values().cloned().collect()
    }

    /// Delivers a message directly to a node, bypassing the network.
    pub fn deliver_directly(&mut self, place: usize, message: Message) -> bool {
        self.history.borrow_mut().corrupted = true;
        let accepted = self.hosts[place]
            .node
            .as_mut()
            .is_some_and(|node| node.step(message));
        if accepted
            && self.hosts[place]
                .node
                .as_mut()
                .is_some_and(|node| node.process_ready().is_err())
        {
            self.crash(place);
            self.start(place, false);
        }
        accepted
    }

    /// Returns the ids of all disks, by host.
    pub fn ids(&self) -> Vec<u64> {
        self.hosts
            .iter()
            .filter_map(|s| s.node.as_ref())
            .map(Node::id)
            .collect()
    }
}
