//! Weighted round robin: whose turn it is among endpoints within reach. Changes with how turns are parted.

use super::bulwark::SHARE_SLACK;
use super::hearsay::MOST_OWED;
use crate::state::*;

/// Part of the time in which what is learnt fades, in which own traffic must bring a turn to an endpoint: two
/// turns, so that an outcome there is judged along with the one before. Such rounds over which that traffic
/// is counted, as over few it swings by a quarter at 16 requests a second. Endpoints used at the least.
pub(crate) const ROUND: f64 = 0.5;
pub(crate) const ROUNDS_COUNTED: f64 = 16.0;
pub(crate) const LEAST_REACH: f64 = 8.0;

impl Balancer {
    /// Weighted round robin over the endpoints that may take the request: one not yet tried, then the next
    /// turn. Open circuits and full bulwarks are passed over.
    pub(crate) fn choose(&self, now: Micros, request: &Request) -> Choice {
        let (weights, reach) = (self.weights(now), self.reach(now));
        let (busy, caps) = in_flight(&self.endpoints);
        // Many sidecars leave each less than one in flight for each server: such caps bind as a sum, which in
        // good times holds a few, or a quiet fleet would refuse what comes in twos and threes.
        let all_full = busy > caps.max(self.leeway(now));
        let (mut best, mut capped, mut near) = (None, false, 0.0);
        for i in self
            .fleet
            .ring
            .iter()
            .copied()
            .filter(|i| self.may_send(now, request, *i))
        {
            let e = &self.endpoints[i];
            // Whom this instance is to try for all others it tries wherever it stands in its own ring.
            if near >= reach && best.is_some() && !(self.sharing.words && e.called()) {
                continue;
            }
            // Half a place each: who left every sick one for the next would try the whole fleet.
            near += if e.closed() { 1.0 } else { 0.5 };
            let full = match e.gate() {
                Circuit::Closed => {
                    // The fair part does not hold up retries, which may be bound to few endpoints.
                    let slack = if request.attempts.is_empty() {
                        SHARE_SLACK
                    } else {
                        f64::INFINITY
                    };
                    let share = slack * busy * self.weight(now, e) / weights;
                    all_full || e.flights.len() as f64 + 1.0 > share.min(e.cap).ceil()
                }
                Circuit::Open(until) if now < until || !e.flights.is_empty() => continue,
                // Many open circuits must not make a trial of every other request.
                Circuit::Open(_) if self.fleet.trials < 1.0 && weights > 0.0 => continue,
                Circuit::Open(_) => false,
            };
            if full || self.cold_credit(now, e) < self.fleet.mean_work {
                capped = true;
                continue;
            }
            let tried = request.attempts.iter().any(|a| a.endpoint == i);
            let turn = (
                tried,
                self.liking(now, request, i),
                e.left / self.weight(now, e),
                e.last_sent,
                i,
            );
            if best.is_none_or(|b| turn < b) {
                best = Some(turn);
            }
        }
        let none = if capped {
            Choice::Capped
        } else {
            Choice::AllOpen
        };
        best.map_or(none, |(.., i)| Choice::At(i))
    }

    /// How many endpoints first picks go round. A sidecar with little traffic that used all would hold a
    /// connection to each and hardly ever use it: a thousand sidecars so fill every server's table, and none
    /// learns anything of a server before it changes.
    pub(crate) fn reach(&self, now: Micros) -> f64 {
        (self.asked(now) * self.round())
            .max(LEAST_REACH)
            .min(self.fleet.ring.len() as f64)
    }

    /// The time in which all endpoints within reach are to have their turn.
    pub(crate) fn round(&self) -> f64 {
        ROUND * self.memory as f64
    }

    /// First tries that came a microsecond, of late.
    pub(crate) fn asked(&self, now: Micros) -> f64 {
        self.fleet
            .asked
            .rate(now, (self.round() * ROUNDS_COUNTED) as Micros)
    }

    /// Time from one turn of an endpoint to its next.
    pub(crate) fn turn_time(&self, now: Micros) -> f64 {
        self.reach(now) / self.asked(now)
    }

    /// Passes on to the turn of `to`: what is left to the other turns shrinks by the weights of now. A turn
    /// fixed at the last send would come by what was known a round ago, which may be seconds.
    pub(crate) fn turn_to(&mut self, now: Micros, to: EndpointId) {
        let weights: Vec<f64> = self.endpoints.iter().map(|e| self.weight(now, e)).collect();
        let passed = self.endpoints[to].left / weights[to];
        // Turns out of order are accounts: each send costs one, which all within reach are given.
        let all = self.fleet.keyed.then(|| self.weights(now));
        let least = all.map_or(0.0, |_| -MOST_OWED * self.sharing.ahead - 1.0);
        for (e, weight) in self.endpoints.iter_mut().zip(weights) {
            e.left =
                (e.left - all.map_or(passed * weight, |all| weight / all.max(weight))).max(least);
        }
        let e = &mut self.endpoints[to];
        e.left = if all.is_some() { e.left + 1.0 } else { 1.0 };
    }

    /// The weights of the endpoints within reach, as far as their circuits are closed.
    fn weights(&self, now: Micros) -> f64 {
        let closed = || self.endpoints.iter().filter(|e| e.closed());
        let part = (self.reach(now) / closed().count() as f64).min(1.0);
        closed().map(|e| self.weight(now, e)).sum::<f64>() * part
    }

    /// An endpoint's part of the turns: its size, less while it is cold or slower than the fleet.
    pub(crate) fn weight(&self, now: Micros, e: &Endpoint) -> f64 {
        e.size
            * self.warmth(now, e)
            * (self.fleet.slow / self.slow(now, e))
                .powi(2)
                .clamp(0.05, 2.0)
    }
}
