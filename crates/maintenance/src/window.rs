//! A window with its servers and their states.

use serde::{Deserialize, Serialize};

use crate::request::Request;

/// An accepted window.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Window {
    /// Its number; later windows have higher ones.
    pub id: u64,
    /// The request.
    pub request: Request,
    /// When it was requested, in milliseconds of Unix time.
    pub asked_ms: i64,
    /// One slot per server.
    #[serde(rename = "seats")]
    pub slots: Vec<ServerSlot>,
    /// Whether the requester cancelled it.
    pub cancelled: bool,
}

/// One server's part in a window.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerSlot {
    /// The server's name.
    pub server: String,
    /// Its state.
    pub state: State,
    /// Planned start of the drain while it waits, actual start once it is admitted, in milliseconds
    /// of Unix time.
    pub start_ms: Option<i64>,
    /// The token of its actions; 0 before the first admission.
    pub token: u64,
    /// Whether its drain was confirmed.
    pub drained: bool,
    /// When its return or cancellation was confirmed, in milliseconds of Unix time.
    pub returned_ms: Option<i64>,
    /// The earliest process start that observations must show for it to count as returned.
    pub least_start: u64,
    /// Whether it has exceeded its length and overrun.
    pub late: bool,
    /// Since when its server is missing from the list, in milliseconds of Unix time; none if it is
    /// listed.
    pub unlisted_ms: Option<i64>,
    /// How often it was cancelled.
    pub called_back: u32,
    /// Why it was cancelled, or closed before its work was done, as text; empty otherwise.
    pub reason: String,
}

/// The state of a slot, or of a window as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepted, but without a time at the moment.
    Asked,
    /// It has a planned time.
    Booked,
    /// Admitted: debited, and assigned no new requests.
    Draining,
    /// No sidecar routes to it by an affinity entry; it may be taken.
    Clear,
    /// Taken out of service.
    Away,
    /// Returning to service after it was taken.
    Returning,
    /// Returning to service without having been taken.
    CalledBack,
    /// Finished.
    Closed,
}

impl State {
    /// Whether it is admitted: its server is debited whatever observations say.
    pub fn is_admitted(self) -> bool {
        matches!(
            self,
            State::Draining | State::Clear | State::Away | State::Returning | State::CalledBack
        )
    }

    /// Whether it waits for admission.
    pub fn is_waiting(self) -> bool {
        matches!(self, State::Asked | State::Booked)
    }
}

impl ServerSlot {
    /// A slot that waits for a time.
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
    pub fn is_closed(&self) -> bool {
        self.slots.iter().all(|slot| slot.state == State::Closed)
    }
}
