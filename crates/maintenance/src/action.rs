//! The actions that the leader performs.

use serde::{Deserialize, Serialize};

use crate::event::Step;

/// An action to perform now, derived from the state alone: a successor derives the same one, so
/// each is repeated until its [`Event::Acted`](crate::Event::Acted) is committed.
///
/// The target of the actions keeps the highest token it has seen for each server and rejects a
/// lower one with [`Answer::Refused`](crate::Answer::Refused). Drain and take share one token;
/// return and cancellation have a higher one, so that a delayed drain or take undoes neither. A
/// step that is already done is answered with `Done`, a cancellation of a server that was already
/// taken with `Taken`; in both cases the token is still recorded.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Action {
    /// The window's number.
    pub window: u64,
    /// The server's name.
    pub server: String,
    /// The step to perform.
    pub step: Step,
    /// The token to perform it with.
    pub token: u64,
}

/// A drained server that must be confirmed clear ([`Event::Clear`](crate::Event::Clear)) before it
/// is taken.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DrainCheck {
    /// The window's number.
    pub window: u64,
    /// The server's name.
    pub server: String,
    /// The start of the process that is drained, in the list's unit.
    pub started: u64,
    /// The token of its drain.
    pub epoch: u64,
}
