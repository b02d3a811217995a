//! A member on a UDP socket, and its handle for other tasks of the same thread.

mod calls;
mod driver;
mod peers;

use crate::core::{CarriedFragment, Core, EjectionUpdate};
use crate::effects::Note;
use crate::section::FleetSection;
use crate::{Micros, hash};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::UdpSocket;
use std::rc::Rc;
use tokio::sync::Notify;

/// A clock: microseconds of Unix time.
pub type Clock = Rc<dyn Fn() -> Micros>;
/// Who is told of words.
pub type EjectionHandler = Rc<dyn Fn(Vec<EjectionUpdate>)>;

/// Who is told of what people should know.
pub type NoteHandler = Rc<dyn Fn(Note)>;
/// Who is told of what was carried here.
pub type FragmentHandler = Rc<dyn Fn(Vec<CarriedFragment>)>;

/// A member that runs.
#[derive(Clone)]
pub struct Fleet {
    core: Rc<RefCell<Core>>,
    socket: Rc<UdpSocket>,
    clock: Clock,
    offset: Micros,
    told: EjectionHandler,
    carries: Rc<RefCell<Option<FragmentHandler>>>,
    notes: Rc<RefCell<Option<NoteHandler>>>,
    /// When it wakes up next, and what wakes it up before.
    wakes: Rc<Cell<Micros>>,
    wake: Rc<Notify>,
}

impl Fleet {
    /// Binds the socket; [`Fleet::run`] brings it to life. Its incarnation is the clock's time at
    /// its start, unless one is given: higher than that of any incarnation before.
    ///
    /// # Errors
    /// The address cannot be had.
    pub fn bind(
        section: &FleetSection,
        name: &str,
        zone: &str,
        clock: Clock,
        told: EjectionHandler,
        incarnation: Option<u64>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(section.listen)?;
        socket.set_nonblocking(true)?;
        let (offset, now) = (section.offset(), clock());
        // Members that start at once must not draw alike.
        let seed = hash(name) ^ now.unsigned_abs();
        let core = Core::new(
            section,
            name,
            zone,
            incarnation.unwrap_or(now.unsigned_abs()),
            seed,
            now + offset,
        );
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
        if !effects.ejections.is_empty() {
            effects
                .ejections
                .iter_mut()
                .for_each(|update| update.expires -= self.offset);
            (self.told)(effects.ejections);
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
}
