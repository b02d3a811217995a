//! Hosts the affinity table of this sidecar: uses, the list and other members' messages go in;
//! affinity entries come out.

pub mod reports;

use crate::affinity_list::List;
use crate::clock::Clock;
use load_balancer::{EndpointId, Micros};
use load_balancer_affinity::exchange::TICK;
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
const FRAGMENT_KIND: u8 = 128;
/// Members that a periodic message goes to.
const FANOUT: usize = 4;
/// Ticks from one look at who is there to the next.
const TICKS_PER_REFRESH: u64 = 10;

/// The affinity table of this sidecar.
#[derive(Clone)]
pub struct Host(Rc<Inner>);

struct Inner {
    member: udp::GossipHandle,
    clock: Clock,
    offset: Micros,
    core: RefCell<AffinityMember>,
    list: RefCell<List>,
    /// What the own connectivity state allows.
    may: Cell<Permission>,
    running: RefCell<Vec<u64>>,
    /// Picks by an entry: how many, and when the last one was.
    picks: RefCell<BTreeMap<Process, (u64, Micros)>>,
}

/// A pick by affinity entries; while it exists its request is in flight.
pub struct Pick {
    host: Host,
    processes: Vec<Process>,
    /// Where it is to go, the best first.
    pub endpoints: Vec<EndpointId>,
}

impl Drop for Pick {
    fn drop(&mut self) {
        let mut core = self.host.0.core.borrow_mut();
        self.processes
            .iter()
            .for_each(|process| core.under_way(*process, false));
    }
}

impl Host {
    /// Begins with no entry, as a member of that fleet.
    pub fn start(section: &FleetSection, member: &udp::GossipHandle, clock: Clock) -> Self {
        let (entries, offset) = (&section.affinity_entries, section.clock_offset_micros());
        let times = entries.times_with(micros(section.skew));
        let rates = entries.rates(section.members);
        let now = clock.now() + offset;
        let core = AffinityMember::new(now, times, entries.keys, rates, member.origin(), false);
        let inner = Inner {
            member: member.clone(),
            clock,
            offset,
            core: RefCell::new(core),
            list: RefCell::default(),
            may: Cell::new(Permission::Unused),
            running: RefCell::default(),
            picks: RefCell::default(),
        };
        let host = Self(Rc::new(inner));
        let receiver = host.clone();
        member.set_fragment_handler(Rc::new(move |fragments| receiver.receive(&fragments)));
        spawn_local(host.clone().run());
        host
    }

    /// Now, on the clock of slots and on the monotonic one: the module's clock never steps, and
    /// runs on while the process is stopped.
    fn now(&self) -> (Micros, Micros) {
        let mono = self.0.clock.now();
        (mono + self.0.offset, mono)
    }

    fn receive(&self, fragments: &[ReceivedFragment]) {
        let (now, _) = self.now();
        for fragment in fragments
            .iter()
            .filter(|fragment| fragment.kind == FRAGMENT_KIND)
        {
            // What is refused is counted there.
            let _ = self
                .0
                .core
                .borrow_mut()
                .receive(now, fragment.origin, &fragment.bytes);
        }
    }

    async fn run(self) {
        let every = Duration::from_micros(TICK.unsigned_abs());
        for tick in 0_u64.. {
            if tick.is_multiple_of(TICKS_PER_REFRESH) {
                self.look();
            }
            let (now, mono) = self.now();
            let outgoing = self.0.core.borrow_mut().tick(now, mono);
            // Pieces may be lost, so one that the fleet does not take now is.
            if let Some(pulse) = outgoing.nearby {
                for to in self.0.member.random_members(FANOUT) {
                    let _ = self.0.member.send_fragment(to, FRAGMENT_KIND, &pulse);
                }
            }
            for (to, piece) in outgoing.direct {
                let _ = self.0.member.send_fragment(to, FRAGMENT_KIND, &piece);
            }
            sleep(every).await;
        }
    }

    /// Looks who is there, and what is listed.
    fn look(&self) {
        let peers = self.0.member.peers();
        let (now, _) = self.now();
        self.0.may.set(peers.affinity_entries);
        let mut core = self.0.core.borrow_mut();
        core.members(&peers.known);
        let list = self.0.list.borrow();
        core.forget(now, |process| list.names.contains_key(&process));
        *self.0.running.borrow_mut() = peers.running;
    }

    /// The list has changed.
    pub fn listed<'a>(&self, list: impl Iterator<Item = &'a ObservedEndpoint>) {
        let closed = self.0.list.borrow_mut().follow(list);
        let names = &self.0.list.borrow().names;
        self.0
            .picks
            .borrow_mut()
            .retain(|process, _| names.contains_key(process));
        self.0.core.borrow_mut().closes(closed);
    }

    /// Where a key is cached by its entries, if they may be used.
    pub fn pick(&self, key: u64) -> Option<Pick> {
        if self.0.may.get() == Permission::Unused {
            return None;
        }
        let ((now, mono), list) = (self.now(), self.0.list.borrow());
        let mut core = self.0.core.borrow_mut();
        let processes = core.picks(now, mono, key, |process| {
            list.endpoints.contains_key(&process)
        });
        if processes.is_empty() {
            return None;
        }
        let mut picks = self.0.picks.borrow_mut();
        for process in &processes {
            core.under_way(*process, true);
            let (count, last) = picks.entry(*process).or_default();
            (*count, *last) = (*count + 1, mono);
        }
        let endpoints = processes
            .iter()
            .filter_map(|process| list.endpoints.get(process).copied())
            .collect();
        Some(Pick {
            host: self.clone(),
            processes,
            endpoints,
        })
    }

    /// A request about a key was served there.
    pub fn record_use(&self, key: u64, endpoint: EndpointId) {
        if self.0.may.get() == Permission::Used
            && let Some(process) = self.0.list.borrow().processes.get(&endpoint).copied()
        {
            let (now, _) = self.now();
            self.0.core.borrow_mut().record_use(now, key, process);
        }
    }
}
