//! A bounded pool of connections to endpoints.

mod endpoint;

use crate::connection::Connection;
use crate::descriptors::is_exhausted;
use crate::message_memory::MemoryShare;
use endpoint::IdleConnection;
pub use endpoint::{Endpoint, Target};
use load_balancer::Micros;
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep_until, timeout};

/// An idle connection is closed this fraction of the endpoint's idle timeout early, because a
/// request written as the endpoint closes it would be reset.
const IDLE_MARGIN_DIVISOR: u32 = 8;
/// A connection is not reused until this long after a response. Some endpoints send a response
/// twice, the second time some milliseconds later, and such a duplicate looks like the response to
/// the next request. Bytes received during the delay close the connection. A request that finds no
/// other connection waits for the end of the delay, as a new one would take longer and cost the
/// endpoint a handshake.
const REUSE_DELAY: Duration = Duration::from_millis(25);

/// Why there is no new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialError {
    /// Local resources are exhausted; the endpoint was not contacted.
    Exhausted,
    /// The endpoint refused the connection, or it was not established in time.
    Unreachable,
}

/// All endpoints, and the limits on connections to them.
pub struct Pool {
    endpoints: RefCell<Vec<Rc<Endpoint>>>,
    permits: Arc<Semaphore>,
    dial_timeout: Duration,
    max_idle: Duration,
    connection_parked: Notify,
    answer_memory: MemoryShare,
}

impl Pool {
    /// At most `max_connections` connections, dialled within `dial_timeout`, to endpoints that
    /// close idle ones after `idle_close`. Answers take their memory of that share.
    pub fn new(
        max_connections: usize,
        dial_timeout: Micros,
        idle_close: Micros,
        answer_memory: MemoryShare,
    ) -> Self {
        let to_duration = |us: Micros| Duration::from_micros(us.unsigned_abs());
        let idle_close = to_duration(if idle_close > 0 {
            idle_close
        } else {
            10_000_000
        });
        Self {
            endpoints: RefCell::default(),
            permits: Arc::new(Semaphore::new(max_connections)),
            dial_timeout: to_duration(if dial_timeout > 0 {
                dial_timeout
            } else {
                250_000
            }),
            max_idle: idle_close - idle_close / IDLE_MARGIN_DIVISOR,
            connection_parked: Notify::new(),
            answer_memory,
        }
    }

    /// The memory for answers.
    pub fn answer_memory(&self) -> &MemoryShare {
        &self.answer_memory
    }

    /// The endpoint of that id; creates those up to it.
    pub fn endpoint(&self, id: usize) -> Rc<Endpoint> {
        let mut endpoints = self.endpoints.borrow_mut();
        while endpoints.len() <= id {
            endpoints.push(Rc::default());
        }
        Rc::clone(&endpoints[id])
    }

    /// Frees an id for another endpoint.
    pub fn release(&self, id: usize) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(id) {
            // Other holders of the old endpoint must not keep connections for it either.
            std::mem::take(endpoint).unlist();
        }
    }

    /// Marks the endpoints that are not listed as removed.
    pub fn keep_only(&self, listed: &HashSet<usize>) {
        for (id, endpoint) in self.endpoints.borrow().iter().enumerate() {
            if !listed.contains(&id) {
                endpoint.unlist();
            }
        }
    }

    /// The most recently used idle connection whose delay is over and that is still usable, so that
    /// the others may age and close; otherwise the one whose delay ends first, after that delay.
    pub async fn take_idle(
        &self,
        endpoint: &Endpoint,
    ) -> Option<(Connection, OwnedSemaphorePermit)> {
        loop {
            let candidate = {
                let mut idle = endpoint.idle.borrow_mut();
                let index = next_reusable(
                    idle.iter().map(|i| i.last_used),
                    Instant::now(),
                    REUSE_DELAY,
                )?;
                idle.remove(index)
            };
            sleep_until(candidate.last_used + REUSE_DELAY).await;
            if candidate.last_used.elapsed() < self.max_idle && candidate.connection.is_usable() {
                return Some((candidate.connection, candidate.permit));
            }
        }
    }

    /// Dials a new connection, within the limit.
    pub async fn dial(
        &self,
        address: SocketAddr,
    ) -> Result<(Connection, OwnedSemaphorePermit), DialError> {
        let permit = self.permits.clone().try_acquire_owned().or_else(|full| {
            self.close_oldest_idle();
            self.permits.clone().try_acquire_owned().map_err(|_| full)
        });
        // Checked before dialling, so that a lack of resources costs the endpoint no handshake.
        let permit = permit.map_err(|_| DialError::Exhausted)?;
        let opened = Connection::open(address, self.answer_memory.clone());
        match timeout(self.dial_timeout, opened).await {
            Ok(Ok(connection)) => Ok((connection, permit)),
            Ok(Err(error)) if is_exhausted(&error) => Err(DialError::Exhausted),
            Ok(Err(_)) | Err(_) => Err(DialError::Unreachable),
        }
    }

    /// Closes idle connections that their endpoints have ended or sent unrequested bytes on, or
    /// else the oldest one.
    fn close_oldest_idle(&self) {
        let endpoints = self.endpoints.borrow();
        for endpoint in endpoints.iter() {
            endpoint
                .idle
                .borrow_mut()
                .retain(|i| i.connection.is_usable());
        }
        if self.permits.available_permits() > 0 {
            return;
        }
        let oldest = endpoints
            .iter()
            .filter_map(|e| Some((e.idle.borrow().first()?.last_used, e)))
            .min_by_key(|o| o.0);
        if let Some((_, endpoint)) = oldest {
            endpoint.idle.borrow_mut().remove(0);
        }
    }

    /// Keeps a connection for the next request, unless either side wants it closed.
    pub async fn park(
        &self,
        endpoint: &Endpoint,
        target: Target,
        mut connection: Connection,
        permit: OwnedSemaphorePermit,
    ) {
        let is_usable = connection.release().await;
        let is_same_address = endpoint
            .target()
            .is_some_and(|now| now.address == target.address);
        if is_usable && is_same_address && endpoint.is_current(&connection) {
            endpoint.idle.borrow_mut().push(IdleConnection {
                connection,
                permit,
                last_used: Instant::now(),
            });
            self.connection_parked.notify_one();
        }
    }

    /// Closes idle connections whose time is over. Runs forever.
    pub async fn retire_idle(self: Rc<Self>) {
        loop {
            let first = |e: &Rc<Endpoint>| e.idle.borrow().first().map(|i| i.last_used);
            let oldest = self.endpoints.borrow().iter().filter_map(first).min();
            match oldest {
                None => self.connection_parked.notified().await,
                Some(since) => sleep_until(since + self.max_idle).await,
            }
            for endpoint in self.endpoints.borrow().iter() {
                endpoint
                    .idle
                    .borrow_mut()
                    .retain(|i| i.last_used.elapsed() < self.max_idle);
            }
        }
    }
}

/// The index of the most recently used of these connections whose delay is over, or else of the one
/// whose delay ends first; `None` if there are none.
fn next_reusable(
    since: impl DoubleEndedIterator<Item = Instant> + ExactSizeIterator + Clone,
    now: Instant,
    delay: Duration,
) -> Option<usize> {
    let reusable = since
        .clone()
        .rposition(|since| now.duration_since(since) >= delay);
    reusable.or_else(|| {
        (0..since.len())
            .zip(since)
            .min_by_key(|(_, since)| *since)
            .map(|(index, _)| index)
    })
}

#[cfg(test)]
mod tests;
