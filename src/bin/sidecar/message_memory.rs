//! The memory that messages in transit may take, of all connections together.
//!
//! Requests and answers have a share each: a request keeps its memory until it is answered, so with
//! one share requests could leave nothing for the answers that they wait for. Memory is reserved for
//! a whole message before it is read; with part of it, messages would wait for each other.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// Reservations are counted in units of this many bytes.
const UNIT_BYTES: usize = 1 << 10;
/// The part of the process's memory that is each share: the rest is for the program, the endpoint
/// list, the connections themselves and what the allocator can't use.
const SHARE_DIVISOR: usize = 8;

/// The shares of a process.
#[derive(Clone)]
pub struct MessageMemory {
    /// For requests, and for heads of requests that are still arriving.
    pub requests: MemoryShare,
    /// For answers, and for heads of answers that are still arriving.
    pub answers: MemoryShare,
}

impl MessageMemory {
    /// The shares of a process that may use that many bytes.
    pub fn of_process(bytes: usize) -> Self {
        Self {
            requests: MemoryShare::new(bytes / SHARE_DIVISOR),
            answers: MemoryShare::new(bytes / SHARE_DIVISOR),
        }
    }
}

/// Memory that is reserved message by message, in the order in which it is asked for.
#[derive(Clone)]
pub struct MemoryShare(Rc<ShareState>);

struct ShareState {
    free: Arc<Semaphore>,
    total_units: u32,
    /// What is being waited for.
    waiting_units: Cell<u32>,
    shortage: Notify,
}

/// Reserved memory, until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    /// `None` only if the share were closed, which it never is.
    permit: Option<OwnedSemaphorePermit>,
}

impl Reservation {
    /// How many bytes are reserved.
    pub fn bytes(&self) -> usize {
        let units = self.permit.as_ref().map(OwnedSemaphorePermit::num_permits);
        units.unwrap_or(0) * UNIT_BYTES
    }

    /// Frees what is beyond that many bytes.
    pub fn shrunk_to(mut self, bytes: usize) -> Self {
        if let Some(permit) = &mut self.permit {
            let excess = permit.num_permits().saturating_sub(units(bytes) as usize);
            drop(permit.split(excess));
        }
        self
    }
}

impl MemoryShare {
    /// A share of that many bytes, at least one unit.
    pub fn new(bytes: usize) -> Self {
        let total_units = units(bytes);
        Self(Rc::new(ShareState {
            free: Arc::new(Semaphore::new(total_units as usize)),
            total_units,
            waiting_units: Cell::default(),
            shortage: Notify::new(),
        }))
    }

    /// Reserves memory if there is enough and nobody waits for it.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let free = Arc::clone(&self.0.free);
        let permit = free.try_acquire_many_owned(self.clamped_units(bytes));
        permit.ok().map(|permit| Reservation {
            permit: Some(permit),
        })
    }

    /// Reserves memory, and waits until there is enough. More than the whole share counts as the
    /// whole share.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        if let Some(reservation) = self.try_reserve(bytes) {
            return reservation;
        }
        let units = self.clamped_units(bytes);
        let _waiting = Waiting::begin(&self.0, units);
        let permit = Arc::clone(&self.0.free).acquire_many_owned(units).await;
        Reservation {
            permit: permit.ok(),
        }
    }

    /// Waits until somebody waits for memory; returns for how many bytes.
    pub async fn shortage(&self) -> usize {
        while self.0.waiting_units.get() == 0 {
            self.0.shortage.notified().await;
        }
        self.0.waiting_units.get() as usize * UNIT_BYTES
    }

    fn clamped_units(&self, bytes: usize) -> u32 {
        units(bytes).min(self.0.total_units)
    }
}

/// The units of that many bytes, at least one.
fn units(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(UNIT_BYTES).max(1)).unwrap_or(u32::MAX)
}

/// Counts what somebody waits for, until it is dropped.
struct Waiting<'a> {
    share: &'a ShareState,
    units: u32,
}

impl<'a> Waiting<'a> {
    fn begin(share: &'a ShareState, units: u32) -> Self {
        let waiting = &share.waiting_units;
        waiting.set(waiting.get().saturating_add(units));
        share.shortage.notify_one();
        Self { share, units }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let waiting = &self.share.waiting_units;
        waiting.set(waiting.get().saturating_sub(self.units));
    }
}

#[cfg(test)]
mod tests;
