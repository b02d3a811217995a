//! Effects of time and health observations alone, applied after each event.

use std::collections::BTreeSet;

use crate::disruption_budget::DisruptionBudget;
use crate::machine::Machine;
use crate::window::{ServerSlot, State, Window};

/// Closed windows that are kept for display and repeated requests; the oldest are removed first.
const MAX_CLOSED_WINDOWS: usize = 256;

impl Machine {
    /// Credits returned servers, ends expired windows, cancels what must not continue, replans what
    /// waits, and admits what is due.
    pub(crate) fn advance(&mut self) {
        let Some(budget) = self.budget.clone() else {
            return;
        };
        self.close_returned_slots(&budget);
        self.expire_by_time(&budget);
        self.cancel_for_capacity(&budget);
        self.update_missing_servers(&budget);
        if self.changed {
            self.changed = false;
            self.replan(&budget);
        }
        self.admit(&budget);
        self.remove_old_windows();
    }

    /// Closes slots whose server is in service again; those that were cancelled are booked again.
    fn close_returned_slots(&mut self, budget: &DisruptionBudget) {
        let mut returned: Vec<(u64, usize)> = Vec::new();
        for window in self.windows.values() {
            for (index, slot) in window.slots.iter().enumerate() {
                let is_returning = matches!(slot.state, State::Returning | State::CalledBack);
                if is_returning
                    && (self.is_back(budget, slot) || self.is_lost(budget, window, slot))
                {
                    returned.push((window.id, index));
                }
            }
        }
        for (id, index) in returned {
            let Some(window) = self.windows.get_mut(&id) else {
                continue;
            };
            let cancelled = window.cancelled;
            let slot = &mut window.slots[index];
            let rebook = slot.state == State::CalledBack
                && !cancelled
                && self.servers.contains_key(&slot.server);
            if rebook {
                slot.state = State::Asked;
                slot.start_ms = None;
            } else {
                slot.state = State::Closed;
            }
            slot.late = false;
            self.changed = true;
        }
    }

    /// Whether a late server has been missing from the list for the whole repair time: it no longer
    /// counts, and counts again only after new observations.
    fn is_lost(&self, budget: &DisruptionBudget, window: &Window, slot: &ServerSlot) -> bool {
        let end = slot
            .start_ms
            .unwrap_or(0)
            .saturating_add(window.request.span_ms());
        let repair_time_passed =
            |since: i64| self.at_ms.saturating_sub(since.max(end)) > budget.repair_ms;
        slot.late && slot.unlisted_ms.is_some_and(repair_time_passed)
    }

    /// Applies the expiry of windows, of the wait for a clear, and of requests that found no time.
    fn expire_by_time(&mut self, budget: &DisruptionBudget) {
        let at_ms = self.at_ms;
        let (mut returns, mut cancellations) = (Vec::new(), Vec::new());
        for window in self.windows.values_mut() {
            let (length, span) = (window.request.length_ms, window.request.span_ms());
            let last_start = window.request.latest_ms.saturating_sub(span);
            for (index, slot) in window.slots.iter_mut().enumerate() {
                let start = slot.start_ms.unwrap_or(at_ms);
                if slot.state.is_admitted() && !slot.late && at_ms >= start.saturating_add(span) {
                    slot.late = true;
                    self.changed = true;
                }
                let drain_timed_out =
                    at_ms >= start.saturating_add(budget.clear_most_ms.min(length));
                match slot.state {
                    State::Asked | State::Booked if at_ms > last_start || window.cancelled => {
                        slot.state = State::Closed;
                        slot.start_ms = None;
                        if slot.reason.is_empty() {
                            let reason = if window.cancelled {
                                "cancelled"
                            } else {
                                "found no time before its end"
                            };
                            slot.reason = reason.into();
                        }
                        self.changed = true;
                    }
                    State::Away if at_ms >= start.saturating_add(length) => {
                        returns.push((window.id, index))
                    }
                    State::Draining | State::Clear if drain_timed_out => {
                        cancellations.push((window.id, index))
                    }
                    _ => {}
                }
            }
        }
        for (id, index) in returns {
            self.send_back(id, index, State::Returning, "");
        }
        for (id, index) in cancellations {
            self.send_back(
                id,
                index,
                State::CalledBack,
                "was not clear and taken in time",
            );
        }
        for (id, index) in self.draining_slots(|window| window.cancelled) {
            self.send_back(id, index, State::CalledBack, "cancelled");
        }
    }

    /// Records whether the set of missing servers has changed.
    fn update_missing_servers(&mut self, budget: &DisruptionBudget) {
        let bound = budget.evidence_bound_ms;
        let missing: BTreeSet<String> = self
            .servers
            .iter()
            .filter(|(_, known)| known.missing(self.at_ms, bound).is_some())
            .map(|(name, _)| name.clone())
            .collect();
        if missing != self.down {
            self.down = missing;
            self.changed = true;
        }
    }

    fn remove_old_windows(&mut self) {
        let closed: Vec<u64> = self
            .windows
            .values()
            .filter(|w| w.is_closed())
            .map(|w| w.id)
            .collect();
        for id in closed
            .iter()
            .take(closed.len().saturating_sub(MAX_CLOSED_WINDOWS))
        {
            self.windows.remove(id);
        }
    }
}
