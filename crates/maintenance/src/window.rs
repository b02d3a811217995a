//! A window with its servers and their states.

use serde::{Deserialize, Serialize};

use crate::request::Request;

/// A window that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Window {
    /// Its number; grows with each window.
    pub id: u64,
    /// What was asked.
    pub request: Request,
    /// When it was asked, in milliseconds of Unix time.
    pub asked_ms: i64,
    /// One slot a server.
    #[serde(rename = "seats")]
    pub slots: Vec<ServerSlot>,
    /// Whether the asker took it back.
    pub cancelled: bool,
}

/// One server's part in a window.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerSlot {
    /// The server's name.
    pub server: String,
    /// Where it is.
    pub state: State,
    /// Planned start of the drain while it waits, real start once it was granted, in milliseconds
    /// of Unix time.
    pub start_ms: Option<i64>,
    /// The token of its acts; 0 before the first grant.
    pub token: u64,
    /// Whether its drain was confirmed.
    pub drained: bool,
    /// Whether the return or cancellation was confirmed, and when, in milliseconds of Unix time.
    pub returned_ms: Option<i64>,
    /// The least start that observations of its return must show.
    pub least_start: u64,
    /// Whether it is over its length and overrun.
    pub late: bool,
    /// Since when the list does not name its server, in milliseconds of Unix time; none while it
    /// does.
    pub unlisted_ms: Option<i64>,
    /// How often it was cancelled.
    pub called_back: u32,
    /// Why it was cancelled or closed before its work, in words; empty if neither.
    pub reason: String,
}

/// Where a slot, or the window as a whole, is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepted; no time is found at the moment.
    Asked,
    /// Has a time.
    Booked,
    /// Granted: debited, and given no new work.
    Draining,
    /// No replica picks by an affinity entry to it; it may be taken.
    Clear,
    /// Taken.
    Away,
    /// On its way back from away.
    Returning,
    /// On its way back without having been taken.
    CalledBack,
    /// Over.
    Closed,
}

impl State {
    /// Whether a grant is open: the server is debited whatever observations say.
    pub fn is_admitted(self) -> bool {
        matches!(
            self,
            State::Draining | State::Clear | State::Away | State::Returning | State::CalledBack
        )
    }

    /// Whether it waits for a grant.
    pub fn waits(self) -> bool {
        matches!(self, State::Asked | State::Booked)
    }
}

impl ServerSlot {
    /// A slot that waits.
    pub(crate) fn new(server: String) -> Self {
        ServerSlot {
            server,
            state: State::Asked,
            start_ms: None,
            token: 0,
            drained: false,
            returned_ms: None,
            least_start: 0,
            late: false,
            unlisted_ms: None,
            called_back: 0,
            reason: String::new(),
        }
    }
}

impl Window {
    /// Whether every slot is closed.
    pub fn closed(&self) -> bool {
        self.slots.iter().all(|slot| slot.state == State::Closed)
    }
}
