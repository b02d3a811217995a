//! A member on a socket: datagrams, timers, and a way to talk to it from other tasks of the same thread. Changes with
//! how it is carried.
//!
//! While the member has nothing to say the socket wakes it. While it has, it wakes up ten times a second anyway, and
//! datagrams wait for that: what they bring leaves no sooner, and one wake-up for each would cost more than all else here
//! (Mogul and Ramakrishnan, "Eliminating Receive Livelock in an Interrupt-driven Kernel", ACM TOCS 15, 1997, p. 217).

mod others;

use crate::carrier::NotCarried;
use crate::census::Servers;
use crate::core::{Carried, Census, Core, Listed, TICK, Word};
use crate::effects::Note;
use crate::evidence::Sign;
use crate::frame::LONGEST;
use crate::section::FleetSection;
use crate::{Micros, hash};
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::UdpSocket as Watched;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Datagrams that are read at one go, before others of the thread have their turn.
const AT_ONCE: usize = 64;

/// A clock: microseconds of Unix time.
pub type Clock = Rc<dyn Fn() -> Micros>;
/// Who is told of words.
pub type Told = Rc<dyn Fn(Vec<Word>)>;

/// Who is told of what people should know.
pub type Notes = Rc<dyn Fn(Note)>;
/// Who is told of what was carried here.
pub type Carries = Rc<dyn Fn(Vec<Carried>)>;

/// A member that runs.
#[derive(Clone)]
pub struct Fleet {
    core: Rc<RefCell<Core>>,
    socket: Rc<UdpSocket>,
    clock: Clock,
    offset: Micros,
    told: Told,
    carries: Rc<RefCell<Option<Carries>>>,
    notes: Rc<RefCell<Option<Notes>>>,
    /// When it wakes up next, and what wakes it up before.
    wakes: Rc<Cell<Micros>>,
    wake: Rc<Notify>,
}

impl Fleet {
    /// Binds the socket; [`Fleet::run`] brings it to life. Its incarnation is the clock's time at its start, unless one
    /// is given: higher than that of any life before.
    ///
    /// # Errors
    /// The address cannot be had.
    pub fn bind(
        section: &FleetSection,
        name: &str,
        zone: &str,
        clock: Clock,
        told: Told,
        incarnation: Option<u64>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(section.listen)?;
        socket.set_nonblocking(true)?;
        let (offset, now) = (section.offset(), clock());
        // Members that start at once must not draw alike.
        let seed = hash(name) ^ now.unsigned_abs();
        let core =
            Core::new(section, name, zone, incarnation.unwrap_or(now.unsigned_abs()), seed, now + offset);
        Ok(Self {
            core: Rc::new(RefCell::new(core)),
            socket: Rc::new(socket),
            clock,
            offset,
            told,
            carries: Rc::default(),
            notes: Rc::default(),
            wakes: Rc::new(Cell::new(Micros::MIN)),
            wake: Rc::default(),
        })
    }

    /// Does something with the member at this instant, and carries out what comes of it.
    fn with<T>(&self, what: impl FnOnce(&mut Core, Micros) -> T) -> T {
        let now = (self.clock)() + self.offset;
        let (result, mut effects) = {
            let mut core = self.core.borrow_mut();
            let result = what(&mut core, now);
            if core.next() < self.wakes.get() {
                self.wake.notify_one();
            }
            (result, core.effects())
        };
        for (to, bytes) in effects.datagrams {
            // Datagrams may be lost, so one that cannot leave now is.
            let _ = self.socket.send_to(&bytes, to);
        }
        if !effects.words.is_empty() {
            effects.words.iter_mut().for_each(|word| word.until -= self.offset);
            (self.told)(effects.words);
        }
        if !effects.carried.is_empty() {
            let carries = self.carries.borrow().clone();
            if let Some(carries) = carries {
                carries(effects.carried);
            }
        }
        if !effects.notes.is_empty() {
            let notes = self.notes.borrow().clone();
            if let Some(notes) = notes {
                effects.notes.into_iter().for_each(|note| notes(note));
            }
        }
        result
    }

    /// From now on that one is told of what is carried here; until then it is dropped.
    pub fn on_carried(&self, carries: Carries) {
        *self.carries.borrow_mut() = Some(carries);
    }

    /// From now on that one is told of what people should know.
    pub fn on_notes(&self, notes: Notes) {
        *self.notes.borrow_mut() = Some(notes);
    }

    /// The version of the program, as others' rosters show it.
    pub fn set_version(&self, version: &str) {
        self.core.borrow_mut().set_version(version);
    }

    /// Spreads a piece to all members; see [`Core::carry`].
    ///
    /// # Errors
    /// Why it is not.
    pub fn carry(&self, kind: u8, bytes: &[u8]) -> Result<(), NotCarried> {
        self.with(|core, now| core.carry(now, kind, bytes))
    }

    /// Sends a piece to one member; see [`Core::carry_to`].
    ///
    /// # Errors
    /// Why it is not.
    pub fn carry_to(&self, to: u64, kind: u8, bytes: &[u8]) -> Result<(), NotCarried> {
        self.with(|core, now| core.carry_to(now, to, kind, bytes))
    }

    /// Members drawn at random; see [`Core::neighbours`].
    pub fn neighbours(&self, most: usize) -> Vec<u64> {
        self.with(|core, _| core.neighbours(most))
    }

    /// The list has changed.
    pub fn listed(&self, list: Vec<Listed>) {
        self.with(|core, now| core.listed(now, list));
    }

    /// Discovery has answered: the list is as new as this.
    pub fn list_seen(&self) {
        self.with(Core::list_seen);
    }

    /// Where the endpoints of the list stand, by their numbers.
    pub fn placed<'a>(&self, zones: impl Iterator<Item = (usize, &'a str)>) {
        self.core.borrow_mut().placed(zones);
    }

    /// An endpoint has served this member, or has not.
    pub fn witness(&self, endpoint: usize, sign: Sign) {
        self.with(|core, now| core.witness(now, endpoint, sign));
    }

    /// Tells the others that it leaves.
    pub fn leave(&self) {
        self.with(Core::leave);
    }

    /// What it may tell the steward.
    pub fn servers(&self) -> Servers {
        self.with(|core, now| core.servers(now))
    }

    /// What people want to see.
    pub fn census(&self) -> Census {
        self.with(|core, now| core.census(now))
    }

    /// Runs for good.
    pub async fn run(self) {
        let mut bytes = [0; LONGEST + 1];
        let mut watched = None;
        loop {
            if self.read(&mut bytes, watched.as_ref()) {
                yield_now().await;
                continue;
            }
            let wait = self.with(|core, now| {
                core.tick(now);
                self.wakes.set(core.next());
                core.next() - now
            });
            if wait <= TICK {
                watched = None;
            } else if watched.is_none() {
                // Where the system refuses, the beats are what is left. What has come meanwhile shows at once.
                watched = self.socket.try_clone().and_then(Watched::from_std).ok();
            }
            let most = if watched.is_some() { Micros::MAX } else { TICK };
            let sleeps = sleep(Duration::from_micros(u64::try_from(wait.min(most)).unwrap_or(0)));
            let came = async {
                match &watched {
                    Some(socket) => socket.readable().await,
                    None => pending().await,
                }
            };
            tokio::select! {
                // What is wrong with the socket shows where it is read.
                _ = came => {}
                () = self.wake.notified() => {}
                () = sleeps => {}
            }
        }
    }

    /// Reads what has come; true where there may be more.
    fn read(&self, bytes: &mut [u8], watched: Option<&Watched>) -> bool {
        // The member is looked at right after this in any case.
        self.wakes.set(Micros::MIN);
        for _ in 0..AT_ONCE {
            let came = match watched {
                // Through the one that is watched, so that it waits for what comes next.
                Some(socket) => socket.try_io(Interest::READABLE, || self.socket.recv_from(bytes)),
                None => self.socket.recv_from(bytes),
            };
            match came {
                Ok((length, from)) => self.with(|core, now| core.datagram(now, from, &bytes[..length])),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                // An earlier send that was refused shows here; the socket itself stays good.
                Err(_) => {}
            }
        }
        true
    }
}
