//! Maintenance windows that never violate the disruption budget.
//!
//! A [`Machine`] applies [`Event`]s in the order of a replicated log, each with the time that its
//! proposer read; it does not know how consensus is reached, does no I/O and reads no clock. What
//! the leader has to do follows from the state alone ([`Machine::due`]), so a successor continues
//! at the same step.

#![forbid(unsafe_code)]
#![warn(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

mod action;
mod action_results;
mod admission;
mod advance;
mod booking;
mod calendar;
mod cancellation;
mod capacity;
mod disruption_budget;
mod due;
mod event;
mod invalid;
mod known_server;
mod ledger;
mod machine;
#[cfg(test)]
mod model;
mod order;
mod plan;
mod planted_faults;
mod request;
mod servers;
mod timeline;
mod view;
mod window;

pub use action::{Action, DrainCheck};
pub use calendar::{Blackout, Every, Span};
pub use capacity::{CapacityView, Debit, DebitReason, LimitUsage};
pub use disruption_budget::{DisruptionBudget, MAX_RULES};
pub use event::{
    Answer, Booking, Event, Health, Outcome, Refusal, Server, ServerObservation, Step,
};
pub use invalid::Invalid;
pub use machine::Machine;
pub use request::{MAX_HORIZON_MS, MAX_NAME_BYTES, MAX_NAMED_SERVERS, Request, Target};
pub use servers::MAX_SERVERS;
pub use view::{ServerSlotView, WindowView};
pub use window::{ServerSlot, State, Window};
