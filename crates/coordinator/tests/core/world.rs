//! Coordinators in simulated time with their network, disks, clocks and platform.

use crate::platform::{Platform, ServerState, TICK_MS};
use crate::transit::InTransit;
use load_balancer_coordinator::core::{CoordinatorCore, Input, Now, Settings};
use load_balancer_coordinator::replicated_log::{LogStore, Options};
use load_balancer_maintenance::{DisruptionBudget, Event, Request, Target};
use load_balancer_record_store::disk::Disk;
use load_balancer_record_store::{OpenError, Store};
use std::collections::{BTreeMap, BTreeSet};

const START_MS: i64 = 1_800_000_000_000;
pub const PATIENCE: usize = 10;
/// Ticks between two polling rounds.
const POLL_INTERVAL: u64 = 10;

pub struct Host {
    pub name: String,
    disk: Disk,
    pub coordinator: Option<CoordinatorCore>,
    /// Suspended until this tick (SIGSTOP).
    pub stopped_until: u64,
    skew_ms: i64,
    pub partition: u8,
}

/// Message loss per thousand, and maximum delay in ticks.
#[derive(Clone, Copy, Debug)]
pub struct NetworkFaults {
    pub loss: u64,
    pub delay: u64,
}

pub struct World {
    pub random: fastrand::Rng,
    pub now: u64,
    pub hosts: Vec<Host>,
    pub platform: Platform,
    pub network: NetworkFaults,
    budget: DisruptionBudget,
    pub in_transit: BTreeMap<(u64, u64), InTransit>,
    pub sent: u64,
    /// Pending requests by caller.
    pub requests: BTreeMap<u64, Request>,
    pub booked: BTreeMap<String, u64>,
    last_caller: u64,
    /// First tick at which the leader of each term was active.
    pub leader_since_by_term: BTreeMap<u64, u64>,
    /// Number of steps so far: orders, arrivals and answers.
    pub steps: u64,
    /// The leader is killed at this step.
    pub kill_leader_at_step: Option<u64>,
    pub kills: u64,
}

pub fn budget() -> DisruptionBudget {
    let text = r#"{"keep": 60, "keep_zone": {"z0": 20, "z1": 10}, "most_away": 3, "evidence_bound_ms": 5000,
        "clear_most_ms": 20000, "repair_ms": 10000, "patience_ms": 60000}"#;
    serde_json::from_str(text).expect("an agreement")
}

impl World {
    pub fn new(seed: u64, size: usize, net: NetworkFaults) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let slot = |n: usize, random: &mut fastrand::Rng| Host {
            name: format!("s{n}"),
            disk: Disk::new(),
            coordinator: None,
            stopped_until: 0,
            skew_ms: random.i64(-1_000..1_000),
            partition: 0,
        };
        let slots = (0..size).map(|n| slot(n, &mut random)).collect();
        let mut world = Self {
            random,
            now: 0,
            hosts: slots,
            platform: Platform::new(9, budget()),
            network: net,
            budget: budget(),
            in_transit: BTreeMap::new(),
            sent: 0,
            requests: BTreeMap::new(),
            booked: BTreeMap::new(),
            last_caller: 0,
            leader_since_by_term: BTreeMap::new(),
            steps: 0,
            kill_leader_at_step: None,
            kills: 0,
        };
        (0..size).for_each(|place| world.start(place, place == 0));
        world
    }

    pub fn start(&mut self, place: usize, is_founder: bool) {
        if self.hosts[place].coordinator.is_some() {
            return;
        }
        let (id, run) = (self.random.u64(1..), self.random.u64(..));
        let names: Vec<String> = self.hosts.iter().map(|slot| slot.name.clone()).collect();
        let slot = &mut self.hosts[place];
        let store = match Store::open_backend(slot.disk.clone(), &slot.name) {
            Ok(store) => store,
            Err(OpenError::Corruption(_)) => {
                slot.disk = Disk::new();
                Store::open_backend(slot.disk.clone(), &slot.name).expect("a new disk")
            }
            Err(refusal) => panic!("{refusal}"),
        };
        let log_store = LogStore::open(store, id).expect("what is kept belongs together");
        let options = Options {
            name: slot.name.clone(),
            run_id: run,
            election_ticks: PATIENCE,
            min_voters: names.len().min(3),
        };
        let confirmation_ms = TICK_MS * PATIENCE as u64;
        let settings = Settings {
            names,
            budget: self.budget.clone(),
            retry_delay_ms: 500,
            action_timeout_ms: 4_000,
            confirmation_validity_ms: confirmation_ms,
        };
        slot.coordinator =
            Some(CoordinatorCore::new(log_store, options, settings, is_founder).expect("starts"));
    }

    pub fn crash(&mut self, place: usize) {
        let random = &mut self.random;
        let slot = &mut self.hosts[place];
        slot.coordinator = None;
        slot.disk = slot.disk.crash(|| random.bool());
        self.kills += 1;
    }

    /// Replaces the disk by an empty one.
    pub fn replace_disk(&mut self, place: usize) {
        self.crash(place);
        self.hosts[place].disk = Disk::new();
    }

    pub fn voters(&self) -> usize {
        let replica_status = self
            .hosts
            .iter()
            .filter_map(|s| s.coordinator.as_ref())
            .map(CoordinatorCore::replica_status);
        replica_status.filter(|s| s.voice).count()
    }

    /// Returns whether all coordinators run, have a vote and have applied the same entries: only
    /// then may a disk be lost.
    pub fn is_settled(&self) -> bool {
        let size = self.hosts.len();
        let replica_status = self
            .hosts
            .iter()
            .filter_map(|s| s.coordinator.as_ref())
            .map(CoordinatorCore::replica_status);
        // While an old disk still counts along with its replacement, another lost disk would be one
        // too many.
        let settled = replica_status.filter(|s| s.voice && s.members.len() == size);
        let applied: Vec<u64> = settled.map(|s| s.applied).collect();
        applied.len() == size && applied.iter().all(|one| *one == applied[0])
    }

    pub fn leader(&self) -> Option<usize> {
        let active_term = |s: &Host| {
            s.coordinator
                .as_ref()
                .filter(|s| s.replica_status().acts)
                .map(|s| s.replica_status().term)
        };
        let leaders = self
            .hosts
            .iter()
            .enumerate()
            .filter_map(|(n, s)| Some((active_term(s)?, n)));
        leaders.max().map(|(_, place)| place)
    }

    pub fn clock(&self, place: usize) -> Now {
        let mono_ms = self.now * TICK_MS;
        Now {
            unix_ms: START_MS + mono_ms as i64 + self.hosts[place].skew_ms,
            mono_ms,
        }
    }

    /// Requests a window for servers at one coordinator.
    pub fn request_window(&mut self, name: &str, servers: &[usize], place: usize) {
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
        self.last_caller += 1;
        self.requests.insert(self.last_caller, request.clone());
        self.deliver_input(place, Input::Propose(self.last_caller, Event::Ask(request)));
    }

    /// Proposes an event at one coordinator.
    pub fn propose(&mut self, place: usize, event: Event) {
        self.last_caller += 1;
        self.deliver_input(place, Input::Propose(self.last_caller, event));
    }

    pub fn advance(&mut self) {
        self.now += 1;
        self.platform.advance();
        self.deliver_due();
        for place in 0..self.hosts.len() {
            if self.now < self.hosts[place].stopped_until {
                continue;
            }
            self.deliver_input(place, Input::Tick);
            let Some(replica_status) = self.hosts[place]
                .coordinator
                .as_ref()
                .map(CoordinatorCore::replica_status)
            else {
                continue;
            };
            if replica_status.acts {
                self.leader_since_by_term
                    .entry(replica_status.term)
                    .or_insert(self.now);
                if self.now.is_multiple_of(POLL_INTERVAL) && !self.is_lost() {
                    let (list, words) = (self.platform.list(), self.platform.observations());
                    self.deliver_input(place, Input::ServerList(list));
                    self.deliver_input(place, Input::Observations(self.now * TICK_MS, words));
                }
            }
            if !replica_status.voice && self.now.is_multiple_of(3) {
                let (name, host) = (
                    self.hosts[place].name.clone(),
                    self.random.usize(0..self.hosts.len()),
                );
                if self.hosts[host].partition == self.hosts[place].partition {
                    self.last_caller += 1;
                    self.deliver_input(
                        host,
                        Input::RequestVote(self.last_caller, replica_status.id, name),
                    );
                }
            }
        }
    }

    /// Returns whether all windows are closed and all servers serve.
    pub fn is_over(&self) -> bool {
        let leader = self
            .leader()
            .and_then(|place| self.hosts[place].coordinator.as_ref());
        let Some(leader) = leader else { return false };
        let closed = leader
            .view(self.clock(0))
            .windows
            .iter()
            .all(|w| w.slots.iter().all(is_closed));
        closed
            && self
                .platform
                .servers
                .iter()
                .all(|h| h.state == ServerState::Serving)
    }

    /// Returns the numbers of the windows known to the leader.
    pub fn known_windows(&self) -> BTreeSet<u64> {
        let leader = self
            .leader()
            .and_then(|place| self.hosts[place].coordinator.as_ref());
        let windows = leader
            .map(|leader| leader.machine().windows())
            .unwrap_or_default();
        windows.iter().map(|w| w.window).collect()
    }
}

fn is_closed(slot: &load_balancer_maintenance::ServerSlotView) -> bool {
    slot.state == load_balancer_maintenance::State::Closed
}
