//! The circuit breaker of each endpoint. Changes with when a circuit opens, is tried and closes.

use crate::state::*;

/// Breaker: share of errors that opens it, weight of the newest outcome, doublings of its open time, and the
/// part of requests that may be trials of open circuits while others are closed.
pub(crate) const ERROR_THRESHOLD: f64 = 0.5;
pub(crate) const ERROR_WEIGHT: f64 = 0.2;
pub(crate) const MOST_DOUBLINGS: u32 = 3;
/// Failed connects without anything else between them that show a process to be gone: a connection may break
/// by itself, also while it is made.
pub(crate) const DEAD_AFTER: u32 = 2;
pub(crate) const TRIALS: f64 = 0.05;

impl Balancer {
    pub(crate) fn open(&mut self, now: Micros, i: EndpointId, out: &mut Vec<Action>) {
        let first = (self.set.longest_aim() as f64).max(2.0 * self.turn_time(now));
        let e = &mut self.endpoints[i];
        let reopened = e.circuit != Circuit::Closed;
        if matches!(e.circuit, Circuit::Open(until) if now < until) {
            return;
        }
        let times = f64::from(1u32 << e.openings.min(MOST_DOUBLINGS));
        e.circuit = Circuit::Open(later(now, first * times * (0.75 + 0.5 * self.rng.f64())));
        e.openings += 1;
        // Trials then show whether a connection can be made at all.
        out.push(Action::CloseIdle(i));
        if !reopened {
            self.log
                .say(now, format!("circuit of endpoint {i} open"), out);
        }
    }

    pub(crate) fn close(&mut self, now: Micros, i: EndpointId, out: &mut Vec<Action>) {
        let e = &mut self.endpoints[i];
        e.circuit = Circuit::Closed;
        (e.errors, e.openings) = (0.0, e.openings.saturating_sub(2));
        // It let no connection be made, so it has likely restarted, whatever the list says: it is cold.
        if std::mem::take(&mut e.unreached) >= DEAD_AFTER {
            self.chill(now, i, now);
        }
        self.log
            .say(now, format!("circuit of endpoint {i} closed"), out);
    }
}
