//! The actions that the leader is asked to carry out.

use serde::{Deserialize, Serialize};

use crate::event::Step;

/// Something to do now, derived from the state alone: a successor derives the same, so each is
/// repeated until its [`Event::Acted`](crate::Event::Acted) is agreed on.
///
/// The thing acted on keeps the highest token it has seen of each server and refuses a lower one
/// with [`Answer::Refused`](crate::Answer::Refused). The way out (drain, take) has one token, the
/// way back (return, cancellation) a higher one, so a late answer of the way out undoes no way
/// back. A step that is done already is answered with `Done`; a cancellation of a server that was
/// taken with `Taken`, its token kept all the same.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Action {
    /// The window's number.
    pub window: u64,
    /// The server's name.
    pub server: String,
    /// What to do.
    pub step: Step,
    /// The token to do it with.
    pub token: u64,
}

/// A drained server of which somebody must say that it is clear
/// ([`Event::Clear`](crate::Event::Clear)) before it is taken.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Unclear {
    /// The window's number.
    pub window: u64,
    /// The server's name.
    pub server: String,
    /// The start of the process that leaves, in the list's unit.
    pub started: u64,
    /// The token of its drain.
    pub epoch: u64,
}
