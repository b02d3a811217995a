//! Admission: when a server may be taken, and when an admitted one counts as back.

use crate::disruption_budget::DisruptionBudget;
use crate::event::Health;
use crate::ledger::Ledger;
use crate::machine::Machine;
use crate::window::{ServerSlot, State, Window};

/// The part of a window's time that no blackout may touch, in milliseconds.
pub(crate) fn hard_ms(budget: &DisruptionBudget, window: &Window) -> i64 {
    match budget.overrun_may_enter_blackout {
        true => window.request.length_ms,
        false => window.request.span_ms(),
    }
}

/// The end of that part for a slot that was granted, in milliseconds of Unix time.
pub(crate) fn hard_end(budget: &DisruptionBudget, window: &Window, slot: &ServerSlot) -> i64 {
    slot.start_ms
        .unwrap_or(0)
        .saturating_add(hard_ms(budget, window))
}

impl Machine {
    /// Whether `[from, until)` touches a blackout, or a time of which blackouts are not known.
    pub(crate) fn blacked_out(
        &self,
        budget: &DisruptionBudget,
        from_ms: i64,
        until_ms: i64,
    ) -> bool {
        if budget.blackouts.is_empty() {
            return false;
        }
        let spans = &self.calendar.spans;
        let after = spans.partition_point(|span| span.until_ms <= from_ms);
        until_ms > self.calendar.until_ms
            || spans.get(after).is_some_and(|span| span.from_ms < until_ms)
    }

    /// Whether a known blackout begins before a slot's time is over that no blackout may touch, or
    /// is on.
    pub(crate) fn meets_blackout(
        &self,
        budget: &DisruptionBudget,
        window: &Window,
        slot: &ServerSlot,
    ) -> bool {
        let until_ms = hard_end(budget, window, slot).max(self.at_ms.saturating_add(1));
        let after = self
            .calendar
            .spans
            .partition_point(|span| span.until_ms <= self.at_ms);
        self.calendar
            .spans
            .get(after)
            .is_some_and(|span| span.from_ms < until_ms)
    }

    /// Whether the limits that a server counts under hold; all of them where the list does not name
    /// it any more, as lists may drop what drains.
    pub(crate) fn holds_for(&self, ledger: &Ledger<'_>, server: &str) -> bool {
        let Some(known) = self.servers.get(server) else {
            return ledger.holds();
        };
        let touched: Vec<usize> = ledger.shape.of(known).collect();
        !ledger.crowded() && !ledger.broken().any(|number| touched.contains(&number))
    }

    /// Gives each grant whose time has come and that the capacity of this moment bears. Each is
    /// debited before the next is looked at, and before anybody may act on it.
    pub(crate) fn admit(&mut self, budget: &DisruptionBudget) {
        let mut ready: Vec<(std::cmp::Reverse<i64>, i64, u64, Vec<usize>)> = Vec::new();
        for window in self.windows.values().filter(|w| !w.cancelled) {
            let due = |slot: &ServerSlot| {
                slot.state == State::Booked && slot.start_ms.is_some_and(|t| t <= self.at_ms)
            };
            let slots: Vec<usize> = (0..window.slots.len())
                .filter(|i| due(&window.slots[*i]))
                .collect();
            let class = std::cmp::Reverse(self.class(budget, window));
            let start = |i: &usize| window.slots[*i].start_ms.unwrap_or(0);
            if window.request.split {
                ready.extend(
                    slots
                        .into_iter()
                        .map(|i| (class, start(&i), window.id, vec![i])),
                );
            } else if let Some(first) = slots.first() {
                ready.push((class, start(first), window.id, slots));
            }
        }
        ready.sort();
        for (_, _, window, slots) in ready {
            if self.grantable(budget, window, &slots) {
                for index in slots {
                    self.give(window, index);
                }
            } else {
                self.changed = true;
            }
        }
    }

    fn grantable(&self, budget: &DisruptionBudget, id: u64, slots: &[usize]) -> bool {
        let Some(window) = self.windows.get(&id) else {
            return false;
        };
        let hard = hard_ms(budget, window);
        if self.blacked_out(budget, self.at_ms, self.at_ms.saturating_add(hard)) {
            return false;
        }
        let admissions = self.admissions();
        let mut ledger = self.ledger(budget, self.at_ms);
        for index in slots {
            let server = window.slots[*index].server.as_str();
            let Some(known) = self.servers.get(server) else {
                return false;
            };
            let observation = known.fresh(self.at_ms, budget.evidence_bound_ms);
            if admissions.contains_key(server)
                || observation.is_none_or(|seen| seen.state == Health::Unknown)
            {
                return false;
            }
            if self.debits_admissions() {
                ledger.debit(server, known, id);
            }
        }
        ledger.holds()
    }

    fn give(&mut self, id: u64, index: usize) {
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
        if let Some(known) = self.servers.get(&slot.server) {
            slot.least_start = known.started.max(known.seen.map_or(0, |seen| seen.started));
            self.turns.insert(known.zone.clone(), token);
        }
        self.changed = true;
    }

    /// Whether observations say that a slot's server is back: seen serving and warm after its way
    /// back was confirmed, under a start of that return.
    pub(crate) fn is_back(&self, budget: &DisruptionBudget, slot: &ServerSlot) -> bool {
        let (Some(known), Some(returned_ms)) = (self.servers.get(&slot.server), slot.returned_ms)
        else {
            return false;
        };
        known
            .missing(self.at_ms, budget.evidence_bound_ms)
            .is_none()
            && known
                .seen
                .is_some_and(|s| s.seen_ms >= returned_ms && s.started >= slot.least_start)
    }

    /// Puts a slot on its way back, under a token of its own, so that a late answer of the way out
    /// is refused.
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
