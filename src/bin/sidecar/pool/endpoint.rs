//! An endpoint as the sockets see it, with its idle connections.

use crate::connection::Connection;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// A process and where it is reached: one that is started later at the same address is another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Unix time in milliseconds of its start as it is listed.
    pub since_ms: i64,
}

/// An endpoint as the sockets see it: where it is, whether it may be sent anything, and idle
/// connections.
#[derive(Default)]
pub struct Endpoint {
    pub(super) at: Cell<Option<Target>>,
    ready: Cell<bool>,
    /// Connections from before this time lead to a process that is gone.
    started: Cell<Option<SystemTime>>,
    /// The most recently used one is last.
    pub(super) idle: RefCell<Vec<Idle>>,
}

/// A connection that waits for its next request.
pub(super) struct Idle {
    pub(super) connection: Connection,
    pub(super) permit: OwnedSemaphorePermit,
    /// When it was last used.
    pub(super) since: Instant,
}

impl Endpoint {
    /// Follows the list. Idle connections to an address that is no longer in use, or to a process
    /// that has made way for another at the same address, are closed: a machine that vanished has
    /// said nothing on them, and a request would end as a reset.
    pub fn set(&self, at: Option<Target>, ready: bool) {
        let before = self.at.replace(at);
        self.ready.set(ready && at.is_some());
        if before.map(|b| b.address) != at.map(|a| a.address) || !ready {
            self.close_idle();
        }
        if before.map(|b| b.since_ms) != at.map(|a| a.since_ms) {
            self.started.set(at.map(|a| start_time(a.since_ms)));
            self.idle
                .borrow_mut()
                .retain(|idle| self.outlives(&idle.connection));
        }
    }

    /// No more of it is listed.
    pub fn unlist(&self) {
        self.set(None, false);
    }

    /// Whether a connection was made to the process that is listed now.
    pub(super) fn outlives(&self, connection: &Connection) -> bool {
        self.started
            .get()
            .is_none_or(|started| connection.made() >= started)
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Whom to send to, if anything may be sent at all.
    pub fn target(&self) -> Option<Target> {
        self.at.get().filter(|_| self.ready.get())
    }
}

/// When a process started that is listed with this Unix time in milliseconds; one that is yet to
/// come has started now.
fn start_time(since_ms: i64) -> SystemTime {
    let since = UNIX_EPOCH.checked_add(Duration::from_millis(since_ms.max(0).unsigned_abs()));
    let now = SystemTime::now();
    since.map_or(now, |since| since.min(now))
}
