//! What other members' health observations do here, and what is reported to them.
//!
//! An ejection stands above the own circuit and leaves it as it is: once it is taken back or
//! expires, the instance decides as one that has never heard of it.

use crate::api::*;

/// Expected times after which an attempt at an ejected endpoint is cancelled.
const OVERDUE_IN_EXPECTED_TIMES: f64 = 2.0;
/// Expected times after which an attempt is reported as unanswered: by its work alone one in four
/// hundred takes six times the mean.
const UNANSWERED_IN_EXPECTED_TIMES: f64 = 6.0;

/// Whether health observations are shared with other members.
#[derive(Default)]
pub struct PeerHealth {
    enabled: bool,
}

impl PeerHealth {
    /// Shared or not.
    pub fn new(enabled: bool) -> Self {
        Self { enabled }
    }

    /// Whether observations are reported and ejections followed.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Reports how an attempt ended. One that was rejected for want of room says nothing of the
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
    /// Follows ejections. Where others were served again the own circuit need not be tried by this
    /// instance too.
    pub(super) fn apply_ejections(
        &mut self,
        now: Timestamp,
        updates: Vec<EjectionUpdate>,
        out: &mut Vec<Action>,
    ) {
        for update in updates {
            let known = self.endpoints.get_mut(update.endpoint);
            let Some(endpoint) = known.filter(|endpoint| endpoint.known) else {
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

    /// Others get no answer there: what has waited for longer than usual, and may run again, waits
    /// no more.
    fn cancel_overdue(&self, now: Timestamp, id: EndpointId, out: &mut Vec<Action>) {
        let endpoint = &self.endpoints[id];
        let overdue = OVERDUE_IN_EXPECTED_TIMES * self.latency.slower_of(endpoint);
        for attempt in &endpoint.in_flight {
            let is_overdue = (now - attempt.sent_at) as f64 > overdue * attempt.work;
            let may_repeat = self.settings.classes[attempt.class].effect != Effect::Unsafe;
            if !attempt.streaming && is_overdue && may_repeat && self.retry_budget.allows_retry() {
                out.push(Action::Cancel {
                    request: attempt.request,
                    attempt: attempt.attempt,
                });
            }
        }
    }

    /// Drops ejections that have expired. Reports attempts that are far later than any answer,
    /// before their time is out.
    pub(super) fn expire_peer_health(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if !self.peer_health.is_enabled() {
            return;
        }
        for (id, endpoint) in self.endpoints.iter_mut().enumerate() {
            endpoint.ejection = endpoint.ejection.filter(|update| now < update.expires);
            let unanswered = UNANSWERED_IN_EXPECTED_TIMES * self.latency.slower_of(endpoint);
            let last_heard = endpoint.last_heard;
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
