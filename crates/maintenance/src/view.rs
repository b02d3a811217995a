//! Windows and capacity as people see them.

use serde::{Deserialize, Serialize};

use crate::machine::Machine;
use crate::plan::end_of;
use crate::window::{State, Window};

/// A window as people see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowView {
    /// Its number.
    pub window: u64,
    /// The asker's name for it.
    pub name: String,
    /// The state of its seat that has the farthest to go.
    pub state: State,
    /// Whether a seat of it is late.
    pub late: bool,
    /// Whether the asker took it back.
    pub cancelled: bool,
    /// Its seats.
    pub seats: Vec<SeatView>,
}

/// A seat as people see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatView {
    /// The server's name.
    pub server: String,
    /// Where it is.
    pub state: State,
    /// Whether it is over its length and overrun.
    pub late: bool,
    /// Planned or real start of the drain, in milliseconds of Unix time.
    pub start_ms: Option<i64>,
    /// End with overrun, in milliseconds of Unix time.
    pub end_ms: Option<i64>,
    /// The token of its acts; 0 before the first grant.
    pub token: u64,
    /// How often it was called back.
    pub called_back: u32,
    /// Why it was called back or closed before its work; empty if neither.
    pub reason: String,
}

/// Capacity at a moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityView {
    /// For all, then by each zone and group that the agreement names.
    pub rooms: Vec<Room>,
    /// Servers away, by grant, dead or unheard of.
    pub away: u32,
    /// Most that may be.
    pub most_away: u32,
    /// Whether every limit holds.
    pub holds: bool,
    /// What is debited, and why.
    pub debits: Vec<Debit>,
}

/// Capacity under one limit, in weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// `all`, `zone NAME` or `group NAME`.
    pub name: String,
    /// What the list names.
    pub listed: u64,
    /// What is there.
    pub present: u64,
    /// What must stay.
    pub keep: u64,
}

/// One server that does not count as there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Debit {
    /// The server's name.
    pub server: String,
    /// Its weight.
    pub weight: u32,
    /// Why.
    pub why: Why,
    /// The window that has it, if one does.
    pub window: Option<u64>,
}

/// Why a server is debited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// A grant is open for it.
    Granted,
    /// A grant is open for it, and it is over its time.
    Late,
    /// Evidence says that it doesn't serve.
    Sick,
    /// There is no evidence, or it is too old, or of too few members.
    Unheard,
    /// It serves and was not yet seen warm.
    Cold,
}

impl Machine {
    /// All windows by number; closed ones as long as they are kept.
    pub fn windows(&self) -> Vec<WindowView> {
        self.windows.values().map(WindowView::new).collect()
    }

    /// What is there at a moment, and what is debited and why; none before there is an agreement.
    pub fn capacity(&self, now_ms: i64) -> Option<CapacityView> {
        let agreement = self.agreement.as_ref()?;
        Some(self.ledger(agreement, now_ms.max(self.at_ms)).view())
    }

    /// The servers of the last list, in the order of their names.
    pub fn servers(&self) -> Vec<crate::Server> {
        let server = |(name, known): (&String, &crate::servers::Known)| crate::Server {
            name: name.clone(),
            zone: known.zone.clone(),
            group: known.group.clone(),
            weight: known.weight,
            started: known.started,
        };
        self.servers.iter().map(server).collect()
    }

    /// The agreement that is in force.
    pub fn agreement(&self) -> Option<&crate::Agreement> {
        self.agreement.as_ref()
    }

    /// The last token that was given.
    pub fn last_token(&self) -> u64 {
        self.token
    }
}

impl WindowView {
    fn new(window: &Window) -> Self {
        let seats: Vec<SeatView> = window
            .seats
            .iter()
            .map(|seat| SeatView {
                server: seat.server.clone(),
                state: seat.state,
                late: seat.late,
                start_ms: seat.start_ms,
                end_ms: end_of(window, seat),
                token: seat.token,
                called_back: seat.called_back,
                reason: seat.reason.clone(),
            })
            .collect();
        let state = seats
            .iter()
            .map(|seat| seat.state)
            .min()
            .unwrap_or(State::Closed);
        WindowView {
            window: window.id,
            name: window.request.name.clone(),
            state,
            late: seats.iter().any(|seat| seat.late),
            cancelled: window.cancelled,
            seats,
        }
    }
}
