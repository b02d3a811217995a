//! Selection of the endpoint for an attempt; combines the policies in a fixed order.

use super::Balancer;
use super::bulkhead::FAIR_SHARE_SLACK;
use super::circuit_breaker::CircuitState;
use super::concurrency::Concurrency;
use super::endpoint::Endpoint;
use super::request::Request;
use super::send_rules;
use crate::api::*;

/// How much of the subset an endpoint without traffic takes up. If it took up nothing, an instance
/// would replace each failed endpoint by another one until it had tried the whole fleet.
const SUBSET_COST_WITHOUT_TRAFFIC: f64 = 0.5;

/// Result of a selection.
pub enum Selection {
    /// Send to this endpoint.
    Endpoint(EndpointId),
    /// Wait: all suitable endpoints are at capacity.
    NoCapacity,
    /// No endpoint may receive this attempt.
    NoEndpoint,
}

/// Whether an endpoint can take an attempt now.
enum Availability {
    Available,
    Full,
    /// The circuit is open and this attempt is not a trial request.
    CircuitOpen,
}

/// Values that are computed once per selection.
struct Conditions {
    total_weight: f64,
    concurrency: Concurrency,
    /// The attempts in flight have reached the sum of all limits.
    at_total_limit: bool,
    mean_work: f64,
}

/// An endpoint that may take the attempt. The smallest candidate is picked.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Candidate {
    already_tried: bool,
    preference: f64,
    /// Time until its next pick, in units of the rotation.
    wait: f64,
    last_sent: Timestamp,
    endpoint: EndpointId,
}

impl Balancer {
    /// Selects an endpoint by weighted round robin over the subset: endpoints that this request has
    /// not tried come first, then the next in rotation. Open circuits and full bulkheads are
    /// skipped.
    pub(super) fn select(&self, now: Timestamp, request: &Request) -> Selection {
        let subset_size = self.subset_size(now);
        let conditions = self.conditions(now);
        let mut best: Option<Candidate> = None;
        let mut at_capacity = false;
        let mut subset_used = 0.0;
        for id in self.rotation.iter() {
            let endpoint = &self.endpoints[id];
            if !send_rules::may_send(&self.settings, now, request, endpoint) {
                continue;
            }
            // A trial request on behalf of all members goes to its endpoint wherever that is in
            // this instance's rotation.
            let trial_due = self.peer_health.is_enabled() && endpoint.is_trial_due();
            if subset_used >= subset_size && best.is_some() && !trial_due {
                continue;
            }
            subset_used += if endpoint.takes_traffic() {
                1.0
            } else {
                SUBSET_COST_WITHOUT_TRAFFIC
            };
            match self.availability(now, request, endpoint, &conditions) {
                Availability::Available => {}
                Availability::Full => {
                    at_capacity = true;
                    continue;
                }
                Availability::CircuitOpen => continue,
            }
            let candidate = self.candidate(now, request, id);
            if best.is_none_or(|best| candidate < best) {
                best = Some(candidate);
            }
        }
        match best {
            Some(best) => Selection::Endpoint(best.endpoint),
            None if at_capacity => Selection::NoCapacity,
            None => Selection::NoEndpoint,
        }
    }

    fn conditions(&self, now: Timestamp) -> Conditions {
        let concurrency = Concurrency::of(&self.endpoints);
        // With many instances each has less than one attempt in flight per endpoint, so their
        // limits apply as a sum.
        let total_limit = concurrency.limits.max(self.goodput.min_concurrency(now));
        Conditions {
            total_weight: self.total_weight(now),
            concurrency,
            at_total_limit: concurrency.in_flight > total_limit,
            mean_work: self.work_estimate.mean(),
        }
    }

    fn availability(
        &self,
        now: Timestamp,
        request: &Request,
        endpoint: &Endpoint,
        conditions: &Conditions,
    ) -> Availability {
        let full = match endpoint.circuit_state() {
            CircuitState::Closed => {
                conditions.at_total_limit
                    || self.bulkhead_is_full(now, request, endpoint, conditions)
            }
            CircuitState::OpenUntil(until) if now < until || !endpoint.in_flight.is_empty() => {
                return Availability::CircuitOpen;
            }
            CircuitState::OpenUntil(_)
                if !self.trial_budget.allows_trial() && conditions.total_weight > 0.0 =>
            {
                return Availability::CircuitOpen;
            }
            CircuitState::OpenUntil(_) => false,
        };
        if full || self.slow_start_credit(now, endpoint) < conditions.mean_work {
            Availability::Full
        } else {
            Availability::Available
        }
    }

    fn bulkhead_is_full(
        &self,
        now: Timestamp,
        request: &Request,
        endpoint: &Endpoint,
        conditions: &Conditions,
    ) -> bool {
        // Fair shares do not delay retries, which may be restricted to a few endpoints.
        let share_factor = if request.attempts.is_empty() {
            FAIR_SHARE_SLACK
        } else {
            f64::INFINITY
        };
        let weight = self.weight(now, endpoint);
        let share =
            share_factor * conditions.concurrency.in_flight * weight / conditions.total_weight;
        endpoint.bulkhead.is_full(endpoint.in_flight.len(), share)
    }

    fn candidate(&self, now: Timestamp, request: &Request, id: EndpointId) -> Candidate {
        let endpoint = &self.endpoints[id];
        let weight = self.weight(now, endpoint);
        let mut attempts = request.attempts.iter();
        Candidate {
            already_tried: attempts.any(|attempt| attempt.endpoint == id),
            preference: self.affinity.preference(request, id, endpoint, weight),
            wait: endpoint.deficit / weight,
            last_sent: endpoint.last_sent_at,
            endpoint: id,
        }
    }
}
