//! What follows from time and health observations alone, after each event.

use std::collections::BTreeSet;

use crate::agreement::Agreement;
use crate::machine::Machine;
use crate::window::{Seat, State, Window};

/// Closed windows that are kept for people and for repeated requests; the oldest go first.
const MOST_CLOSED: usize = 256;

impl Machine {
    /// Credits what is back, ends what is over, calls back what must not go on, plans anew what waits, and grants.
    pub(crate) fn advance(&mut self) {
        let Some(agreement) = self.agreement.clone() else {
            return;
        };
        self.settle(&agreement);
        self.time(&agreement);
        self.call_back(&agreement);
        self.look(&agreement);
        if self.changed {
            self.changed = false;
            self.replan(&agreement);
        }
        self.grant(&agreement);
        self.forget();
    }

    /// Closes seats whose server is back, and books again those that were called back.
    fn settle(&mut self, agreement: &Agreement) {
        let mut back: Vec<(u64, usize)> = Vec::new();
        for window in self.windows.values() {
            for (index, seat) in window.seats.iter().enumerate() {
                let coming = matches!(seat.state, State::Returning | State::CalledBack);
                if coming
                    && (self.is_back(agreement, seat) || self.is_lost(agreement, window, seat))
                {
                    back.push((window.id, index));
                }
            }
        }
        for (id, index) in back {
            let Some(window) = self.windows.get_mut(&id) else {
                continue;
            };
            let cancelled = window.cancelled;
            let seat = &mut window.seats[index];
            let again = seat.state == State::CalledBack
                && !cancelled
                && self.servers.contains_key(&seat.server);
            if again {
                seat.state = State::Asked;
                seat.start_ms = None;
            } else {
                seat.state = State::Closed;
            }
            seat.late = false;
            self.changed = true;
        }
    }

    /// Whether a late server has not been listed for the time of a repair: nothing of it counts any more, and should
    /// it come back, then only by fresh evidence.
    fn is_lost(&self, agreement: &Agreement, window: &Window, seat: &Seat) -> bool {
        let end = seat
            .start_ms
            .unwrap_or(0)
            .saturating_add(window.request.span_ms());
        let given_up = |since: i64| self.at_ms.saturating_sub(since.max(end)) > agreement.repair_ms;
        seat.late && seat.unlisted_ms.is_some_and(given_up)
    }

    /// What has run out: the time of windows, of the wait for a clear, of a request that found no place.
    fn time(&mut self, agreement: &Agreement) {
        let at_ms = self.at_ms;
        let (mut returns, mut calls) = (Vec::new(), Vec::new());
        for window in self.windows.values_mut() {
            let (length, span) = (window.request.length_ms, window.request.span_ms());
            let last_start = window.request.latest_ms.saturating_sub(span);
            for (index, seat) in window.seats.iter_mut().enumerate() {
                let start = seat.start_ms.unwrap_or(at_ms);
                if seat.state.granted() && !seat.late && at_ms >= start.saturating_add(span) {
                    seat.late = true;
                    self.changed = true;
                }
                let drained_long =
                    at_ms >= start.saturating_add(agreement.clear_most_ms.min(length));
                match seat.state {
                    State::Asked | State::Booked if at_ms > last_start || window.cancelled => {
                        seat.state = State::Closed;
                        seat.start_ms = None;
                        if seat.reason.is_empty() {
                            let why = if window.cancelled {
                                "cancelled"
                            } else {
                                "found no time before its end"
                            };
                            seat.reason = why.into();
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
    fn look(&mut self, agreement: &Agreement) {
        let bound = agreement.evidence_bound_ms;
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
        for id in closed.iter().take(closed.len().saturating_sub(MOST_CLOSED)) {
            self.windows.remove(id);
        }
    }
}
