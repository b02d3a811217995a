//! A member on a UDP socket, and its handle for other tasks of the thread.

mod calls;
mod driver;
mod peers;

use crate::core::{Core, EjectionUpdate, ReceivedFragment};
use crate::effects::Note;
use crate::section::FleetSection;
use crate::{Micros, hash};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::UdpSocket;
use std::rc::Rc;
use tokio::sync::Notify;

/// A clock that returns microseconds of Unix time.
pub type Clock = Rc<dyn Fn() -> Micros>;
/// Called with changed ejections.
pub type EjectionHandler = Rc<dyn Fn(Vec<EjectionUpdate>)>;

/// Called with events for on-call engineers.
pub type NoteHandler = Rc<dyn Fn(Note)>;
/// Called with received fragments.
pub type FragmentHandler = Rc<dyn Fn(Vec<ReceivedFragment>)>;

/// A handle of a running member.
#[derive(Clone)]
pub struct GossipHandle {
    core: Rc<RefCell<Core>>,
    socket: Rc<UdpSocket>,
    clock: Clock,
    offset: Micros,
    ejection_handler: EjectionHandler,
    fragment_handler: Rc<RefCell<Option<FragmentHandler>>>,
    note_handler: Rc<RefCell<Option<NoteHandler>>>,
    /// When the driver wakes up next.
    next_wakeup: Rc<Cell<Micros>>,
    wakeup: Rc<Notify>,
}

impl GossipHandle {
    /// Binds the socket; [`GossipHandle::run`] then drives the member. Without a given incarnation
    /// the current time is used, which is higher than that of any earlier run.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub fn bind(
        section: &FleetSection,
        name: &str,
        zone: &str,
        clock: Clock,
        ejection_handler: EjectionHandler,
        incarnation: Option<u64>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(section.listen)?;
        socket.set_nonblocking(true)?;
        let (offset, now) = (section.clock_offset_micros(), clock());
        // Members that start at the same time must not make the same random choices.
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
            ejection_handler,
            fragment_handler: Rc::default(),
            note_handler: Rc::default(),
            next_wakeup: Rc::new(Cell::new(Micros::MIN)),
            wakeup: Rc::default(),
        })
    }

    /// Calls the member with the current time and performs its outputs.
    fn with<T>(&self, action: impl FnOnce(&mut Core, Micros) -> T) -> T {
        let now = (self.clock)() + self.offset;
        let (result, mut effects) = {
            let mut core = self.core.borrow_mut();
            let result = action(&mut core, now);
            if core.next() < self.next_wakeup.get() {
                self.wakeup.notify_one();
            }
            (result, core.take_effects())
        };
        for (to, bytes) in effects.datagrams {
            // Datagrams may be lost, so a failed send is ignored.
            let _ = self.socket.send_to(&bytes, to);
        }
        if !effects.ejections.is_empty() {
            effects
                .ejections
                .iter_mut()
                .for_each(|update| update.expires -= self.offset);
            (self.ejection_handler)(effects.ejections);
        }
        if !effects.fragments.is_empty() {
            let handler = self.fragment_handler.borrow().clone();
            if let Some(carries) = handler {
                carries(effects.fragments);
            }
        }
        if !effects.notes.is_empty() {
            let handler = self.note_handler.borrow().clone();
            if let Some(notes) = handler {
                effects.notes.into_iter().for_each(|note| notes(note));
            }
        }
        result
    }
}
