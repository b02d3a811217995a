//! Maintenance windows that never breach the capacity floor.
//!
//! A [`Machine`] takes [`Event`]s in an order that others agreed on, each with the time that its proposer read; it
//! knows nothing of how agreement is reached, does no I/O and reads no clock. What the leader has to do follows from
//! the state alone ([`Machine::due`]), so a successor goes on at the very step.

mod act;
mod acted;
mod advance;
mod agreement;
mod booking;
mod calendar;
mod callback;
mod due;
mod event;
mod grant;
mod ledger;
mod machine;
#[cfg(test)]
mod model;
mod order;
mod plan;
mod planted;
mod request;
mod servers;
mod timeline;
mod view;
mod window;

pub use act::{Act, Unclear};
pub use agreement::{Agreement, Invalid, MOST_RULES};
pub use calendar::{Blackout, Every, Span};
pub use event::{Answer, Booking, Event, Health, Outcome, Refusal, Server, Step, Word};
pub use machine::Machine;
pub use request::{FARTHEST_MS, LONGEST_NAME, MOST_NAMED, Request, Target};
pub use servers::MOST_SERVERS;
pub use view::{CapacityView, Debit, Room, SeatView, Why, WindowView};
pub use window::{Seat, State, Window};
