//! State of one endpoint and of its attempts in flight.

use super::bulkhead::Bulkhead;
use super::circuit_breaker::{CircuitBreaker, CircuitState};
use super::endpoint_latency::EndpointLatency;
use super::slow_start_credit::SlowStartCredit;
use super::time::END_OF_TIME;
use crate::api::*;

/// An attempt in flight, as recorded at its endpoint.
#[derive(Default)]
pub struct InFlight {
    pub request: RequestId,
    pub attempt: AttemptIndex,
    pub class: ClassId,
    /// Expected work in microseconds.
    pub work: f64,
    pub sent_at: Timestamp,
    /// Start time of the process that the attempt was sent to, if known.
    pub process_started: Option<Timestamp>,
    /// The answer has begun; its duration says nothing about latency from then on.
    pub streaming: bool,
    /// Other members have been notified that this attempt is overdue.
    pub reported_overdue: bool,
}

impl InFlight {
    /// Microseconds since it was sent.
    pub fn elapsed(&self, now: Timestamp) -> f64 {
        now.saturating_sub(self.sent_at) as f64
    }
}

/// State of one endpoint.
#[derive(Default)]
pub struct Endpoint {
    pub zone: Option<ZoneId>,
    pub cell: u64,
    pub kind: Option<KindId>,
    pub alias: u64,
    /// On the endpoint list, draining or not.
    pub listed: bool,
    /// The endpoint is listed, or an attempt sent to it is not forgotten yet. An id that is not
    /// known may be reused for another endpoint.
    pub known: bool,
    /// Listed and accepting requests.
    pub ready: bool,
    pub size: f64,
    /// Start time of its process as listed, or as inferred when it answered again after refusing
    /// connections.
    pub started: Option<Timestamp>,
    /// Credit that the endpoint lacks until its next pick, in picks.
    pub deficit: f64,
    pub last_sent_at: Timestamp,
    /// When the last outcome of an attempt at this endpoint was received.
    pub last_outcome_at: Timestamp,
    pub in_flight: Vec<InFlight>,
    pub circuit: CircuitBreaker,
    pub bulkhead: Bulkhead,
    pub latency: EndpointLatency,
    pub slow_start: SlowStartCredit,
    /// The ejection that follows from other members' observations, while it is in force.
    pub ejection: Option<EjectionUpdate>,
}

impl Endpoint {
    /// Returns the state of the circuit, overridden by an ejection.
    pub fn circuit_state(&self) -> CircuitState {
        match self.ejection {
            Some(update) if update.status == EjectionStatus::TrialDue => {
                CircuitState::OpenUntil(-END_OF_TIME)
            }
            Some(update) => CircuitState::OpenUntil(update.expires),
            None => self.circuit.state(),
        }
    }

    /// Returns whether neither the circuit nor an ejection blocks requests.
    pub fn is_circuit_closed(&self) -> bool {
        self.circuit_state() == CircuitState::Closed
    }

    /// Returns whether this instance should send a trial request on behalf of all members.
    pub fn is_trial_due(&self) -> bool {
        let status = self.ejection.map(|update| update.status);
        status == Some(EjectionStatus::TrialDue)
    }

    /// Deducts the work of an attempt from the slow start credit, of which `credit` was left.
    pub fn spend_slow_start(&mut self, now: Timestamp, credit: f64, work: f64) {
        self.slow_start = SlowStartCredit::new(credit - work, now);
    }

    /// Returns whether the endpoint is ready and neither its circuit nor an ejection blocks
    /// requests.
    pub fn takes_traffic(&self) -> bool {
        self.ready && self.is_circuit_closed()
    }
}
