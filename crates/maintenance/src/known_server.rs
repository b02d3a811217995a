//! What is known of one server: its place in the list, and its health as last observed.

use serde::{Deserialize, Serialize};

use crate::capacity::DebitReason;
use crate::event::Health;

/// A listed server, and the last observation of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Known {
    pub(crate) zone: String,
    pub(crate) group: String,
    pub(crate) weight: u32,
    pub(crate) started: u64,
    pub(crate) seen: Option<Seen>,
    /// The start under which it was seen well and warm last.
    pub(crate) warm: Option<u64>,
}

/// An observation by enough members, by the time that it was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Seen {
    pub(crate) state: Health,
    pub(crate) started: u64,
    pub(crate) seen_ms: i64,
}

impl Known {
    /// The observation, if it is young enough and not of a process before the listed one.
    pub(crate) fn fresh(&self, now_ms: i64, bound_ms: i64) -> Option<Seen> {
        self.seen.filter(|seen| {
            now_ms.saturating_sub(seen.seen_ms) < bound_ms && seen.started >= self.started
        })
    }

    /// Why it does not count as there by observations; none if it does.
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
