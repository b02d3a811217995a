//! The state of one server: its entry in the list, and its health as last observed.

use serde::{Deserialize, Serialize};

use crate::capacity::DebitReason;
use crate::event::Health;

/// A listed server, and its last observation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct ServerState {
    pub(crate) zone: String,
    pub(crate) group: String,
    pub(crate) weight: u32,
    pub(crate) started: u64,
    pub(crate) seen: Option<LastObservation>,
    /// The start under which it was last observed healthy and warm.
    pub(crate) warm: Option<u64>,
}

/// An observation by enough members, with the time at which it was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct LastObservation {
    pub(crate) state: Health,
    pub(crate) started: u64,
    pub(crate) seen_ms: i64,
}

impl ServerState {
    /// The observation, if it is recent and not of an earlier process than the listed one.
    pub(crate) fn fresh(&self, now_ms: i64, bound_ms: i64) -> Option<LastObservation> {
        self.seen.filter(|seen| {
            now_ms.saturating_sub(seen.seen_ms) < bound_ms && seen.started >= self.started
        })
    }

    /// Why observations do not show it in service; none if they do.
    pub(crate) fn missing(&self, now_ms: i64, bound_ms: i64) -> Option<DebitReason> {
        match self.fresh(now_ms, bound_ms) {
            None => Some(DebitReason::Unheard),
            Some(seen) => match seen.state {
                Health::Unknown => Some(DebitReason::Unheard),
                Health::Unhealthy => Some(DebitReason::Unhealthy),
                Health::Healthy if self.warm != Some(seen.started) => Some(DebitReason::Cold),
                Health::Healthy => None,
            },
        }
    }
}
