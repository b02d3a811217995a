//! What follows from time and health observations alone, after each event.

use std::collections::BTreeSet;

use crate::disruption_budget::DisruptionBudget;
use crate::machine::Machine;
use crate::window::{ServerSlot, State, Window};

/// Closed windows that are kept for people and for repeated requests; the oldest go first.
const MAX_CLOSED: usize = 256;

impl Machine {
    /// Credits what is back, ends what is over, cancels what must not go on, plans anew what waits,
    /// and grants.
    pub(crate) fn advance(&mut self) {
        let Some(budget) = self.budget.clone() else {
            return;
        };
        self.settle(&budget);
        self.time(&budget);
        self.cancel_for_capacity(&budget);
        self.look(&budget);
        if self.changed {
            self.changed = false;
            self.replan(&budget);
        }
        self.admit(&budget);
        self.forget();
    }

    /// Closes slots whose server is back, and books again those that were cancelled.
    fn settle(&mut self, budget: &DisruptionBudget) {
        let mut back: Vec<(u64, usize)> = Vec::new();
        for window in self.windows.values() {
            for (index, slot) in window.slots.iter().enumerate() {
                let coming = matches!(slot.state, State::Returning | State::CalledBack);
                if coming && (self.is_back(budget, slot) || self.is_lost(budget, window, slot)) {
                    back.push((window.id, index));
                }
            }
        }
        for (id, index) in back {
            let Some(window) = self.windows.get_mut(&id) else {
                continue;
            };
            let cancelled = window.cancelled;
            let slot = &mut window.slots[index];
            let again = slot.state == State::CalledBack
                && !cancelled
                && self.servers.contains_key(&slot.server);
            if again {
                slot.state = State::Asked;
                slot.start_ms = None;
            } else {
                slot.state = State::Closed;
            }
            slot.late = false;
            self.changed = true;
        }
    }

    /// Whether a late server has not been listed for the time of a repair: nothing of it counts any
    /// more, and should it come back, then only by fresh observations.
    fn is_lost(&self, budget: &DisruptionBudget, window: &Window, slot: &ServerSlot) -> bool {
        let end = slot
            .start_ms
            .unwrap_or(0)
            .saturating_add(window.request.span_ms());
        let given_up = |since: i64| self.at_ms.saturating_sub(since.max(end)) > budget.repair_ms;
        slot.late && slot.unlisted_ms.is_some_and(given_up)
    }

    /// What has run out: the time of windows, of the wait for a clear, of a request that found no
    /// place.
    fn time(&mut self, budget: &DisruptionBudget) {
        let at_ms = self.at_ms;
        let (mut returns, mut calls) = (Vec::new(), Vec::new());
        for window in self.windows.values_mut() {
            let (length, span) = (window.request.length_ms, window.request.span_ms());
            let last_start = window.request.latest_ms.saturating_sub(span);
            for (index, slot) in window.slots.iter_mut().enumerate() {
                let start = slot.start_ms.unwrap_or(at_ms);
                if slot.state.is_admitted() && !slot.late && at_ms >= start.saturating_add(span) {
                    slot.late = true;
                    self.changed = true;
                }
                let drained_long = at_ms >= start.saturating_add(budget.clear_most_ms.min(length));
                match slot.state {
                    State::Asked | State::Booked if at_ms > last_start || window.cancelled => {
                        slot.state = State::Closed;
                        slot.start_ms = None;
                        if slot.reason.is_empty() {
                            let why = if window.cancelled {
                                "cancelled"
                            } else {
                                "found no time before its end"
                            };
                            slot.reason = why.into();
                        }
                        self.changed = true;
                    }
                    State::Away if at_ms >= start.saturating_add(length) => {
                        returns.push((window.id, index))
                    }
                    State::Draining | State::Clear if drained_long => {
                        calls.push((window.id, index))
                    }
                    _ => {}
                }
            }
        }
        for (id, index) in returns {
            self.send_back(id, index, State::Returning, "");
        }
        for (id, index) in calls {
            self.send_back(
                id,
                index,
                State::CalledBack,
                "was not clear and taken in time",
            );
        }
        for (id, index) in self.not_taken(|window| window.cancelled) {
            self.send_back(id, index, State::CalledBack, "cancelled");
        }
    }

    /// Notes whether other servers than before are missing.
    fn look(&mut self, budget: &DisruptionBudget) {
        let bound = budget.evidence_bound_ms;
        let down: BTreeSet<String> = self
            .servers
            .iter()
            .filter(|(_, known)| known.missing(self.at_ms, bound).is_some())
            .map(|(name, _)| name.clone())
            .collect();
        if down != self.down {
            self.down = down;
            self.changed = true;
        }
    }

    fn forget(&mut self) {
        let closed: Vec<u64> = self
            .windows
            .values()
            .filter(|w| w.closed())
            .map(|w| w.id)
            .collect();
        for id in closed.iter().take(closed.len().saturating_sub(MAX_CLOSED)) {
            self.windows.remove(id);
        }
    }
}
