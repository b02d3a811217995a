//! A member on a socket: datagrams, timers, and a way to talk to it from other tasks of the same thread. Changes with
//! how it is carried.

use crate::carrier::NotCarried;
use crate::census::Servers;
use crate::core::{Carried, Census, Core, Listed, Others, Word};
use crate::evidence::Sign;
use crate::frame::LONGEST;
use crate::section::FleetSection;
use crate::{Micros, hash};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Pause after a failed receive.
const PAUSE: Duration = Duration::from_millis(10);
/// Datagrams that are read at one go, before others of the thread have their turn.
const AT_ONCE: usize = 64;

/// A clock: microseconds of Unix time.
pub type Clock = Rc<dyn Fn() -> Micros>;
/// Who is told of words.
pub type Told = Rc<dyn Fn(Vec<Word>)>;

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
    /// When it wakes up next, and what wakes it up before.
    wakes: Rc<Cell<Micros>>,
    wake: Rc<Notify>,
}

impl Fleet {
    /// Binds the socket; [`Fleet::run`] brings it to life. Its incarnation is the clock's time at its start.
    ///
    /// # Errors
    /// The address cannot be had.
    pub fn bind(
        section: &FleetSection,
        name: &str,
        zone: &str,
        clock: Clock,
        told: Told,
    ) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(section.listen)?;
        socket.set_nonblocking(true)?;
        let (offset, now) = (section.offset(), clock());
        // Members that start at once must not draw alike.
        let seed = hash(name) ^ now.unsigned_abs();
        let core = Core::new(section, name, zone, now.unsigned_abs(), seed, now + offset);
        Ok(Self {
            core: Rc::new(RefCell::new(core)),
            socket: Rc::new(UdpSocket::from_std(socket)?),
            clock,
            offset,
            told,
            carries: Rc::default(),
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
            let _ = self.socket.try_send_to(&bytes, to);
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
        result
    }

    /// From now on that one is told of what is carried here; until then it is dropped.
    pub fn on_carried(&self, carries: Carries) {
        *self.carries.borrow_mut() = Some(carries);
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

    /// The hash of the own name.
    pub fn origin(&self) -> u64 {
        self.core.borrow().origin()
    }

    /// Who is there; see [`Others`].
    pub fn others(&self) -> Others {
        self.with(|core, now| core.others(now))
    }

    /// The list has changed.
    pub fn listed(&self, list: Vec<Listed>) {
        self.with(|core, now| core.listed(now, list));
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
        loop {
            let wait = self.with(|core, now| {
                core.tick(now);
                self.wakes.set(core.next());
                core.next() - now
            });
            let wait = Duration::from_micros(u64::try_from(wait).unwrap_or(0));
            let came = tokio::select! {
                came = self.socket.readable() => came,
                () = self.wake.notified() => continue,
                () = sleep(wait) => continue,
            };
            match came {
                Ok(()) => {
                    for _ in 0..AT_ONCE {
                        match self.socket.try_recv_from(&mut bytes) {
                            Ok((length, from)) => {
                                self.with(|core, now| core.datagram(now, from, &bytes[..length]))
                            }
                            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                            // An earlier send that was refused shows here; the socket itself stays good.
                            Err(_) => {}
                        }
                    }
                    tokio::task::yield_now().await;
                }
                Err(_) => sleep(PAUSE).await,
            }
        }
    }
}
