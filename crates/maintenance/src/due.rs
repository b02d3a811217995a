//! The actions that are due, and the time of the leader's next wake-up.

use crate::action::{Action, DrainCheck};
use crate::admission::blackout_free_end_ms;
use crate::event::Step;
use crate::machine::Machine;
use crate::window::State;

impl Machine {
    /// The actions that the leader should perform now: returns and cancellations first, then by
    /// window and server. `now_ms` is the leader's own clock: a drain or take is due only while
    /// observations recent by that clock satisfy the disruption budget and there is no blackout, so
    /// that a deposed or paused leader performs neither for longer than observations count.
    pub fn due(&self, now_ms: i64) -> Vec<Action> {
        let Some(budget) = &self.budget else {
            return Vec::new();
        };
        let now_ms = now_ms.max(self.at_ms);
        let ledger = self.capacity_ledger(budget, now_ms);
        let mut actions = Vec::new();
        for window in self.windows.values() {
            for slot in &window.slots {
                let step = match slot.state {
                    State::CalledBack if slot.returned_ms.is_none() => Step::CallBack,
                    State::Returning if slot.returned_ms.is_none() => Step::Return,
                    State::Clear => Step::Take,
                    State::Draining if !slot.drained => Step::Drain,
                    State::Draining if !self.waits_for_clear() => Step::Take,
                    _ => continue,
                };
                let is_permitted = match step {
                    Step::Drain => ledger.holds(),
                    Step::Take => self.limits_hold_for(&ledger, &slot.server),
                    Step::Return | Step::CallBack => true,
                };
                let until_ms =
                    blackout_free_end_ms(budget, window, slot).max(now_ms.saturating_add(1));
                let leaves_service = matches!(step, Step::Drain | Step::Take);
                if !is_permitted
                    || leaves_service
                        && (window.cancelled || self.touches_blackout(budget, now_ms, until_ms))
                {
                    continue;
                }
                actions.push(Action {
                    window: window.id,
                    server: slot.server.clone(),
                    step,
                    token: slot.token,
                });
            }
        }
        actions.sort_by_key(|act| (std::cmp::Reverse(act.step), act.window));
        actions
    }

    /// Servers whose drain is confirmed and that are not yet confirmed clear, by window.
    pub fn drain_checks(&self) -> Vec<DrainCheck> {
        let slots = self
            .windows
            .values()
            .flat_map(|w| w.slots.iter().map(move |slot| (w, slot)));
        let waiting =
            slots.filter(|(w, s)| s.state == State::Draining && s.drained && !w.cancelled);
        waiting
            .map(|(w, s)| DrainCheck {
                window: w.id,
                server: s.server.clone(),
                started: s.least_start,
                epoch: s.token,
            })
            .collect()
    }

    /// The latest time at which the leader should propose [`Event::Tick`](crate::Event::Tick), in
    /// milliseconds of Unix time; none if nothing depends on time. Due actions do not count, as
    /// they are repeated by whoever performs them.
    pub fn next_wake(&self, now_ms: i64) -> Option<i64> {
        let budget = self.budget.as_ref()?;
        let now_ms = now_ms.max(self.at_ms);
        let mut wake_times: Vec<i64> = Vec::new();
        let mut has_draining = false;
        for window in self.windows.values().filter(|w| !w.is_closed()) {
            let (length, span) = (window.request.length_ms, window.request.span_ms());
            for slot in &window.slots {
                let start = slot.start_ms.unwrap_or(now_ms);
                match slot.state {
                    State::Asked | State::Booked => {
                        wake_times.extend(slot.start_ms);
                        wake_times.push(
                            window
                                .request
                                .latest_ms
                                .saturating_sub(span)
                                .saturating_add(1),
                        );
                    }
                    State::Draining | State::Clear => {
                        has_draining = true;
                        wake_times.push(start.saturating_add(budget.clear_most_ms.min(length)));
                    }
                    State::Away => wake_times.push(start.saturating_add(length)),
                    State::Returning | State::CalledBack | State::Closed => {}
                }
                if slot.state.is_admitted() {
                    wake_times.push(start.saturating_add(span));
                }
            }
        }
        if has_draining {
            // Draining servers are cancelled by the next blackout and by observations that expire.
            wake_times.extend(
                self.calendar
                    .spans
                    .iter()
                    .map(|s| s.from_ms)
                    .find(|from| *from > now_ms),
            );
            let seen = self.servers.values().filter_map(|known| known.seen);
            wake_times.extend(seen.map(|s| s.seen_ms.saturating_add(budget.evidence_bound_ms)));
        }
        wake_times
            .into_iter()
            .filter(|moment| *moment > self.at_ms)
            .min()
    }
}
