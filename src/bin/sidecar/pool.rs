//! A bounded pool of connections to endpoints.

mod endpoint;

use crate::connection::Connection;
use crate::descriptors::lacked;
use endpoint::Idle;
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

/// An idle connection is retired this part of its idle time before the endpoint would close it: a
/// request written later than that would end as a reset.
const IDLE_MARGIN: u32 = 8;
/// A connection rests this long after an answer before anything is written on it. Some endpoints
/// answer a request twice, the second time some milliseconds later, and nothing tells that answer
/// from one to the next request. What has come by the end of the rest ends the connection. A
/// request that finds no other waits for the end of the rest: a new connection would take longer,
/// and cost its endpoint a handshake.
const REST: Duration = Duration::from_millis(25);

/// Why there is no new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialError {
    /// There is no room for one here; the endpoint was not asked.
    NoRoom,
    /// The endpoint refused it, or it did not come up in time.
    Unreachable,
}

/// All endpoints and the bounds on connections to them.
pub struct Pool {
    endpoints: RefCell<Vec<Rc<Endpoint>>>,
    permits: Arc<Semaphore>,
    dial_timeout: Duration,
    idle_time: Duration,
    parked: Notify,
}

impl Pool {
    /// At most `most` connections, made within `dial_timeout`, closed by endpoints after
    /// `idle_close`.
    pub fn new(most: usize, dial_timeout: Micros, idle_close: Micros) -> Self {
        let time = |us: Micros| Duration::from_micros(us.unsigned_abs());
        let idle_close = time(if idle_close > 0 {
            idle_close
        } else {
            10_000_000
        });
        Self {
            endpoints: RefCell::default(),
            permits: Arc::new(Semaphore::new(most)),
            dial_timeout: time(if dial_timeout > 0 {
                dial_timeout
            } else {
                250_000
            }),
            idle_time: idle_close - idle_close / IDLE_MARGIN,
            parked: Notify::new(),
        }
    }

    /// The endpoint of that number; those up to it come into being.
    pub fn endpoint(&self, id: usize) -> Rc<Endpoint> {
        let mut endpoints = self.endpoints.borrow_mut();
        while endpoints.len() <= id {
            endpoints.push(Rc::default());
        }
        Rc::clone(&endpoints[id])
    }

    /// The number goes to another endpoint: nothing of the one before it stays.
    pub fn release(&self, id: usize) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(id) {
            // Who still holds it keeps no connection for it either.
            std::mem::take(endpoint).unlist();
        }
    }

    /// Endpoints that are not among these are gone.
    pub fn keep_only(&self, listed: &HashSet<usize>) {
        for (id, endpoint) in self.endpoints.borrow().iter().enumerate() {
            if !listed.contains(&id) {
                endpoint.unlist();
            }
        }
    }

    /// The most recently used idle connection that has rested and is still good, so that the others
    /// may grow old and close; where none has, the one that will have first, after the rest of its
    /// rest.
    pub async fn reuse(&self, endpoint: &Endpoint) -> Option<(Connection, OwnedSemaphorePermit)> {
        loop {
            let taken = {
                let mut idle = endpoint.idle.borrow_mut();
                let next = next_rested(idle.iter().map(|i| i.since), Instant::now(), REST)?;
                idle.remove(next)
            };
            sleep_until(taken.since + REST).await;
            if taken.since.elapsed() < self.idle_time && taken.connection.usable() {
                return Some((taken.connection, taken.permit));
            }
        }
    }

    /// A new connection, where there is room for one.
    pub async fn dial(
        &self,
        address: SocketAddr,
    ) -> Result<(Connection, OwnedSemaphorePermit), DialError> {
        let permit = self.permits.clone().try_acquire_owned().or_else(|full| {
            self.make_room();
            self.permits.clone().try_acquire_owned().map_err(|_| full)
        });
        // Before the dial: one that has no room must not cost the endpoint a handshake.
        let permit = permit.map_err(|_| DialError::NoRoom)?;
        match timeout(self.dial_timeout, Connection::open(address)).await {
            Ok(Ok(connection)) => Ok((connection, permit)),
            Ok(Err(error)) if lacked(&error) => Err(DialError::NoRoom),
            Ok(Err(_)) | Err(_) => Err(DialError::Unreachable),
        }
    }

    /// Idle connections make way: those that their endpoints have closed or spoken on, or else the
    /// oldest one.
    fn make_room(&self) {
        let endpoints = self.endpoints.borrow();
        for endpoint in endpoints.iter() {
            endpoint.idle.borrow_mut().retain(|i| i.connection.usable());
        }
        if self.permits.available_permits() > 0 {
            return;
        }
        let oldest = endpoints
            .iter()
            .filter_map(|e| Some((e.idle.borrow().first()?.since, e)))
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
        connection.turn().await;
        let there = endpoint
            .target()
            .is_some_and(|now| now.address == target.address);
        if there && endpoint.outlives(&connection) && connection.usable() {
            endpoint.idle.borrow_mut().push(Idle {
                connection,
                permit,
                since: Instant::now(),
            });
            self.parked.notify_one();
        }
    }

    /// Closes idle connections as their time comes. Runs for good.
    pub async fn retire_idle(self: Rc<Self>) {
        loop {
            let first = |e: &Rc<Endpoint>| e.idle.borrow().first().map(|i| i.since);
            let oldest = self.endpoints.borrow().iter().filter_map(first).min();
            match oldest {
                None => self.parked.notified().await,
                Some(since) => sleep_until(since + self.idle_time).await,
            }
            for endpoint in self.endpoints.borrow().iter() {
                endpoint
                    .idle
                    .borrow_mut()
                    .retain(|i| i.since.elapsed() < self.idle_time);
            }
        }
    }
}

/// Which of these, that were used last at those times, was used last of all that have rested, or
/// else rests the shortest from now on; `None` where there are none.
fn next_rested(
    since: impl DoubleEndedIterator<Item = Instant> + ExactSizeIterator + Clone,
    now: Instant,
    rest: Duration,
) -> Option<usize> {
    let rested = since
        .clone()
        .rposition(|since| now.duration_since(since) >= rest);
    rested.or_else(|| {
        (0..since.len())
            .zip(since)
            .min_by_key(|(_, since)| *since)
            .map(|(index, _)| index)
    })
}

#[cfg(test)]
mod tests;
