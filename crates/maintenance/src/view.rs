//! Windows and capacity as presented to operators.

use serde::{Deserialize, Serialize};

use crate::capacity::CapacityView;
use crate::machine::Machine;
use crate::plan::slot_end_ms;
use crate::window::{State, Window};

/// A window as presented to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowView {
    /// Its number.
    pub window: u64,
    /// The requester's name for it.
    pub name: String,
    /// The state of its slot that is least advanced.
    pub state: State,
    /// Whether a slot of it is late.
    pub late: bool,
    /// Whether the requester cancelled it.
    pub cancelled: bool,
    /// Its slots.
    #[serde(rename = "seats")]
    pub slots: Vec<ServerSlotView>,
}

/// A slot as presented to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSlotView {
    /// The server's name.
    pub server: String,
    /// Its state.
    pub state: State,
    /// Whether it has exceeded its length and overrun.
    pub late: bool,
    /// Planned or actual start of the drain, in milliseconds of Unix time.
    pub start_ms: Option<i64>,
    /// End with overrun, in milliseconds of Unix time.
    pub end_ms: Option<i64>,
    /// The token of its actions; 0 before the first admission.
    pub token: u64,
    /// How often it was cancelled.
    pub called_back: u32,
    /// Why it was cancelled, or closed before its work was done; empty otherwise.
    pub reason: String,
}

impl Machine {
    /// All windows by number; closed ones as long as they are kept.
    pub fn windows(&self) -> Vec<WindowView> {
        self.windows.values().map(WindowView::new).collect()
    }

    /// The capacity at a time, with the debited servers and the reasons; none before a disruption
    /// budget is set.
    pub fn capacity(&self, now_ms: i64) -> Option<CapacityView> {
        let budget = self.budget.as_ref()?;
        Some(self.capacity_ledger(budget, now_ms.max(self.at_ms)).view())
    }

    /// The servers of the last list, in the order of their names.
    pub fn servers(&self) -> Vec<crate::Server> {
        let server = |(name, state): (&String, &crate::known_server::ServerState)| crate::Server {
            name: name.clone(),
            zone: state.zone.clone(),
            group: state.group.clone(),
            weight: state.weight,
            started: state.started,
        };
        self.servers.iter().map(server).collect()
    }

    /// The current disruption budget.
    pub fn budget(&self) -> Option<&crate::DisruptionBudget> {
        self.budget.as_ref()
    }

    /// The last token that was issued.
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
                end_ms: slot_end_ms(window, slot),
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
