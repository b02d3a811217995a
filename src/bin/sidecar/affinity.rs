//! Hosts the affinity table of this sidecar: uses, the list and other members' messages go in;
//! affinity entries come out.

use crate::affinity_list::List;
use crate::clock::Clock;
use load_balancer::{EndpointId, Micros};
use load_balancer_affinity::exchange::TICK;
use load_balancer_affinity::phase::NotBegun;
use load_balancer_affinity::report::{Census, Clear};
use load_balancer_affinity::word::Word;
use load_balancer_affinity::{Bindings, Process};
use load_balancer_gossip::connectivity::AffinityEntries as Permission;
use load_balancer_gossip::core::{CarriedFragment, Listed};
use load_balancer_gossip::section::{FleetSection, micros};
use load_balancer_gossip::udp;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// What the fleet carries for bindings.
const KIND: u8 = 128;
/// Members that a pulse goes to.
const FANOUT: usize = 4;
/// Ticks from one look at who is there to the next.
const LOOKS: u64 = 10;

/// The bindings of this sidecar.
#[derive(Clone)]
pub struct Host(Rc<Inner>);

struct Inner {
    member: udp::Fleet,
    clock: Clock,
    offset: Micros,
    core: RefCell<Bindings>,
    list: RefCell<List>,
    /// What the own connectivity state allows.
    may: Cell<Permission>,
    running: RefCell<Vec<u64>>,
    /// Picks by a binding: how many, and when the last one was.
    picks: RefCell<BTreeMap<Process, (u64, Micros)>>,
}

/// A request that was given a binding; while it is there the request is under way.
pub struct Bound {
    host: Host,
    processes: Vec<Process>,
    /// Where it is to go, the best first.
    pub endpoints: Vec<EndpointId>,
}

impl Drop for Bound {
    fn drop(&mut self) {
        let mut core = self.host.0.core.borrow_mut();
        self.processes
            .iter()
            .for_each(|process| core.under_way(*process, false));
    }
}

/// A process that leaves, or has come back, as the page has it.
pub struct Leaving {
    /// Its name, where it is listed.
    pub name: Option<String>,
    /// It.
    pub process: Process,
    /// In which epoch.
    pub epoch: u64,
    /// That epoch has ended.
    pub leaves: bool,
    /// Members that are clear of it.
    pub reported: usize,
}

impl Host {
    /// Begins with none, as a member of that fleet.
    pub fn start(section: &FleetSection, member: &udp::Fleet, clock: Clock) -> Self {
        let (bindings, offset) = (&section.affinity_entries, section.offset());
        let times = bindings.times_with(micros(section.skew));
        let rates = bindings.rates(section.members);
        let now = clock.now() + offset;
        let core = Bindings::new(now, times, bindings.keys, rates, member.origin(), false);
        let inner = Inner {
            member: member.clone(),
            clock,
            offset,
            core: RefCell::new(core),
            list: RefCell::default(),
            may: Cell::new(Permission::Idle),
            running: RefCell::default(),
            picks: RefCell::default(),
        };
        let host = Self(Rc::new(inner));
        let hears = host.clone();
        member.on_carried(Rc::new(move |came| hears.hear(&came)));
        spawn_local(host.clone().run());
        host
    }

    /// Now, on the clock of slots and on the monotonic one: the module's clock never steps, and runs on while the process is
    /// stopped.
    fn now(&self) -> (Micros, Micros) {
        let mono = self.0.clock.now();
        (mono + self.0.offset, mono)
    }

    fn hear(&self, came: &[CarriedFragment]) {
        let (now, _) = self.now();
        for piece in came.iter().filter(|piece| piece.kind == KIND) {
            // What is refused is counted there.
            let _ = self
                .0
                .core
                .borrow_mut()
                .hear(now, piece.origin, &piece.bytes);
        }
    }

    async fn run(self) {
        let every = Duration::from_micros(TICK.unsigned_abs());
        for tick in 0_u64.. {
            if tick.is_multiple_of(LOOKS) {
                self.look();
            }
            let (now, mono) = self.now();
            let told = self.0.core.borrow_mut().tick(now, mono);
            // Pieces may be lost, so one that the fleet does not take now is.
            if let Some(pulse) = told.nearby {
                for to in self.0.member.neighbours(FANOUT) {
                    let _ = self.0.member.carry_to(to, KIND, &pulse);
                }
            }
            for (to, piece) in told.direct {
                let _ = self.0.member.carry_to(to, KIND, &piece);
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
        core.roster(&peers.known);
        let list = self.0.list.borrow();
        core.forget(now, |process| list.names.contains_key(&process));
        *self.0.running.borrow_mut() = peers.running;
    }

    /// The list has changed.
    pub fn listed<'a>(&self, list: impl Iterator<Item = &'a Listed>) {
        let closed = self.0.list.borrow_mut().follow(list);
        let names = &self.0.list.borrow().names;
        self.0
            .picks
            .borrow_mut()
            .retain(|process, _| names.contains_key(process));
        self.0.core.borrow_mut().closes(closed);
    }

    /// Where a key is bound, if it is and that may be used.
    pub fn pick(&self, key: u64) -> Option<Bound> {
        if self.0.may.get() == Permission::Idle {
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
        Some(Bound {
            host: self.clone(),
            processes,
            endpoints,
        })
    }

    /// A request about a key was served there.
    pub fn used(&self, key: u64, endpoint: EndpointId) {
        if self.0.may.get() == Permission::Used
            && let Some(process) = self.0.list.borrow().processes.get(&endpoint).copied()
        {
            let (now, _) = self.now();
            self.0.core.borrow_mut().used(now, key, process);
        }
    }

    /// That process leaves, in that epoch; gives how far it is clear.
    pub fn leaving(&self, process: Process, epoch: u64) -> Result<Clear, NotBegun> {
        let (now, mono) = self.now();
        let mut core = self.0.core.borrow_mut();
        core.leaving(now, process, epoch)?;
        Ok(core.clear(now, mono, process, epoch, &self.0.running.borrow()))
    }

    /// It stays after all, or is back, in that epoch.
    pub fn stays(&self, process: Process, epoch: u64) -> Result<(), NotBegun> {
        let (now, _) = self.now();
        self.0.core.borrow_mut().stays(now, process, epoch)
    }

    /// Figures, what the connectivity state allows, and the slot of now.
    pub fn census(&self) -> (Census, Permission, i64) {
        let (now, mono) = self.now();
        let core = self.0.core.borrow();
        (core.census(mono), self.0.may.get(), core.slot_of(now))
    }

    /// Processes that leave or have come back.
    pub fn leave(&self) -> Vec<Leaving> {
        let (core, list) = (self.0.core.borrow(), self.0.list.borrow());
        let leaving = |(process, phase, reported): (Process, _, _)| {
            let phase: load_balancer_affinity::phase::Phase = phase;
            Leaving {
                name: list.names.get(&process).cloned(),
                process,
                epoch: phase.epoch,
                leaves: phase.leaves,
                reported,
            }
        };
        core.phases().map(leaving).collect()
    }

    /// Bindings, at most so many: key, name of the endpoint where it is listed, process, word.
    pub fn dump(&self, most: usize) -> Vec<(u64, Option<String>, Process, Word)> {
        let (core, list) = (self.0.core.borrow(), self.0.list.borrow());
        let named = |(key, process, word)| (key, list.names.get(&process).cloned(), process, word);
        core.dump().take(most).map(named).collect()
    }

    /// Picks by a binding since the start, for processes that are listed: how many, and how long ago the last one was.
    pub fn picks(&self) -> Vec<(String, Process, u64, Micros)> {
        let ((_, mono), list) = (self.now(), self.0.list.borrow());
        let named = |(process, (count, last)): (&Process, &(u64, Micros))| {
            Some((
                list.names.get(process)?.clone(),
                *process,
                *count,
                mono - last,
            ))
        };
        self.0.picks.borrow().iter().filter_map(named).collect()
    }
}
