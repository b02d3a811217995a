//! Admission: when a server may be taken, and when an admitted one counts as back.

use crate::agreement::Agreement;
use crate::event::Health;
use crate::ledger::Ledger;
use crate::machine::Machine;
use crate::window::{Seat, State, Window};

/// The part of a window's time that no blackout may touch, in milliseconds.
pub(crate) fn hard_ms(agreement: &Agreement, window: &Window) -> i64 {
    match agreement.overrun_may_enter_blackout {
        true => window.request.length_ms,
        false => window.request.span_ms(),
    }
}

/// The end of that part for a seat that was granted, in milliseconds of Unix time.
pub(crate) fn hard_end(agreement: &Agreement, window: &Window, seat: &Seat) -> i64 {
    seat.start_ms
        .unwrap_or(0)
        .saturating_add(hard_ms(agreement, window))
}

impl Machine {
    /// Whether `[from, until)` touches a blackout, or a time of which blackouts are not known.
    pub(crate) fn blacked_out(&self, agreement: &Agreement, from_ms: i64, until_ms: i64) -> bool {
        if agreement.blackouts.is_empty() {
            return false;
        }
        let spans = &self.calendar.spans;
        let after = spans.partition_point(|span| span.until_ms <= from_ms);
        until_ms > self.calendar.until_ms
            || spans.get(after).is_some_and(|span| span.from_ms < until_ms)
    }

    /// Whether a known blackout begins before a seat's time is over that no blackout may touch, or is on.
    pub(crate) fn meets_blackout(
        &self,
        agreement: &Agreement,
        window: &Window,
        seat: &Seat,
    ) -> bool {
        let until_ms = hard_end(agreement, window, seat).max(self.at_ms.saturating_add(1));
        let after = self
            .calendar
            .spans
            .partition_point(|span| span.until_ms <= self.at_ms);
        self.calendar
            .spans
            .get(after)
            .is_some_and(|span| span.from_ms < until_ms)
    }

    /// Whether the limits that a server counts under hold; all of them where the list does not name it any more, as
    /// lists may drop what drains.
    pub(crate) fn holds_for(&self, ledger: &Ledger<'_>, server: &str) -> bool {
        let Some(known) = self.servers.get(server) else {
            return ledger.holds();
        };
        let touched: Vec<usize> = ledger.shape.of(known).collect();
        !ledger.crowded() && !ledger.broken().any(|number| touched.contains(&number))
    }

    /// Gives each grant whose time has come and that the capacity of this moment bears. Each is debited before the
    /// next is looked at, and before anybody may act on it.
    pub(crate) fn grant(&mut self, agreement: &Agreement) {
        let mut ready: Vec<(std::cmp::Reverse<i64>, i64, u64, Vec<usize>)> = Vec::new();
        for window in self.windows.values().filter(|w| !w.cancelled) {
            let due = |seat: &Seat| {
                seat.state == State::Booked && seat.start_ms.is_some_and(|t| t <= self.at_ms)
            };
            let seats: Vec<usize> = (0..window.seats.len())
                .filter(|i| due(&window.seats[*i]))
                .collect();
            let class = std::cmp::Reverse(self.class(agreement, window));
            let start = |i: &usize| window.seats[*i].start_ms.unwrap_or(0);
            if window.request.split {
                ready.extend(
                    seats
                        .into_iter()
                        .map(|i| (class, start(&i), window.id, vec![i])),
                );
            } else if let Some(first) = seats.first() {
                ready.push((class, start(first), window.id, seats));
            }
        }
        ready.sort();
        for (_, _, window, seats) in ready {
            if self.grantable(agreement, window, &seats) {
                for index in seats {
                    self.give(window, index);
                }
            } else {
                self.changed = true;
            }
        }
    }

    fn grantable(&self, agreement: &Agreement, id: u64, seats: &[usize]) -> bool {
        let Some(window) = self.windows.get(&id) else {
            return false;
        };
        let hard = hard_ms(agreement, window);
        if self.blacked_out(agreement, self.at_ms, self.at_ms.saturating_add(hard)) {
            return false;
        }
        let grants = self.grants();
        let mut ledger = self.ledger(agreement, self.at_ms);
        for index in seats {
            let server = window.seats[*index].server.as_str();
            let Some(known) = self.servers.get(server) else {
                return false;
            };
            let word = known.fresh(self.at_ms, agreement.evidence_bound_ms);
            if grants.contains_key(server) || word.is_none_or(|seen| seen.state == Health::Unknown)
            {
                return false;
            }
            if self.debits_grants() {
                ledger.debit(server, known, id);
            }
        }
        ledger.holds()
    }

    fn give(&mut self, id: u64, index: usize) {
        self.token += 1;
        let (token, at_ms) = (self.token, self.at_ms);
        let Some(seat) = self
            .windows
            .get_mut(&id)
            .and_then(|w| w.seats.get_mut(index))
        else {
            return;
        };
        seat.state = State::Draining;
        seat.start_ms = Some(at_ms);
        seat.token = token;
        seat.drained = false;
        seat.returned_ms = None;
        seat.late = false;
        seat.reason.clear();
        if let Some(known) = self.servers.get(&seat.server) {
            seat.least_start = known.started.max(known.seen.map_or(0, |seen| seen.started));
            self.turns.insert(known.zone.clone(), token);
        }
        self.changed = true;
    }

    /// Whether evidence says that a seat's server is back: seen serving and warm after its way back was confirmed,
    /// under a start of that return.
    pub(crate) fn is_back(&self, agreement: &Agreement, seat: &Seat) -> bool {
        let (Some(known), Some(returned_ms)) = (self.servers.get(&seat.server), seat.returned_ms)
        else {
            return false;
        };
        known
            .missing(self.at_ms, agreement.evidence_bound_ms)
            .is_none()
            && known
                .seen
                .is_some_and(|s| s.seen_ms >= returned_ms && s.started >= seat.least_start)
    }

    /// Puts a seat on its way back, under a token of its own, so that a late word of the way out is refused.
    pub(crate) fn send_back(&mut self, id: u64, index: usize, state: State, reason: &str) {
        self.token += 1;
        let token = self.token;
        let Some(seat) = self
            .windows
            .get_mut(&id)
            .and_then(|w| w.seats.get_mut(index))
        else {
            return;
        };
        seat.state = state;
        seat.token = token;
        seat.returned_ms = None;
        if state == State::CalledBack {
            seat.called_back = seat.called_back.saturating_add(1);
        }
        seat.reason = reason.into();
        self.changed = true;
    }
}
