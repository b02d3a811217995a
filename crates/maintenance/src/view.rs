//! Windows and capacity as people see them.

use serde::{Deserialize, Serialize};

use crate::capacity::CapacityView;
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
    /// The state of its slot that has the farthest to go.
    pub state: State,
    /// Whether a slot of it is late.
    pub late: bool,
    /// Whether the asker took it back.
    pub cancelled: bool,
    /// Its slots.
    #[serde(rename = "seats")]
    pub slots: Vec<ServerSlotView>,
}

/// A slot as people see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSlotView {
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
    /// How often it was cancelled.
    pub called_back: u32,
    /// Why it was cancelled or closed before its work; empty if neither.
    pub reason: String,
}

impl Machine {
    /// All windows by number; closed ones as long as they are kept.
    pub fn windows(&self) -> Vec<WindowView> {
        self.windows.values().map(WindowView::new).collect()
    }

    /// What is there at a moment, and what is debited and why; none before there is a disruption
    /// budget.
    pub fn capacity(&self, now_ms: i64) -> Option<CapacityView> {
        let budget = self.budget.as_ref()?;
        Some(self.ledger(budget, now_ms.max(self.at_ms)).view())
    }

    /// The servers of the last list, in the order of their names.
    pub fn servers(&self) -> Vec<crate::Server> {
        let server = |(name, known): (&String, &crate::known_server::Known)| crate::Server {
            name: name.clone(),
            zone: known.zone.clone(),
            group: known.group.clone(),
            weight: known.weight,
            started: known.started,
        };
        self.servers.iter().map(server).collect()
    }

    /// The disruption budget that is in force.
    pub fn budget(&self) -> Option<&crate::DisruptionBudget> {
        self.budget.as_ref()
    }

    /// The last token that was given.
    pub fn last_token(&self) -> u64 {
        self.token
    }
}

impl WindowView {
    fn new(window: &Window) -> Self {
        let slots: Vec<ServerSlotView> = window
            .slots
            .iter()
            .map(|slot| ServerSlotView {
                server: slot.server.clone(),
                state: slot.state,
                late: slot.late,
                start_ms: slot.start_ms,
                end_ms: end_of(window, slot),
                token: slot.token,
                called_back: slot.called_back,
                reason: slot.reason.clone(),
            })
            .collect();
        let state = slots
            .iter()
            .map(|slot| slot.state)
            .min()
            .unwrap_or(State::Closed);
        WindowView {
            window: window.id,
            name: window.request.name.clone(),
            state,
            late: slots.iter().any(|slot| slot.late),
            cancelled: window.cancelled,
            slots,
        }
    }
}
