//! Cancellation: which windows end early when a failure has used up the slack, and in which order.

use crate::capacity::DebitReason;
use crate::disruption_budget::DisruptionBudget;
use crate::machine::Machine;
use crate::window::State;

impl Machine {
    /// Calls back what drains and was not taken, one after another, until the limits would hold
    /// with what was called back: lowest class first; of those a server that drains before one that
    /// is clear; then the latest grant. Of a window that can't be split all go with the first.
    /// Whose return would help no broken limit, as it is known to be dead or counts under none,
    /// stays as it is; one that is not heard of is called, and not counted on.
    pub(crate) fn cancel_for_capacity(&mut self, budget: &DisruptionBudget) {
        let meets = |(id, index): &(u64, usize)| {
            let window = self.windows.get(id);
            window.is_some_and(|window| self.meets_blackout(budget, window, &window.slots[*index]))
        };
        let met: Vec<(u64, usize)> = self.not_taken(|_| true).into_iter().filter(meets).collect();
        for (id, index) in met {
            self.send_back(id, index, State::CalledBack, "a blackout is too near");
        }
        let mut calls: Vec<(u64, usize)> = Vec::new();
        let mut ledger = self.ledger(budget, self.at_ms);
        let serves = |name: &str| {
            let known = self.servers.get(name)?;
            known
                .missing(self.at_ms, budget.evidence_bound_ms)
                .is_none()
                .then_some(known)
        };
        // What is on its way back already counts as if it were there, if it serves.
        for window in self.windows.values() {
            for slot in window
                .slots
                .iter()
                .filter(|slot| slot.state == State::CalledBack && !slot.late)
            {
                if let Some(known) = serves(&slot.server) {
                    ledger.credit(&slot.server, known);
                }
            }
        }
        let mut candidates: Vec<(i64, State, std::cmp::Reverse<u64>, u64, usize)> = Vec::new();
        for (id, index) in self.not_taken(|_| true) {
            let Some(window) = self.windows.get(&id) else {
                continue;
            };
            let slot = &window.slots[index];
            let class = self.class(budget, window);
            candidates.push((class, slot.state, std::cmp::Reverse(slot.token), id, index));
        }
        candidates.sort();
        for (_, _, _, id, index) in candidates {
            let Some(window) = self
                .windows
                .get(&id)
                .filter(|_| !calls.contains(&(id, index)))
            else {
                continue;
            };
            let server = window.slots[index].server.as_str();
            // A list may drop what drains; nobody knows then which limits the server would help.
            let helps = self.servers.get(server).map_or(!ledger.holds(), |known| {
                let dead = known.missing(self.at_ms, budget.evidence_bound_ms)
                    == Some(DebitReason::Unhealthy);
                let touched: Vec<usize> = ledger.shape.of(known).collect();
                !dead
                    && (ledger.crowded() || ledger.broken().any(|number| touched.contains(&number)))
            });
            if !helps {
                continue;
            }
            for (other, slot) in window.slots.iter().enumerate() {
                let together = other == index || !window.request.split;
                if !together || !matches!(slot.state, State::Draining | State::Clear) {
                    continue;
                }
                calls.push((id, other));
                if let Some(known) = serves(&slot.server) {
                    ledger.credit(&slot.server, known);
                }
            }
        }
        for (id, index) in calls {
            self.send_back(id, index, State::CalledBack, "too little capacity was left");
        }
    }

    /// Slots that drain or are clear, of the windows that match.
    pub(crate) fn not_taken(
        &self,
        matches: impl Fn(&crate::window::Window) -> bool,
    ) -> Vec<(u64, usize)> {
        let windows = self.windows.values().filter(|window| matches(window));
        windows
            .flat_map(|window| {
                let slots = window.slots.iter().enumerate();
                let out = slots.filter(|(_, s)| matches!(s.state, State::Draining | State::Clear));
                out.map(|(index, _)| (window.id, index))
            })
            .collect()
    }
}
