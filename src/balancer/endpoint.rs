//! What is remembered of one endpoint and of its attempts in flight.

use super::bulkhead::Bulkhead;
use super::circuit_breaker::{CircuitBreaker, CircuitState};
use super::endpoint_latency::EndpointLatency;
use super::slow_start_credit::SlowStartCredit;
use super::time::END_OF_TIME;
use crate::api::*;

/// An attempt in flight as its endpoint sees it.
#[derive(Default)]
pub struct InFlight {
    pub request: RequestId,
    pub attempt: AttemptNo,
    pub class: ClassId,
    /// Expected work in microseconds.
    pub work: f64,
    pub sent_at: Timestamp,
    /// The start of the process that it went to, as far as it was known.
    pub process_started: Option<Timestamp>,
    /// Its answer has begun: how long it takes tells nothing from then on.
    pub streaming: bool,
    /// Other members were told that it is overdue.
    pub reported_overdue: bool,
}

impl InFlight {
    /// Microseconds since it was sent.
    pub fn elapsed(&self, now: Timestamp) -> f64 {
        now.saturating_sub(self.sent_at) as f64
    }
}

/// An endpoint.
#[derive(Default)]
pub struct Endpoint {
    pub zone: Option<ZoneId>,
    pub cell: u64,
    pub kind: Option<KindId>,
    pub alias: u64,
    /// On the list, draining or not.
    pub listed: bool,
    /// Listed, or sent something that is not forgotten yet. The number of one that is not known is
    /// free for another.
    pub known: bool,
    /// Listed, and takes requests.
    pub ready: bool,
    pub size: f64,
    /// When its process started, as listed, or as guessed when it answered again after it let no
    /// connection be made.
    pub started: Option<Timestamp>,
    /// Part of a turn that it lacks until it is picked next.
    pub deficit: f64,
    pub last_sent: Timestamp,
    /// When an outcome there was last heard of.
    pub last_heard: Timestamp,
    pub in_flight: Vec<InFlight>,
    pub circuit: CircuitBreaker,
    pub bulkhead: Bulkhead,
    pub latency: EndpointLatency,
    pub slow_start: SlowStartCredit,
    /// What other members' observations come to, while it holds.
    pub ejection: Option<EjectionUpdate>,
}

impl Endpoint {
    /// Its circuit, with what other members observed above it.
    pub fn circuit_state(&self) -> CircuitState {
        match self.ejection {
            Some(update) if update.status == EjectionStatus::TrialDue => {
                CircuitState::OpenUntil(-END_OF_TIME)
            }
            Some(update) => CircuitState::OpenUntil(update.expires),
            None => self.circuit.state(),
        }
    }

    /// Whether neither its circuit nor other members keep requests away.
    pub fn is_circuit_closed(&self) -> bool {
        self.circuit_state() == CircuitState::Closed
    }

    /// Whether this instance is to send it a trial request on behalf of all members.
    pub fn is_trial_due(&self) -> bool {
        let status = self.ejection.map(|update| update.status);
        status == Some(EjectionStatus::TrialDue)
    }

    /// Takes the work of an attempt from its credit in slow start, of which `credit` was left.
    pub fn spend_slow_start(&mut self, now: Timestamp, credit: f64, work: f64) {
        self.slow_start = SlowStartCredit::new(credit - work, now);
    }

    /// Ready, and neither its circuit nor other members keep requests away.
    pub fn takes_traffic(&self) -> bool {
        self.ready && self.is_circuit_closed()
    }
}
