//! The circuit breaker of one endpoint: closed, open until an instant, then half-open.

use super::time::after;
use crate::api::*;

/// Error rate above which a circuit opens.
const ERROR_RATE_THRESHOLD: f64 = 0.5;
/// Minimum weight of the newest outcome in the error rate.
const NEWEST_OUTCOME_WEIGHT: f64 = 0.2;
/// Upper bound of the exponent of the open time.
const MAX_DOUBLINGS: u32 = 3;
/// Openings that are forgotten when a circuit closes.
const OPENINGS_FORGOTTEN_ON_CLOSE: u32 = 2;
/// Lower bound of the random jitter factor of the open time.
const MIN_JITTER: f64 = 0.75;
/// Range of the random jitter factor above its lower bound.
const JITTER_RANGE: f64 = 0.5;
/// Consecutive connect failures that show that a process is gone. A single connection may fail for
/// other reasons, also while it is being established.
const CONNECT_FAILURES_OF_DEAD_PROCESS: u32 = 2;

/// Whether an endpoint receives requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum CircuitState {
    #[default]
    Closed,
    /// Nothing is sent before this instant; after it one trial request at a time (half-open).
    OpenUntil(Timestamp),
}

/// Result of opening a circuit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenResult {
    /// The circuit is already open and its open time has not passed.
    StillOpen,
    /// A trial request failed: the circuit is open again, for longer.
    Reopened,
    /// The circuit was closed and is now open.
    Opened,
}

/// The circuit breaker of one endpoint.
#[derive(Default)]
pub struct CircuitBreaker {
    state: CircuitState,
    /// Openings since the endpoint was last healthy; each doubles the open time.
    openings: u32,
    /// Consecutive connect failures.
    connect_failures: u32,
    /// Recent error rate, from 0 to 1.
    error_rate: f64,
}

impl CircuitBreaker {
    /// Returns the state.
    pub fn state(&self) -> CircuitState {
        self.state
    }

    /// Returns whether the circuit is closed.
    pub fn is_closed(&self) -> bool {
        self.state == CircuitState::Closed
    }

    /// Returns the number of openings since the endpoint was last healthy.
    pub fn openings(&self) -> u32 {
        self.openings
    }

    /// Updates the error rate with an outcome. `decayed_fraction` is the weight that earlier
    /// outcomes have lost since the last one.
    pub fn record_outcome(&mut self, failed: bool, decayed_fraction: f64) {
        let weight = NEWEST_OUTCOME_WEIGHT.max(decayed_fraction);
        self.error_rate += weight * (f64::from(failed) - self.error_rate);
    }

    /// Counts consecutive connect failures.
    pub fn record_connect(&mut self, failed: bool) {
        self.connect_failures = if failed {
            self.connect_failures.saturating_add(1)
        } else {
            0
        };
    }

    /// Returns whether a failure now opens the circuit: a trial request failed, or the error rate
    /// is too high.
    pub fn should_open(&self) -> bool {
        !self.is_closed() || self.error_rate > ERROR_RATE_THRESHOLD
    }

    /// Opens the circuit for `open_time` microseconds, doubled with each opening and jittered.
    pub fn open(&mut self, now: Timestamp, open_time: f64, rng: &mut fastrand::Rng) -> OpenResult {
        let was_closed = self.is_closed();
        if matches!(self.state, CircuitState::OpenUntil(until) if now < until) {
            return OpenResult::StillOpen;
        }
        let doubled = f64::from(1u32 << self.openings.min(MAX_DOUBLINGS));
        let jitter = MIN_JITTER + JITTER_RANGE * rng.f64();
        self.state = CircuitState::OpenUntil(after(now, open_time * doubled * jitter));
        self.openings += 1;
        if was_closed {
            OpenResult::Opened
        } else {
            OpenResult::Reopened
        }
    }

    /// Closes the circuit. Returns whether the process has probably been replaced, even if the
    /// endpoint list does not say so: it refused connections before.
    pub fn close(&mut self) -> bool {
        self.state = CircuitState::Closed;
        self.error_rate = 0.0;
        self.openings = self.openings.saturating_sub(OPENINGS_FORGOTTEN_ON_CLOSE);
        std::mem::take(&mut self.connect_failures) >= CONNECT_FAILURES_OF_DEAD_PROCESS
    }

    /// Restores a circuit from before a restart as half-open.
    pub fn restore_half_open(&mut self, now: Timestamp, openings: u32) {
        self.state = CircuitState::OpenUntil(now);
        self.openings = openings;
    }
}

impl super::Balancer {
    /// Opens the circuit of an endpoint after a failure.
    pub(super) fn open_circuit(&mut self, now: Timestamp, id: EndpointId, out: &mut Vec<Action>) {
        let objective = self.settings.longest_objective() as f64;
        let open_time = objective.max(2.0 * self.subset.round_time(now, self.rotation.len()));
        let circuit = &mut self.endpoints[id].circuit;
        let opening = circuit.open(now, open_time, &mut self.rng);
        if opening == OpenResult::StillOpen {
            return;
        }
        // Trial requests then show whether a new connection can be established.
        out.push(Action::CloseIdle(id));
        if opening == OpenResult::Opened {
            self.log
                .write_line(now, format!("circuit of endpoint {id} open"), out);
        }
    }

    /// Closes the circuit of an endpoint that has served a trial request.
    pub(super) fn close_circuit(&mut self, now: Timestamp, id: EndpointId, out: &mut Vec<Action>) {
        let replaced = self.endpoints[id].circuit.close();
        if replaced {
            self.begin_slow_start(now, id, now);
        }
        self.log
            .write_line(now, format!("circuit of endpoint {id} closed"), out);
    }
}
