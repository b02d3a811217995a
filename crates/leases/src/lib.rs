//! Leases of singleton tasks, which only one process holds at a time.
//!
//! [`LeaseTable`] applies [`Event`]s in the order of the replicated log and knows no time: a lease
//! also ends by an event, which the leader ([`HolderMonitor`]) proposes once its own clock shows
//! that the holder was silent for a whole lease. So the clocks of two processes are never compared;
//! only their rates must agree ([`LeaseTerms::clock_drift_permille`]). [`Holder`] is the side of
//! the process that claims a task, [`FencingGate`] the side of the resource that is acted on. None
//! of them does I/O or reads a clock.
//!
//! Leases: Gray and Cheriton, "Leases", SOSP 1989. Fencing tokens: Burrows, "The Chubby lock
//! service", OSDI 2006 (there called sequencers).
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
pub use fencing_gate::{FencingGate, GatePass, GateRejection};
pub use holder::{Holder, LeaseGrant, LeaseMessage, LeaseTerms};
pub use holder_monitor::HolderMonitor;
pub use machine::{LeaseTable, MAX_TASKS, MAX_WAITING};
pub use task::{HeldLease, Task, Waiting};
