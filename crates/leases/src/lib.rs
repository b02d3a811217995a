//! Leases of singleton tasks, which only one process holds at a time.
//!
//! [`Duties`] takes [`Event`]s in an order that others agreed on and knows no time: a lease ends by an event as well,
//! which the leader brings ([`Watch`]) once its own clock says that the holder was not heard for a whole lease. So the
//! clocks of two processes are never compared; only their rates must agree ([`Terms::rate_permille`]). [`Holder`] is the
//! side of who wants a duty, [`Gate`] the side of what is acted on. None of them does I/O or reads a clock.
//!
//! Leases: Gray and Cheriton, "Leases", SOSP 1989. Tokens that fence: Burrows, "The Chubby lock service", OSDI 2006
//! (sequencers).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod duty;
mod event;
mod gate;
mod holder;
mod machine;
#[cfg(test)]
mod model;
mod watch;

pub use duty::{Duty, Held, Waiting};
pub use event::{Claimant, Event, LEASE_MS, LONGEST_NAME, Outcome, Refusal};
pub use gate::{Gate, Pass, Stale};
pub use holder::{Holder, Right, Terms, Word};
pub use machine::{Duties, MOST_DUTIES, MOST_WAITING};
pub use watch::Watch;
