//! The open client connections, within the limit of their number.

mod memory_shortage;

use crate::client::Client;
use crate::eviction::{Choice, STALL_TIME, choose};
use crate::log_throttle::{LogThrottle, suppressed_note};
use crate::message_memory::MessageMemory;
use crate::occupancy::Occupancy;
use crate::product::Observer;
use crate::refusal::Refusal;
use crate::report::say;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Shortest time between log lines about connections that were closed for others.
const EVICTION_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// A new connection that has waited for a place for this long is logged.
const LOGGED_WAIT: Duration = Duration::from_millis(100);

/// Numbers the connections in the order in which they were accepted; never reused.
type ConnectionId = u64;

/// The open client connections.
pub struct ClientConnections {
    limit: usize,
    memory: MessageMemory,
    open: RefCell<BTreeMap<ConnectionId, Rc<OpenConnection>>>,
    next_id: Cell<ConnectionId>,
    /// Notified when there may be room, or a connection that can make room.
    changed: Rc<Notify>,
    observer: Observer,
    eviction_log: RefCell<LogThrottle>,
    memory_log: RefCell<LogThrottle>,
    wait_log: RefCell<LogThrottle>,
}

/// An open connection as the others see it.
struct OpenConnection {
    client: Rc<Client>,
    eviction: Cell<Option<Eviction>>,
    evicted: Notify,
}

impl OpenConnection {
    fn is_evicted(&self) -> bool {
        self.eviction.get().is_some()
    }
}

/// What becomes of the client of a connection that is closed for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// Nothing has been read that it is owed an answer to.
    Unanswered,
    /// Part of a request has been read, which gets this answer.
    Refused(Refusal),
}

/// The place of a connection, until it is dropped.
pub struct Place {
    id: ConnectionId,
    connections: Rc<ClientConnections>,
    connection: Rc<OpenConnection>,
}

impl ClientConnections {
    /// Holds at most `limit` connections, whose messages share that memory.
    pub fn new(limit: usize, memory: MessageMemory, observer: Observer) -> Rc<Self> {
        Rc::new(Self {
            limit,
            memory,
            open: RefCell::default(),
            next_id: Cell::default(),
            changed: Rc::default(),
            observer,
            eviction_log: RefCell::new(LogThrottle::new(EVICTION_LOG_INTERVAL)),
            memory_log: RefCell::new(LogThrottle::new(EVICTION_LOG_INTERVAL)),
            wait_log: RefCell::new(LogThrottle::new(EVICTION_LOG_INTERVAL)),
        })
    }

    /// Waits until there is room for one more connection; closes another one for it if there is none
    /// and one may be closed.
    pub async fn wait_for_room(&self) {
        if self.has_room() {
            return;
        }
        let began = Instant::now();
        while !self.has_room() {
            match self.make_room(Instant::now()) {
                Some(time) => {
                    let _ = timeout_at(time, self.changed.notified()).await;
                }
                None => self.changed.notified().await,
            }
        }
        self.log_wait(began.elapsed());
    }

    /// Takes a place for an accepted connection, also beyond the limit.
    pub fn open(self: &Rc<Self>, stream: TcpStream) -> Place {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let connection = Rc::new(OpenConnection {
            client: Rc::new(Client::new(
                stream,
                self.memory.requests.clone(),
                Rc::clone(&self.changed),
            )),
            eviction: Cell::default(),
            evicted: Notify::new(),
        });
        self.open.borrow_mut().insert(id, Rc::clone(&connection));
        Place {
            id,
            connections: Rc::clone(self),
            connection,
        }
    }

    fn has_room(&self) -> bool {
        self.open.borrow().len() < self.limit
    }

    /// Tells one connection to close, unless one that was told has not closed yet. Returns when to
    /// ask again although none has changed until then.
    fn make_room(&self, now: Instant) -> Option<Instant> {
        let open = self.open.borrow();
        if open.values().any(|connection| connection.is_evicted()) {
            return None;
        }
        let mut received = Vec::new();
        loop {
            let candidates = open
                .iter()
                .filter(|(id, _)| !received.contains(*id))
                .map(|(id, connection)| (*id, connection.client.occupancy()));
            match choose(candidates, now) {
                Choice::Evict(id) => {
                    let connection = &open[&id];
                    // The rest of its request may have arrived unnoticed.
                    let client = &connection.client;
                    if client.occupancy().is_reading() && client.has_unread_bytes() {
                        received.push(id);
                        continue;
                    }
                    self.evict_for_place(connection);
                    return None;
                }
                Choice::NotBefore(time) => return Some(time),
                Choice::Nothing if received.is_empty() => return None,
                Choice::Nothing => return Some(now + STALL_TIME),
            }
        }
    }

    fn evict(&self, connection: &OpenConnection, reason: Refusal) -> Occupancy {
        let occupancy = connection.client.occupancy();
        connection.eviction.set(Some(match occupancy {
            Occupancy::Incomplete { .. } => Eviction::Refused(reason),
            _ => Eviction::Unanswered,
        }));
        connection.evicted.notify_one();
        self.observer.client_connection_evicted(occupancy);
        occupancy
    }

    fn evict_for_place(&self, connection: &OpenConnection) {
        let occupancy = self.evict(connection, Refusal::NoPlace);
        if let Some(suppressed) = self.eviction_log.borrow_mut().allow(Instant::now()) {
            say!(
                warn,
                "sidecar::inbound",
                "client connections full: closed one ({}) for a new one{}",
                occupancy.label(),
                suppressed_note(suppressed)
            );
        }
    }

    fn log_wait(&self, waited: Duration) {
        if waited < LOGGED_WAIT {
            return;
        }
        if let Some(suppressed) = self.wait_log.borrow_mut().allow(Instant::now()) {
            say!(
                warn,
                "sidecar::inbound",
                "client connections full: a new one waited {} ms for a place{}",
                waited.as_millis(),
                suppressed_note(suppressed)
            );
        }
    }
}

impl Place {
    /// The client of this connection.
    pub fn client(&self) -> Rc<Client> {
        Rc::clone(&self.connection.client)
    }

    /// Waits until the connection has to close for another one.
    pub async fn evicted(&self) -> Eviction {
        loop {
            if let Some(eviction) = self.connection.eviction.get() {
                return eviction;
            }
            self.connection.evicted.notified().await;
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.id);
        self.connections.changed.notify_one();
    }
}

#[cfg(test)]
mod tests;
