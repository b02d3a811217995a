//! Coordinators in simulated time with their network, disks, clocks and platform.

use crate::platform::{Place, Platform, TICK_MS};
use crate::transit::Parcel;
use load_balancer_coordinator::core::{CoordinatorCore, Input, Now, Settings};
use load_balancer_coordinator::replicated_log::{LogStore, Options};
use load_balancer_maintenance::{DisruptionBudget, Event, Request, Target};
use load_balancer_record_store::disk::Disk;
use load_balancer_record_store::{OpenError, Store};
use std::collections::{BTreeMap, BTreeSet};

const START_MS: i64 = 1_800_000_000_000;
pub const PATIENCE: usize = 10;
/// Ticks between two rounds of looks.
const ROUND: u64 = 10;

pub struct Seat {
    pub name: String,
    disk: Disk,
    pub coordinator: Option<CoordinatorCore>,
    /// Does nothing until then (SIGSTOP).
    pub stopped_until: u64,
    skew_ms: i64,
    pub side: u8,
}

/// Chances in a thousand, and ticks.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    pub loss: u64,
    pub delay: u64,
}

pub struct World {
    pub random: fastrand::Rng,
    pub now: u64,
    pub slots: Vec<Seat>,
    pub platform: Platform,
    pub net: Net,
    budget: DisruptionBudget,
    pub wire: BTreeMap<(u64, u64), Parcel>,
    pub sent: u64,
    /// Callers' requests by number, until they are answered.
    pub asked: BTreeMap<u64, Request>,
    pub booked: BTreeMap<String, u64>,
    callers: u64,
    /// When each term's leader could act first.
    pub terms: BTreeMap<u64, u64>,
    /// What was done for servers so far: orders, arrivals, answers.
    pub moments: u64,
    /// The leader is killed at this moment.
    pub kill_at: Option<u64>,
    pub kills: u64,
}

pub fn budget() -> DisruptionBudget {
    let text = r#"{"keep": 60, "keep_zone": {"z0": 20, "z1": 10}, "most_away": 3, "evidence_bound_ms": 5000,
        "clear_most_ms": 20000, "repair_ms": 10000, "patience_ms": 60000}"#;
    serde_json::from_str(text).expect("an agreement")
}

impl World {
    pub fn new(seed: u64, size: usize, net: Net) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let slot = |n: usize, random: &mut fastrand::Rng| Seat {
            name: format!("s{n}"),
            disk: Disk::new(),
            coordinator: None,
            stopped_until: 0,
            skew_ms: random.i64(-1_000..1_000),
            side: 0,
        };
        let slots = (0..size).map(|n| slot(n, &mut random)).collect();
        let mut world = Self {
            random,
            now: 0,
            slots,
            platform: Platform::new(9, budget()),
            net,
            budget: budget(),
            wire: BTreeMap::new(),
            sent: 0,
            asked: BTreeMap::new(),
            booked: BTreeMap::new(),
            callers: 0,
            terms: BTreeMap::new(),
            moments: 0,
            kill_at: None,
            kills: 0,
        };
        (0..size).for_each(|place| world.start(place, place == 0));
        world
    }

    pub fn start(&mut self, place: usize, found: bool) {
        if self.slots[place].coordinator.is_some() {
            return;
        }
        let (id, run) = (self.random.u64(1..), self.random.u64(..));
        let names: Vec<String> = self.slots.iter().map(|slot| slot.name.clone()).collect();
        let slot = &mut self.slots[place];
        let store = match Store::on(slot.disk.clone(), &slot.name) {
            Ok(store) => store,
            Err(OpenError::Corruption(_)) => {
                slot.disk = Disk::new();
                Store::on(slot.disk.clone(), &slot.name).expect("a new disk")
            }
            Err(refusal) => panic!("{refusal}"),
        };
        let log_store = LogStore::open(store, id).expect("what is kept belongs together");
        let options = Options {
            name: slot.name.clone(),
            run,
            patience: PATIENCE,
            least: names.len().min(3),
        };
        let confirmation_ms = TICK_MS * PATIENCE as u64;
        let settings = Settings {
            names,
            budget: self.budget.clone(),
            again_ms: 500,
            lost_ms: 4_000,
            confirmation_ms,
        };
        slot.coordinator =
            Some(CoordinatorCore::new(log_store, options, settings, found).expect("starts"));
    }

    pub fn crash(&mut self, place: usize) {
        let random = &mut self.random;
        let slot = &mut self.slots[place];
        slot.coordinator = None;
        slot.disk = slot.disk.crash(|| random.bool());
        self.kills += 1;
    }

    /// Takes the disk away with all that is on it.
    pub fn empty(&mut self, place: usize) {
        self.crash(place);
        self.slots[place].disk = Disk::new();
    }

    pub fn voices(&self) -> usize {
        let replica_status = self
            .slots
            .iter()
            .filter_map(|s| s.coordinator.as_ref())
            .map(CoordinatorCore::replica_status);
        replica_status.filter(|s| s.voice).count()
    }

    /// Whether all run, have a voice and know the same: one disk may be lost then, by the promise.
    pub fn agreed(&self) -> bool {
        let size = self.slots.len();
        let replica_status = self
            .slots
            .iter()
            .filter_map(|s| s.coordinator.as_ref())
            .map(CoordinatorCore::replica_status);
        // While an old disk still counts beside its new one, the loss of another is one too many.
        let whole = replica_status.filter(|s| s.voice && s.members.len() == size);
        let applied: Vec<u64> = whole.map(|s| s.applied).collect();
        applied.len() == size && applied.iter().all(|one| *one == applied[0])
    }

    pub fn leader(&self) -> Option<usize> {
        let acts = |s: &Seat| {
            s.coordinator
                .as_ref()
                .filter(|s| s.replica_status().acts)
                .map(|s| s.replica_status().term)
        };
        let leaders = self
            .slots
            .iter()
            .enumerate()
            .filter_map(|(n, s)| Some((acts(s)?, n)));
        leaders.max().map(|(_, place)| place)
    }

    pub fn clock(&self, place: usize) -> Now {
        let mono_ms = self.now * TICK_MS;
        Now {
            unix_ms: START_MS + mono_ms as i64 + self.slots[place].skew_ms,
            mono_ms,
        }
    }

    /// Somebody asks for servers to be away, whoever answers.
    pub fn ask(&mut self, name: &str, servers: &[usize], place: usize) {
        let unix = self.clock(place).unix_ms;
        let servers = servers.iter().map(|n| format!("a{n}")).collect();
        let request = Request {
            name: name.to_owned(),
            target: Target::Servers(servers),
            earliest_ms: 0,
            latest_ms: unix + 600_000,
            length_ms: 12_000,
            overrun_ms: 6_000,
            priority: 0,
            split: true,
        };
        self.callers += 1;
        self.asked.insert(self.callers, request.clone());
        self.give(place, Input::Bring(self.callers, Event::Ask(request)));
    }

    /// Somebody takes a window back, or says that the work is finished.
    pub fn bring(&mut self, place: usize, event: Event) {
        self.callers += 1;
        self.give(place, Input::Bring(self.callers, event));
    }

    pub fn pass(&mut self) {
        self.now += 1;
        self.platform.pass();
        self.deliver();
        for place in 0..self.slots.len() {
            if self.now < self.slots[place].stopped_until {
                continue;
            }
            self.give(place, Input::Tick);
            let Some(replica_status) = self.slots[place]
                .coordinator
                .as_ref()
                .map(CoordinatorCore::replica_status)
            else {
                continue;
            };
            if replica_status.acts {
                self.terms.entry(replica_status.term).or_insert(self.now);
                if self.now.is_multiple_of(ROUND) && !self.lost() {
                    let (list, words) = (self.platform.list(), self.platform.words());
                    self.give(place, Input::Listed(list));
                    self.give(place, Input::Observations(self.now * TICK_MS, words));
                }
            }
            if !replica_status.voice && self.now.is_multiple_of(3) {
                let (name, host) = (
                    self.slots[place].name.clone(),
                    self.random.usize(0..self.slots.len()),
                );
                if self.slots[host].side == self.slots[place].side {
                    self.callers += 1;
                    self.give(host, Input::Admit(self.callers, replica_status.id, name));
                }
            }
        }
    }

    /// Whether all windows are over, and every server serves.
    pub fn over(&self) -> bool {
        let leader = self
            .leader()
            .and_then(|place| self.slots[place].coordinator.as_ref());
        let Some(leader) = leader else { return false };
        let closed = leader
            .view(self.clock(0))
            .windows
            .iter()
            .all(|w| w.slots.iter().all(closed));
        closed && self.platform.all.iter().all(|h| h.place == Place::Serving)
    }

    /// Numbers of the windows that the leader knows.
    pub fn windows(&self) -> BTreeSet<u64> {
        let leader = self
            .leader()
            .and_then(|place| self.slots[place].coordinator.as_ref());
        let windows = leader
            .map(|leader| leader.machine().windows())
            .unwrap_or_default();
        windows.iter().map(|w| w.window).collect()
    }
}

fn closed(slot: &load_balancer_maintenance::ServerSlotView) -> bool {
    slot.state == load_balancer_maintenance::State::Closed
}
