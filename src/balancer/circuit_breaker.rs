//! The circuit breaker of one endpoint: closed, open until an instant, then half-open.

use super::time::after;
use crate::api::*;

/// Share of errors beyond which a circuit opens.
const ERROR_RATE_THRESHOLD: f64 = 0.5;
/// Least weight of the newest outcome in the share of errors.
const NEWEST_OUTCOME_WEIGHT: f64 = 0.2;
/// How often the open time doubles at most.
const MAX_DOUBLINGS: u32 = 3;
/// Openings that are forgotten when a circuit closes.
const OPENINGS_FORGIVEN: u32 = 2;
/// The open time is drawn from this part of it ...
const MIN_JITTER: f64 = 0.75;
/// ... to this part more.
const JITTER_SPREAD: f64 = 0.5;
/// Failed connects without anything else between them that show a process to be gone: a single
/// connection may break by itself, also while it is made.
const CONNECT_FAILURES_OF_DEAD_PROCESS: u32 = 2;

/// Whether an endpoint gets requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum CircuitState {
    #[default]
    Closed,
    /// No sends before this instant; after it one trial request at a time (half-open).
    OpenUntil(Timestamp),
}

/// What came of opening a circuit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// It is open, and its time is not over.
    StillOpen,
    /// A trial failed: it is open again, for longer.
    Reopened,
    /// It was closed.
    Opened,
}

/// The circuit breaker of one endpoint.
#[derive(Default)]
pub struct CircuitBreaker {
    state: CircuitState,
    /// Openings since the endpoint was last well; each doubles the open time.
    openings: u32,
    /// Connects that failed since anything else came of one.
    connect_failures: u32,
    /// Share of errors, of late.
    error_rate: f64,
}

impl CircuitBreaker {
    /// Its state.
    pub fn state(&self) -> CircuitState {
        self.state
    }

    /// Whether it is closed.
    pub fn is_closed(&self) -> bool {
        self.state == CircuitState::Closed
    }

    /// Openings since the endpoint was last well.
    pub fn openings(&self) -> u32 {
        self.openings
    }

    /// Takes an outcome into the share of errors. `freshness` is the part of the share that has
    /// faded since the last one.
    pub fn record_outcome(&mut self, failed: bool, freshness: f64) {
        let weight = NEWEST_OUTCOME_WEIGHT.max(freshness);
        self.error_rate += weight * (f64::from(failed) - self.error_rate);
    }

    /// Counts failed connects in a row.
    pub fn record_connect(&mut self, failed: bool) {
        self.connect_failures = if failed {
            self.connect_failures.saturating_add(1)
        } else {
            0
        };
    }

    /// Whether a failure now opens it: a failed trial, or too many errors of late.
    pub fn should_open(&self) -> bool {
        !self.is_closed() || self.error_rate > ERROR_RATE_THRESHOLD
    }

    /// Opens it for `open_time` microseconds, doubled with each opening and jittered.
    pub fn open(&mut self, now: Timestamp, open_time: f64, rng: &mut fastrand::Rng) -> Opening {
        let was_closed = self.is_closed();
        if matches!(self.state, CircuitState::OpenUntil(until) if now < until) {
            return Opening::StillOpen;
        }
        let doubled = f64::from(1u32 << self.openings.min(MAX_DOUBLINGS));
        let jitter = MIN_JITTER + JITTER_SPREAD * rng.f64();
        self.state = CircuitState::OpenUntil(after(now, open_time * doubled * jitter));
        self.openings += 1;
        if was_closed {
            Opening::Opened
        } else {
            Opening::Reopened
        }
    }

    /// Closes it. Returns whether its process has likely been replaced, whatever the list says: it
    /// let no connection be made.
    pub fn close(&mut self) -> bool {
        self.state = CircuitState::Closed;
        self.error_rate = 0.0;
        self.openings = self.openings.saturating_sub(OPENINGS_FORGIVEN);
        std::mem::take(&mut self.connect_failures) >= CONNECT_FAILURES_OF_DEAD_PROCESS
    }

    /// Sets it half-open as it was known before a restart.
    pub fn restore_half_open(&mut self, now: Timestamp, openings: u32) {
        self.state = CircuitState::OpenUntil(now);
        self.openings = openings;
    }
}

impl super::Balancer {
    /// Opens an endpoint's circuit after a failure there.
    pub(super) fn open_circuit(&mut self, now: Timestamp, id: EndpointId, out: &mut Vec<Action>) {
        let objective = self.settings.longest_objective() as f64;
        let open_time = objective.max(2.0 * self.subset.round_time(now, self.rotation.len()));
        let circuit = &mut self.endpoints[id].circuit;
        let opening = circuit.open(now, open_time, &mut self.rng);
        if opening == Opening::StillOpen {
            return;
        }
        // Trials then show whether a connection can be made at all.
        out.push(Action::CloseIdle(id));
        if opening == Opening::Opened {
            self.log
                .line(now, format!("circuit of endpoint {id} open"), out);
        }
    }

    /// Closes an endpoint's circuit once it has served a trial request.
    pub(super) fn close_circuit(&mut self, now: Timestamp, id: EndpointId, out: &mut Vec<Action>) {
        let replaced = self.endpoints[id].circuit.close();
        if replaced {
            self.begin_slow_start(now, id, now);
        }
        self.log
            .line(now, format!("circuit of endpoint {id} closed"), out);
    }
}
