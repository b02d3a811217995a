//! An endpoint as seen by the connection pool, with its idle connections.

use crate::connection::Connection;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// A server process and its address; a later process at the same address is a different target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its address.
    pub address: SocketAddr,
    /// When the process started according to the list, in milliseconds of Unix time.
    pub started_ms: i64,
}

/// An endpoint as seen by the connection pool: its address, whether it accepts requests, and its
/// idle connections.
#[derive(Default)]
pub struct Endpoint {
    pub(super) listed_target: Cell<Option<Target>>,
    ready: Cell<bool>,
    /// Connections established before this time lead to an earlier process.
    started: Cell<Option<SystemTime>>,
    /// Idle connections, the most recently used one last.
    pub(super) idle: RefCell<Vec<IdleConnection>>,
}

/// A connection that waits for its next request.
pub(super) struct IdleConnection {
    pub(super) connection: Connection,
    pub(super) permit: OwnedSemaphorePermit,
    /// When it was last used.
    pub(super) last_used: Instant,
}

impl Endpoint {
    /// Applies a list entry. Closes idle connections to an address that is no longer in use, or to
    /// a process that was replaced at the same address: a machine that vanished has not closed
    /// them, and a request would be reset.
    pub fn update(&self, target: Option<Target>, ready: bool) {
        let previous = self.listed_target.replace(target);
        self.ready.set(ready && target.is_some());
        if previous.map(|b| b.address) != target.map(|a| a.address) || !ready {
            self.close_idle();
        }
        if previous.map(|b| b.started_ms) != target.map(|a| a.started_ms) {
            self.started.set(target.map(|a| start_time(a.started_ms)));
            self.idle
                .borrow_mut()
                .retain(|idle| self.is_current(&idle.connection));
        }
    }

    /// Marks the endpoint as removed from the list.
    pub fn unlist(&self) {
        self.update(None, false);
    }

    /// Whether a connection was made to the process that is listed now.
    pub(super) fn is_current(&self, connection: &Connection) -> bool {
        self.started
            .get()
            .is_none_or(|started| connection.created_at() >= started)
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// The process to send to, if requests may be sent at all.
    pub fn target(&self) -> Option<Target> {
        self.listed_target.get().filter(|_| self.ready.get())
    }
}

/// The start time of a process listed with this Unix time in milliseconds; a start in the future
/// counts as now.
fn start_time(started_ms: i64) -> SystemTime {
    let started = UNIX_EPOCH.checked_add(Duration::from_millis(started_ms.max(0).unsigned_abs()));
    let now = SystemTime::now();
    started.map_or(now, |since| since.min(now))
}
