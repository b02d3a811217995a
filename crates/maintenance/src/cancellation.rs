//! Cancellation: which windows end early, and in which order, if a failure has left too little
//! capacity.

use crate::capacity::DebitReason;
use crate::disruption_budget::DisruptionBudget;
use crate::machine::Machine;
use crate::window::State;

impl Machine {
    /// Cancels draining servers that were not yet taken, one after another, until the limits would
    /// hold once they are back: lowest effective priority first; among those, draining servers
    /// before clear ones; then the latest admission. A window that can't be split is cancelled as a
    /// whole. A server whose return would help no violated limit, because it is known to be
    /// unhealthy or counts toward none, is left alone; one without recent observations is
    /// cancelled, but its capacity is not counted on.
    pub(crate) fn cancel_for_capacity(&mut self, budget: &DisruptionBudget) {
        let touches_blackout = |(id, index): &(u64, usize)| {
            let window = self.windows.get(id);
            window.is_some_and(|window| self.meets_blackout(budget, window, &window.slots[*index]))
        };
        let near_blackout: Vec<(u64, usize)> = self
            .draining_slots(|_| true)
            .into_iter()
            .filter(touches_blackout)
            .collect();
        for (id, index) in near_blackout {
            self.send_back(id, index, State::CalledBack, "a blackout is too near");
        }
        let mut cancelled: Vec<(u64, usize)> = Vec::new();
        let mut ledger = self.capacity_ledger(budget, self.at_ms);
        let serving = |name: &str| {
            let server_state = self.servers.get(name)?;
            server_state
                .missing(self.at_ms, budget.evidence_bound_ms)
                .is_none()
                .then_some(server_state)
        };
        // A server that is already being cancelled counts as in service if it is healthy.
        for window in self.windows.values() {
            for slot in window
                .slots
                .iter()
                .filter(|slot| slot.state == State::CalledBack && !slot.late)
            {
                if let Some(server_state) = serving(&slot.server) {
                    ledger.credit(&slot.server, server_state);
                }
            }
        }
        let mut candidates: Vec<(i64, State, std::cmp::Reverse<u64>, u64, usize)> = Vec::new();
        for (id, index) in self.draining_slots(|_| true) {
            let Some(window) = self.windows.get(&id) else {
                continue;
            };
            let slot = &window.slots[index];
            let priority = self.effective_priority(budget, window);
            candidates.push((
                priority,
                slot.state,
                std::cmp::Reverse(slot.token),
                id,
                index,
            ));
        }
        candidates.sort();
        for (_, _, _, id, index) in candidates {
            let Some(window) = self
                .windows
                .get(&id)
                .filter(|_| !cancelled.contains(&(id, index)))
            else {
                continue;
            };
            let server = window.slots[index].server.as_str();
            // A list may omit a draining server; which limits it would help is then unknown.
            let would_help = self
                .servers
                .get(server)
                .map_or(!ledger.holds(), |server_state| {
                    let is_unhealthy = server_state.missing(self.at_ms, budget.evidence_bound_ms)
                        == Some(DebitReason::Unhealthy);
                    let limits: Vec<usize> = ledger.limits.limits_of(server_state).collect();
                    !is_unhealthy
                        && (ledger.too_many_away()
                            || ledger.violated().any(|number| limits.contains(&number)))
                });
            if !would_help {
                continue;
            }
            for (other, slot) in window.slots.iter().enumerate() {
                let is_cancelled_too = other == index || !window.request.split;
                if !is_cancelled_too || !matches!(slot.state, State::Draining | State::Clear) {
                    continue;
                }
                cancelled.push((id, other));
                if let Some(server_state) = serving(&slot.server) {
                    ledger.credit(&slot.server, server_state);
                }
            }
        }
        for (id, index) in cancelled {
            self.send_back(id, index, State::CalledBack, "too little capacity was left");
        }
    }

    /// The draining and clear slots of the windows that match.
    pub(crate) fn draining_slots(
        &self,
        matches: impl Fn(&crate::window::Window) -> bool,
    ) -> Vec<(u64, usize)> {
        let windows = self.windows.values().filter(|window| matches(window));
        windows
            .flat_map(|window| {
                let slots = window.slots.iter().enumerate();
                let draining =
                    slots.filter(|(_, s)| matches!(s.state, State::Draining | State::Clear));
                draining.map(|(index, _)| (window.id, index))
            })
            .collect()
    }
}
