//! Leases of singleton tasks, which only one process holds at a time.
//!
//! [`LeaseTable`] takes [`Event`]s in an order that others agreed on and knows no time: a lease
//! ends by an event as well, which the leader brings ([`HolderMonitor`]) once its own clock says
//! that the holder was not heard for a whole lease. So the clocks of two processes are never
//! compared; only their rates must agree ([`LeaseTerms::rate_permille`]). [`Holder`] is the side of
//! who wants a task, [`FencingGate`] the side of what is acted on. None of them does I/O or reads a
//! clock.
//!
//! Leases: Gray and Cheriton, "Leases", SOSP 1989. Tokens that fence: Burrows, "The Chubby lock
//! service", OSDI 2006 (sequencers).
#![forbid(unsafe_code)]
#![warn(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

mod event;
mod fencing_gate;
mod holder;
mod holder_monitor;
mod machine;
#[cfg(test)]
mod model;
mod task;

pub use event::{Claimant, Event, MAX_LEASE_MS, MAX_NAME_BYTES, MIN_LEASE_MS, Outcome, Refusal};
pub use fencing_gate::{FencingGate, Pass, Stale};
pub use holder::{Holder, LeaseGrant, LeaseMessage, LeaseTerms};
pub use holder_monitor::HolderMonitor;
pub use machine::{LeaseTable, MAX_TASKS, MAX_WAITING};
pub use task::{HeldLease, Task, Waiting};
