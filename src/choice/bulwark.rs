//! The bulwark: caps on requests in flight, who waits for room. Changes with how caps bind and are learnt.

use crate::state::*;
use std::ops::Bound::{Excluded, Unbounded};

/// Leeway of the caps' sum beyond 1 when all that was sent came in time; requests counted in any case.
pub(crate) const LEEWAY_RISE: f64 = 4.0;
pub(crate) const LEEWAY_LEAST: f64 = 1.0;
/// Bulwark: multiple of the fair part of what is in flight. Learnt cap: its first size and unit of rise (over
/// the root of the number of sidecars), its step, its bounds, and the part in use from which caps grow.
pub(crate) const SHARE_SLACK: f64 = 1.3;
pub(crate) const FIRST_CAP: f64 = 2.0;
pub(crate) const CAP_STEP: f64 = 0.1;
pub(crate) const CAP_BOUNDS: (f64, f64) = (0.05, 1000.0);
pub(crate) const PRESSED: f64 = 0.6;
/// Part of the aim that a request waits for a bulwark.
pub(crate) const WAIT: f64 = 0.15;

impl Balancer {
    /// From 1 to 5: much while what was sent of late came back in time, little while it fails.
    pub(crate) fn leeway(&self, now: Micros) -> f64 {
        let [sent, good] = [&self.fleet.tried, &self.fleet.good]
            .map(|sum| LEEWAY_LEAST + sum.now(now, self.memory));
        1.0 + LEEWAY_RISE * (good / sent).powi(4)
    }

    /// First cap, and the unit in which caps rise: sidecars seldom fill all at once, so parted by a root.
    pub(crate) fn first_cap(&self) -> f64 {
        FIRST_CAP / (self.set.instances.max(1) as f64).sqrt()
    }

    /// Has a request wait that finds all full, unless it does already.
    pub(crate) fn wait_for_room(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self
            .requests
            .get_mut(&id)
            .filter(|r| r.state != State::Queued)
        else {
            return;
        };
        (request.state, request.expires) = (State::Queued, later(now, request.aim * WAIT));
        self.timers.at(request.expires, Wake::Expired(id));
        self.queue.insert(request.place(id));
    }

    pub(crate) fn serve_queue(&mut self, now: Micros, out: &mut Vec<Action>) {
        let mut next = self.queue.first().copied();
        while let Some(place) = next {
            self.place(now, place.2, out);
            let still = self
                .requests
                .get(&place.2)
                .filter(|r| r.state == State::Queued);
            // Only retries are bound to some endpoints; a first try finds none, so no other will.
            if still.is_some_and(|r| r.attempts.is_empty()) {
                return;
            }
            next = self
                .queue
                .range((Excluded(place), Unbounded))
                .next()
                .copied();
        }
    }
}
