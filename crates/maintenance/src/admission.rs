//! Admission: when a server may be drained, and when an admitted one counts as in service again.

use crate::disruption_budget::DisruptionBudget;
use crate::event::Health;
use crate::ledger::CapacityLedger;
use crate::machine::Machine;
use crate::window::{ServerSlot, State, Window};

/// The part of a window that no blackout may overlap, in milliseconds.
pub(crate) fn blackout_free_ms(budget: &DisruptionBudget, window: &Window) -> i64 {
    match budget.overrun_may_enter_blackout {
        true => window.request.length_ms,
        false => window.request.span_ms(),
    }
}

/// The end of that part for an admitted slot, in milliseconds of Unix time.
pub(crate) fn blackout_free_end_ms(
    budget: &DisruptionBudget,
    window: &Window,
    slot: &ServerSlot,
) -> i64 {
    slot.start_ms
        .unwrap_or(0)
        .saturating_add(blackout_free_ms(budget, window))
}

impl Machine {
    /// Whether `[from_ms, until_ms)` overlaps a blackout, or a time for which the blackouts are not
    /// known.
    pub(crate) fn touches_blackout(
        &self,
        budget: &DisruptionBudget,
        from_ms: i64,
        until_ms: i64,
    ) -> bool {
        if budget.blackouts.is_empty() {
            return false;
        }
        let spans = &self.calendar.spans;
        let next = spans.partition_point(|span| span.until_ms <= from_ms);
        until_ms > self.calendar.until_ms
            || spans.get(next).is_some_and(|span| span.from_ms < until_ms)
    }

    /// Whether a known blackout is in progress, or begins before the end of the part of a slot's
    /// time that no blackout may overlap.
    pub(crate) fn meets_blackout(
        &self,
        budget: &DisruptionBudget,
        window: &Window,
        slot: &ServerSlot,
    ) -> bool {
        let until_ms = blackout_free_end_ms(budget, window, slot).max(self.at_ms.saturating_add(1));
        let next = self
            .calendar
            .spans
            .partition_point(|span| span.until_ms <= self.at_ms);
        self.calendar
            .spans
            .get(next)
            .is_some_and(|span| span.from_ms < until_ms)
    }

    /// Whether the limits that a server counts toward hold; all limits if the list no longer names
    /// the server, as lists may omit draining servers.
    pub(crate) fn limits_hold_for(&self, ledger: &CapacityLedger<'_>, server: &str) -> bool {
        let Some(server_state) = self.servers.get(server) else {
            return ledger.holds();
        };
        let touched: Vec<usize> = ledger.limits.limits_of(server_state).collect();
        !ledger.too_many_away() && !ledger.violated().any(|number| touched.contains(&number))
    }

    /// Admits each booked slot whose time has come and that the current capacity permits. Each is
    /// debited before the next is considered, and before any action on it.
    pub(crate) fn admit(&mut self, budget: &DisruptionBudget) {
        let mut ready: Vec<(std::cmp::Reverse<i64>, i64, u64, Vec<usize>)> = Vec::new();
        for window in self.windows.values().filter(|w| !w.cancelled) {
            let due = |slot: &ServerSlot| {
                slot.state == State::Booked && slot.start_ms.is_some_and(|t| t <= self.at_ms)
            };
            let slots: Vec<usize> = (0..window.slots.len())
                .filter(|i| due(&window.slots[*i]))
                .collect();
            let priority = std::cmp::Reverse(self.effective_priority(budget, window));
            let start_ms = |i: &usize| window.slots[*i].start_ms.unwrap_or(0);
            if window.request.split {
                ready.extend(
                    slots
                        .into_iter()
                        .map(|i| (priority, start_ms(&i), window.id, vec![i])),
                );
            } else if let Some(first) = slots.first() {
                ready.push((priority, start_ms(first), window.id, slots));
            }
        }
        ready.sort();
        for (_, _, window, slots) in ready {
            if self.can_admit(budget, window, &slots) {
                for index in slots {
                    self.admit_slot(window, index);
                }
            } else {
                self.changed = true;
            }
        }
    }

    fn can_admit(&self, budget: &DisruptionBudget, id: u64, slots: &[usize]) -> bool {
        let Some(window) = self.windows.get(&id) else {
            return false;
        };
        let blackout_free = blackout_free_ms(budget, window);
        if self.touches_blackout(budget, self.at_ms, self.at_ms.saturating_add(blackout_free)) {
            return false;
        }
        let admissions = self.admissions();
        let mut ledger = self.capacity_ledger(budget, self.at_ms);
        for index in slots {
            let server = window.slots[*index].server.as_str();
            let Some(server_state) = self.servers.get(server) else {
                return false;
            };
            let observation = server_state.fresh(self.at_ms, budget.evidence_bound_ms);
            if admissions.contains_key(server)
                || observation.is_none_or(|seen| seen.state == Health::Unknown)
            {
                return false;
            }
            if self.debits_admissions() {
                ledger.debit(server, server_state, id);
            }
        }
        ledger.holds()
    }

    fn admit_slot(&mut self, id: u64, index: usize) {
        self.token += 1;
        let (token, at_ms) = (self.token, self.at_ms);
        let Some(slot) = self
            .windows
            .get_mut(&id)
            .and_then(|w| w.slots.get_mut(index))
        else {
            return;
        };
        slot.state = State::Draining;
        slot.start_ms = Some(at_ms);
        slot.token = token;
        slot.drained = false;
        slot.returned_ms = None;
        slot.late = false;
        slot.reason.clear();
        if let Some(server_state) = self.servers.get(&slot.server) {
            slot.least_start = server_state
                .started
                .max(server_state.seen.map_or(0, |seen| seen.started));
            self.turns.insert(server_state.zone.clone(), token);
        }
        self.changed = true;
    }

    /// Whether a slot's server is in service again: observed healthy and warm after its return was
    /// confirmed, with a start time of that return.
    pub(crate) fn is_back(&self, budget: &DisruptionBudget, slot: &ServerSlot) -> bool {
        let (Some(server_state), Some(returned_ms)) =
            (self.servers.get(&slot.server), slot.returned_ms)
        else {
            return false;
        };
        server_state
            .missing(self.at_ms, budget.evidence_bound_ms)
            .is_none()
            && server_state
                .seen
                .is_some_and(|s| s.seen_ms >= returned_ms && s.started >= slot.least_start)
    }

    /// Starts a slot's return or cancellation under a new token, so that delayed answers to its
    /// drain or take are rejected.
    pub(crate) fn send_back(&mut self, id: u64, index: usize, state: State, reason: &str) {
        self.token += 1;
        let token = self.token;
        let Some(slot) = self
            .windows
            .get_mut(&id)
            .and_then(|w| w.slots.get_mut(index))
        else {
            return;
        };
        slot.state = state;
        slot.token = token;
        slot.returned_ms = None;
        if state == State::CalledBack {
            slot.called_back = slot.called_back.saturating_add(1);
        }
        slot.reason = reason.into();
        self.changed = true;
    }
}
