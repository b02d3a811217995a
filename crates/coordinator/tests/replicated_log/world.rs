//! A cluster of replicas in simulated time with network, disks and power, and the invariants
//! checked at every step.

use crate::book::{Book, History};
use crate::faults::{Counts, Faults};
use load_balancer_coordinator::replicated_log::{
    Admission, LogStore, Message, Node, Options, decode, encode,
};
use load_balancer_record_store::disk::Disk;
use load_balancer_record_store::{OpenError, Store};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// One place for a coordinator: its disk, and the node while it runs.
pub struct Seat {
    pub name: String,
    pub disk: Disk,
    pub node: Option<Node<Book>>,
    /// Its clock's error, in milliseconds.
    skew: i64,
}

pub struct World {
    pub random: fastrand::Rng,
    pub now: u64,
    pub slots: Vec<Seat>,
    pub history: Rc<RefCell<History>>,
    wire: BTreeMap<(u64, u64), Vec<u8>>,
    sent: u64,
    /// Disks' numbers to places, as the hosts' addresses would tell.
    places: BTreeMap<u64, usize>,
    pub side: Vec<u8>,
    pub faults: Faults,
    next_order: u64,
    asked: BTreeMap<u64, u64>,
    pub answered: BTreeSet<u64>,
    pub leaders: BTreeMap<u64, u64>,
    /// The place whose disk lost its voice and has not got a new one: one at a time, as the promise
    /// says.
    pub voiceless: Option<usize>,
    pub counts: Counts,
}

const START_MS: i64 = 1_800_000_000_000;
const TICK_MS: u64 = 10;
const PATIENCE: usize = 10;

impl World {
    pub fn new(seed: u64, size: usize, faults: Faults) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let slot = |n: usize, random: &mut fastrand::Rng| Seat {
            name: format!("steward-{n}"),
            disk: Disk::new(),
            node: None,
            skew: random.i64(-2_000..2_000),
        };
        let slots = (0..size).map(|n| slot(n, &mut random)).collect();
        let mut world = Self {
            random,
            now: 0,
            slots,
            history: Rc::default(),
            wire: BTreeMap::new(),
            sent: 0,
            places: BTreeMap::new(),
            side: vec![0; size],
            faults,
            next_order: 0,
            asked: BTreeMap::new(),
            answered: BTreeSet::new(),
            leaders: BTreeMap::new(),
            voiceless: None,
            counts: Counts::default(),
        };
        (0..size).for_each(|place| world.start(place, place == 0));
        world
    }

    pub fn start(&mut self, place: usize, found: bool) {
        let (id, run) = (self.random.u64(1..), self.random.u64(..));
        let slot = &mut self.slots[place];
        let store = match Store::on(slot.disk.clone(), &slot.name) {
            Ok(store) => store,
            Err(OpenError::Corruption(_)) => {
                // Set aside, as the file's opening does.
                self.counts.refused_disks += 1;
                slot.disk = Disk::new();
                Store::on(slot.disk.clone(), &slot.name).expect("a new disk")
            }
            Err(refusal) => panic!("{refusal}"),
        };
        let log_store = LogStore::open(store, id).expect("what is kept belongs together");
        if log_store.is_blank() && self.now > 0 && self.voiceless.is_none() {
            self.voiceless = Some(place);
        }
        let book = Book {
            history: self.history.clone(),
            lines: Vec::new(),
        };
        let least = self.side.len().min(3);
        let options = Options {
            name: slot.name.clone(),
            run,
            patience: PATIENCE,
            least,
        };
        let node = Node::new(log_store, book, options, found).expect("starts");
        self.places.insert(node.id(), place);
        slot.node = Some(node);
    }

    pub fn crash(&mut self, place: usize) {
        let random = &mut self.random;
        let slot = &mut self.slots[place];
        slot.node = None;
        slot.disk = slot.disk.crash(|| random.bool());
        self.counts.crashes += 1;
    }

    /// Sends what a node has to say, and takes its answers.
    fn drive(&mut self, place: usize) {
        let Some(node) = &mut self.slots[place].node else {
            return;
        };
        let effects = match node.drive() {
            Ok(effects) => effects,
            // The disk takes no more.
            Err(_) => return self.crash(place),
        };
        if self.history.borrow().lied {
            return effects
                .messages
                .iter()
                .for_each(|message| self.send(message));
        }
        if node.acts() {
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
            let order = self.asked[&ticket];
            let line = u64::from_le_bytes(answer.try_into().expect("a place")) as usize;
            assert_eq!(
                self.history.borrow().agreed[line].1,
                order,
                "another's answer"
            );
            assert!(self.answered.insert(order), "order {order} answered twice");
        }
        for ticket in effects.confirmed {
            // Whatever was answered to anyone before the asking is applied here.
            let lines = &self.slots[place]
                .node
                .as_ref()
                .expect("it runs")
                .machine()
                .lines;
            assert!(
                lines.len() as u64 >= self.asked[&ticket],
                "a confirmed reader that lags"
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
            self.wire
                .insert((at, self.sent), encode(message).expect("a form"));
        }
    }

    fn deliver(&mut self) {
        let later = self.wire.split_off(&(self.now + 1, 0));
        for (_, bytes) in std::mem::replace(&mut self.wire, later) {
            let message = decode(&bytes).expect("ours");
            let (from, to) = (self.places.get(&message.from), self.places.get(&message.to));
            let (Some(from), Some(to)) = (from.copied(), to.copied()) else {
                continue;
            };
            if self.side[from] == self.side[to]
                && let Some(node) = &mut self.slots[to].node
            {
                node.step(message);
                self.drive(to);
            }
        }
    }

    /// Some seat asks for an order, and a reader for confirmation; a seat without a voice asks for
    /// one.
    fn ask(&mut self) {
        let place = self.random.usize(0..self.slots.len());
        let order = self.next_order;
        let clock = START_MS + (self.now * TICK_MS) as i64 + self.slots[place].skew;
        let answered = self.answered.len() as u64;
        if let Some(node) = &mut self.slots[place].node {
            if node
                .propose(clock, order * 2, order.to_le_bytes().to_vec())
                .is_ok()
            {
                self.asked.insert(order * 2, order);
            }
            self.asked.insert(order * 2 + 1, answered);
            node.confirm(order * 2 + 1);
            self.next_order += 1;
        }
        self.drive(place);
        for guest in 0..self.slots.len() {
            let Some(node) = &self.slots[guest].node else {
                continue;
            };
            let (id, name) = (node.id(), self.slots[guest].name.clone());
            let member = node.replica_status().voters.contains(&name);
            for host in 0..self.slots.len() {
                if member || self.side[host] != self.side[guest] {
                    continue;
                }
                if let Some(node) = &mut self.slots[host].node
                    && node.admit(id, &name) == Admission::Member
                    && self.voiceless == Some(guest)
                {
                    self.voiceless = None;
                }
                self.drive(host);
            }
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.now += 1;
            self.deliver();
            for place in 0..self.slots.len() {
                if let Some(node) = &mut self.slots[place].node {
                    node.tick();
                    self.drive(place);
                }
            }
            if self.random.u64(0..4) == 0 {
                self.ask();
            }
            if self.faults.harsh && self.random.u64(0..25) == 0 {
                self.fault();
            }
        }
    }

    /// What is on its way now.
    pub fn tapped(&self) -> Vec<Vec<u8>> {
        self.wire.values().cloned().collect()
    }

    /// Gives a coordinator a message past the network, from anybody.
    pub fn whisper(&mut self, place: usize, message: Message) -> bool {
        self.history.borrow_mut().lied = true;
        let let_in = self.slots[place]
            .node
            .as_mut()
            .is_some_and(|node| node.step(message));
        if let_in
            && self.slots[place]
                .node
                .as_mut()
                .is_some_and(|node| node.drive().is_err())
        {
            self.crash(place);
            self.start(place, false);
        }
        let_in
    }

    /// Numbers of the disks of all, by place.
    pub fn ids(&self) -> Vec<u64> {
        self.slots
            .iter()
            .filter_map(|s| s.node.as_ref())
            .map(Node::id)
            .collect()
    }
}
