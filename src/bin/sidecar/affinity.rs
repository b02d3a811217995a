//! Hosts this sidecar's affinity table: uses, the endpoint list and other members' messages go in,
//! affinity entries come out.

pub mod reports;

use crate::affinity_list::ProcessList;
use crate::clock::Clock;
use load_balancer::{EndpointId, Micros};
use load_balancer_affinity::exchange::TICK_US;
use load_balancer_affinity::{AffinityMember, Process};
use load_balancer_gossip::connectivity::AffinityEntries as Permission;
use load_balancer_gossip::core::{ObservedEndpoint, ReceivedFragment};
use load_balancer_gossip::section::{FleetSection, micros};
use load_balancer_gossip::udp;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The kind of message fragments that carry affinity messages.
const AFFINITY_FRAGMENT_KIND: u8 = 128;
/// Members that each periodic message is sent to.
const FANOUT: usize = 4;
/// Ticks from one refresh of members and list to the next.
const TICKS_PER_REFRESH: u64 = 10;

/// The affinity table of this sidecar.
#[derive(Clone)]
pub struct AffinityHost(Rc<Inner>);

struct Inner {
    member: udp::GossipHandle,
    clock: Clock,
    offset: Micros,
    core: RefCell<AffinityMember>,
    list: RefCell<ProcessList>,
    /// Which use of affinity entries this member's connectivity permits.
    permission: Cell<Permission>,
    running_members: RefCell<Vec<u64>>,
    /// Picks by affinity entries, by process: how many, and when the last one was.
    picks: RefCell<BTreeMap<Process, (u64, Micros)>>,
}

/// A pick by affinity entries; its request counts as in flight until this is dropped.
pub struct AffinityPick {
    host: AffinityHost,
    processes: Vec<Process>,
    /// The endpoints to try, best first.
    pub endpoints: Vec<EndpointId>,
}

impl Drop for AffinityPick {
    fn drop(&mut self) {
        let mut core = self.host.0.core.borrow_mut();
        self.processes
            .iter()
            .for_each(|process| core.set_in_flight(*process, false));
    }
}

impl AffinityHost {
    /// Starts with an empty table, as a member of that fleet.
    pub fn start(section: &FleetSection, member: &udp::GossipHandle, clock: Clock) -> Self {
        let (settings, offset) = (&section.affinity_entries, section.clock_offset_micros());
        let times = settings.times_with(micros(section.skew));
        let rates = settings.rates(section.members);
        let now = clock.now() + offset;
        let core = AffinityMember::new(now, times, settings.keys, rates, member.origin(), false);
        let inner = Inner {
            member: member.clone(),
            clock,
            offset,
            core: RefCell::new(core),
            list: RefCell::default(),
            permission: Cell::new(Permission::Unused),
            running_members: RefCell::default(),
            picks: RefCell::default(),
        };
        let host = Self(Rc::new(inner));
        let handler = host.clone();
        member.set_fragment_handler(Rc::new(move |fragments| handler.receive(&fragments)));
        spawn_local(host.clone().run_ticks());
        host
    }

    /// The current time, by the clock of slots and by the monotonic one. The latter never steps,
    /// and continues while the process is suspended.
    fn now(&self) -> (Micros, Micros) {
        let monotonic_now = self.0.clock.now();
        (monotonic_now + self.0.offset, monotonic_now)
    }

    fn receive(&self, fragments: &[ReceivedFragment]) {
        let (now, _) = self.now();
        for fragment in fragments
            .iter()
            .filter(|fragment| fragment.kind == AFFINITY_FRAGMENT_KIND)
        {
            // The table counts rejected messages.
            let _ = self
                .0
                .core
                .borrow_mut()
                .receive(now, fragment.origin, &fragment.bytes);
        }
    }

    async fn run_ticks(self) {
        let every = Duration::from_micros(TICK_US.unsigned_abs());
        for tick in 0_u64.. {
            if tick.is_multiple_of(TICKS_PER_REFRESH) {
                self.refresh_members();
            }
            let (now, monotonic_now) = self.now();
            let outgoing = self.0.core.borrow_mut().tick(now, monotonic_now);
            // Fragments may be lost, so one that can't be sent now is dropped.
            if let Some(message) = outgoing.periodic {
                for to in self.0.member.random_members(FANOUT) {
                    let _ = self
                        .0
                        .member
                        .send_fragment(to, AFFINITY_FRAGMENT_KIND, &message);
                }
            }
            for (to, message) in outgoing.direct {
                let _ = self
                    .0
                    .member
                    .send_fragment(to, AFFINITY_FRAGMENT_KIND, &message);
            }
            sleep(every).await;
        }
    }

    /// Refreshes the members and the listed processes.
    fn refresh_members(&self) {
        let peers = self.0.member.peers();
        let (now, _) = self.now();
        self.0.permission.set(peers.affinity_entries);
        let mut core = self.0.core.borrow_mut();
        core.set_members(&peers.known);
        let list = self.0.list.borrow();
        core.forget(now, |process| list.names.contains_key(&process));
        *self.0.running_members.borrow_mut() = peers.running;
    }

    /// Applies a new endpoint list.
    pub fn set_endpoints<'a>(&self, list: impl Iterator<Item = &'a ObservedEndpoint>) {
        let closed = self.0.list.borrow_mut().update(list);
        let names = &self.0.list.borrow().names;
        self.0
            .picks
            .borrow_mut()
            .retain(|process, _| names.contains_key(process));
        self.0.core.borrow_mut().set_closed(closed);
    }

    /// The endpoints of a key by its affinity entries, if these may be used.
    pub fn pick(&self, key: u64) -> Option<AffinityPick> {
        if self.0.permission.get() == Permission::Unused {
            return None;
        }
        let ((now, monotonic_now), list) = (self.now(), self.0.list.borrow());
        let mut core = self.0.core.borrow_mut();
        let processes = core.pick(now, monotonic_now, key, |process| {
            list.endpoints.contains_key(&process)
        });
        if processes.is_empty() {
            return None;
        }
        let mut picks = self.0.picks.borrow_mut();
        for process in &processes {
            core.set_in_flight(*process, true);
            let (count, last) = picks.entry(*process).or_default();
            (*count, *last) = (*count + 1, monotonic_now);
        }
        let endpoints = processes
            .iter()
            .filter_map(|process| list.endpoints.get(process).copied())
            .collect();
        Some(AffinityPick {
            host: self.clone(),
            processes,
            endpoints,
        })
    }

    /// Records that an endpoint served a request about a key.
    pub fn record_use(&self, key: u64, endpoint: EndpointId) {
        if self.0.permission.get() == Permission::Used
            && let Some(process) = self.0.list.borrow().processes.get(&endpoint).copied()
        {
            let (now, _) = self.now();
            self.0.core.borrow_mut().record_use(now, key, process);
        }
    }
}
