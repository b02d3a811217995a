//! Effect of other members' health observations, and the observations reported to them.
//!
//! An ejection overrides the circuit but does not change it: once the ejection is withdrawn or
//! expires, the instance decides as if there had been none.

use crate::api::*;

/// Expected latencies after which an attempt at an ejected endpoint is cancelled.
const OVERDUE_IN_EXPECTED_LATENCIES: f64 = 2.0;
/// Expected latencies after which an attempt is reported as unanswered: the work of one request in
/// four hundred is six times the mean.
const UNANSWERED_IN_EXPECTED_LATENCIES: f64 = 6.0;

/// Exchange of health observations with other members.
#[derive(Default)]
pub struct PeerHealth {
    enabled: bool,
}

impl PeerHealth {
    /// Creates the exchange, enabled or not.
    pub fn new(enabled: bool) -> Self {
        Self { enabled }
    }

    /// Returns whether observations are reported and ejections are applied.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Reports the outcome of an attempt. A rejection for lack of capacity says nothing about the
    /// endpoint's health.
    pub fn report(&self, endpoint: EndpointId, outcome: Outcome, out: &mut Vec<Action>) {
        if self.enabled && outcome != Outcome::Rejected {
            out.push(Action::ReportHealth {
                endpoint,
                served: outcome == Outcome::Ok,
            });
        }
    }
}

impl super::Balancer {
    /// Applies ejections. If other members' trial requests were served, the circuit closes without
    /// a trial request of this instance.
    pub(super) fn apply_ejections(
        &mut self,
        now: Timestamp,
        updates: Vec<EjectionUpdate>,
        out: &mut Vec<Action>,
    ) {
        for update in updates {
            let endpoint = self.endpoints.get_mut(update.endpoint);
            let Some(endpoint) = endpoint.filter(|endpoint| endpoint.known) else {
                continue;
            };
            let status = if now < update.expires {
                update.status
            } else {
                EjectionStatus::NotEjected
            };
            endpoint.ejection = match status {
                EjectionStatus::Ejected | EjectionStatus::TrialDue => {
                    Some(EjectionUpdate { status, ..update })
                }
                EjectionStatus::NotEjected | EjectionStatus::Recovered => None,
            };
            if status == EjectionStatus::Recovered && !endpoint.circuit.is_closed() {
                self.close_circuit(now, update.endpoint, out);
            } else if status == EjectionStatus::Ejected && self.settings.limits.may_cancel {
                self.cancel_overdue(now, update.endpoint, out);
            }
        }
    }

    /// Cancels the attempts at an ejected endpoint that are overdue and may be repeated: other
    /// members get no answers there either.
    fn cancel_overdue(&self, now: Timestamp, id: EndpointId, out: &mut Vec<Action>) {
        let endpoint = &self.endpoints[id];
        let overdue = OVERDUE_IN_EXPECTED_LATENCIES * self.latency_estimator.slower_of(endpoint);
        for attempt in &endpoint.in_flight {
            let is_overdue = (now - attempt.sent_at) as f64 > overdue * attempt.work;
            let may_repeat = self.settings.classes[attempt.class].effect != Effect::NonIdempotent;
            if !attempt.streaming && is_overdue && may_repeat && self.retry_budget.allows_retry() {
                out.push(Action::Cancel {
                    request: attempt.request,
                    attempt: attempt.attempt,
                });
            }
        }
    }

    /// Drops expired ejections. Reports attempts that are far later than any answer, before they
    /// time out.
    pub(super) fn expire_peer_health(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if !self.peer_health.is_enabled() {
            return;
        }
        for (id, endpoint) in self.endpoints.iter_mut().enumerate() {
            endpoint.ejection = endpoint.ejection.filter(|update| now < update.expires);
            let unanswered =
                UNANSWERED_IN_EXPECTED_LATENCIES * self.latency_estimator.slower_of(endpoint);
            let last_heard = endpoint.last_outcome_at;
            for attempt in &mut endpoint.in_flight {
                if attempt.reported_overdue || attempt.streaming || last_heard > attempt.sent_at {
                    continue;
                }
                let elapsed = (now - attempt.sent_at) as f64;
                attempt.reported_overdue = elapsed > unanswered * attempt.work;
                if attempt.reported_overdue {
                    out.push(Action::ReportHealth {
                        endpoint: id,
                        served: false,
                    });
                }
            }
        }
    }
}
