//! The actions that are due, and when the leader has to look again.

use crate::action::{Action, Unclear};
use crate::admission::hard_end;
use crate::event::Step;
use crate::machine::Machine;
use crate::window::State;

impl Machine {
    /// What the leader is to do now, ways back first, then by window and server. `now_ms` is its
    /// own clock: a drain or take is named only while observations of that moment holds the
    /// disruption budget and no blackout is on, so a leader that was deposed unknowing, or stopped,
    /// does neither for longer than observations live.
    pub fn due(&self, now_ms: i64) -> Vec<Action> {
        let Some(budget) = &self.budget else {
            return Vec::new();
        };
        let now_ms = now_ms.max(self.at_ms);
        let ledger = self.ledger(budget, now_ms);
        let mut acts = Vec::new();
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
                let bears = match step {
                    Step::Drain => ledger.holds(),
                    Step::Take => self.holds_for(&ledger, &slot.server),
                    Step::Return | Step::CallBack => true,
                };
                let until_ms = hard_end(budget, window, slot).max(now_ms.saturating_add(1));
                let out = matches!(step, Step::Drain | Step::Take);
                if !bears || out && (window.cancelled || self.blacked_out(budget, now_ms, until_ms))
                {
                    continue;
                }
                acts.push(Action {
                    window: window.id,
                    server: slot.server.clone(),
                    step,
                    token: slot.token,
                });
            }
        }
        acts.sort_by_key(|act| (std::cmp::Reverse(act.step), act.window));
        acts
    }

    /// Servers whose drain is confirmed and of which a clear is waited for, by window.
    pub fn unclear(&self) -> Vec<Unclear> {
        let slots = self
            .windows
            .values()
            .flat_map(|w| w.slots.iter().map(move |slot| (w, slot)));
        let waits = slots.filter(|(w, s)| s.state == State::Draining && s.drained && !w.cancelled);
        waits
            .map(|(w, s)| Unclear {
                window: w.id,
                server: s.server.clone(),
                started: s.least_start,
                epoch: s.token,
            })
            .collect()
    }

    /// When the leader should propose [`Event::Tick`](crate::Event::Tick) at the latest, in
    /// milliseconds of Unix time; none if nothing waits for time to pass. Acts that are due are no
    /// reason to wake: they are repeated by whoever performs them.
    pub fn next_wake(&self, now_ms: i64) -> Option<i64> {
        let budget = self.budget.as_ref()?;
        let now_ms = now_ms.max(self.at_ms);
        let mut moments: Vec<i64> = Vec::new();
        let mut open = false;
        for window in self.windows.values().filter(|w| !w.closed()) {
            let (length, span) = (window.request.length_ms, window.request.span_ms());
            for slot in &window.slots {
                let start = slot.start_ms.unwrap_or(now_ms);
                match slot.state {
                    State::Asked | State::Booked => {
                        moments.extend(slot.start_ms);
                        moments.push(
                            window
                                .request
                                .latest_ms
                                .saturating_sub(span)
                                .saturating_add(1),
                        );
                    }
                    State::Draining | State::Clear => {
                        open = true;
                        moments.push(start.saturating_add(budget.clear_most_ms.min(length)));
                    }
                    State::Away => moments.push(start.saturating_add(length)),
                    State::Returning | State::CalledBack | State::Closed => {}
                }
                if slot.state.is_admitted() {
                    moments.push(start.saturating_add(span));
                }
            }
        }
        if open {
            // The next blackout, and the moments at which observations runs out, cancel what
            // drains.
            moments.extend(
                self.calendar
                    .spans
                    .iter()
                    .map(|s| s.from_ms)
                    .find(|from| *from > now_ms),
            );
            let seen = self.servers.values().filter_map(|known| known.seen);
            moments.extend(seen.map(|s| s.seen_ms.saturating_add(budget.evidence_bound_ms)));
        }
        moments
            .into_iter()
            .filter(|moment| *moment > self.at_ms)
            .min()
    }
}
