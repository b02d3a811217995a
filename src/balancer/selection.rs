//! The selection of an endpoint for an attempt, in the order in which the policies are asked.

use super::Balancer;
use super::bulkhead::FAIR_SHARE_SLACK;
use super::circuit_breaker::CircuitState;
use super::concurrency::Concurrency;
use super::endpoint::Endpoint;
use super::request::Request;
use super::send_rules;
use crate::api::*;

/// How much of a place in the subset an endpoint takes up that gets no traffic. With none, an
/// instance that left every sick endpoint for the next would try the whole fleet.
const PLACE_WITHOUT_TRAFFIC: f64 = 0.5;

/// Where an attempt goes now, or why nowhere.
pub enum Selection {
    /// To this endpoint.
    Endpoint(EndpointId),
    /// Nowhere until an endpoint has room.
    NoRoom,
    /// Nowhere: no endpoint may be sent it.
    NoEndpoint,
}

/// Whether an endpoint can take an attempt now.
enum Room {
    Free,
    Full,
    /// Its circuit is open, and this attempt is no trial of it.
    CircuitOpen,
}

/// What one selection looks at, computed once.
struct Conditions {
    total_weight: f64,
    concurrency: Concurrency,
    /// All limits together are reached.
    at_limit: bool,
    mean_work: f64,
}

/// An endpoint that may take the attempt. The least is picked.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Candidate {
    already_tried: bool,
    preference: f64,
    /// Time until its turn.
    wait: f64,
    last_sent: Timestamp,
    endpoint: EndpointId,
}

impl Balancer {
    /// Weighted round robin over the endpoints of the subset that may take the attempt: one not yet
    /// tried, then the next turn. Open circuits and full bulkheads are passed over.
    pub(super) fn select(&self, now: Timestamp, request: &Request) -> Selection {
        let subset = self.subset_size(now);
        let conditions = self.conditions(now);
        let mut best: Option<Candidate> = None;
        let mut no_room = false;
        let mut places = 0.0;
        for id in self.rotation.iter() {
            let endpoint = &self.endpoints[id];
            if !send_rules::may_send(&self.settings, now, request, endpoint) {
                continue;
            }
            // What this instance is to try for all members it tries wherever that stands in its own
            // rotation.
            let trial_due = self.peer_health.is_enabled() && endpoint.is_trial_due();
            if places >= subset && best.is_some() && !trial_due {
                continue;
            }
            places += if endpoint.takes_traffic() {
                1.0
            } else {
                PLACE_WITHOUT_TRAFFIC
            };
            match self.room(now, request, endpoint, &conditions) {
                Room::Free => {}
                Room::Full => {
                    no_room = true;
                    continue;
                }
                Room::CircuitOpen => continue,
            }
            let candidate = self.candidate(now, request, id);
            if best.is_none_or(|best| candidate < best) {
                best = Some(candidate);
            }
        }
        match best {
            Some(best) => Selection::Endpoint(best.endpoint),
            None if no_room => Selection::NoRoom,
            None => Selection::NoEndpoint,
        }
    }

    fn conditions(&self, now: Timestamp) -> Conditions {
        let concurrency = Concurrency::of(&self.endpoints);
        // Many instances leave each less than one attempt in flight for each endpoint: such limits
        // bind as a sum.
        let most = concurrency.limits.max(self.goodput.min_concurrency(now));
        Conditions {
            total_weight: self.total_weight(now),
            concurrency,
            at_limit: concurrency.in_flight > most,
            mean_work: self.work.mean(),
        }
    }

    fn room(
        &self,
        now: Timestamp,
        request: &Request,
        endpoint: &Endpoint,
        conditions: &Conditions,
    ) -> Room {
        let full = match endpoint.circuit_state() {
            CircuitState::Closed => {
                conditions.at_limit || self.bulkhead_is_full(now, request, endpoint, conditions)
            }
            CircuitState::OpenUntil(until) if now < until || !endpoint.in_flight.is_empty() => {
                return Room::CircuitOpen;
            }
            CircuitState::OpenUntil(_)
                if !self.trial_budget.allows_trial() && conditions.total_weight > 0.0 =>
            {
                return Room::CircuitOpen;
            }
            CircuitState::OpenUntil(_) => false,
        };
        if full || self.slow_start_credit(now, endpoint) < conditions.mean_work {
            Room::Full
        } else {
            Room::Free
        }
    }

    fn bulkhead_is_full(
        &self,
        now: Timestamp,
        request: &Request,
        endpoint: &Endpoint,
        conditions: &Conditions,
    ) -> bool {
        // The fair part does not hold up retries, which may be bound to few endpoints.
        let slack = if request.attempts.is_empty() {
            FAIR_SHARE_SLACK
        } else {
            f64::INFINITY
        };
        let weight = self.weight(now, endpoint);
        let share = slack * conditions.concurrency.in_flight * weight / conditions.total_weight;
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
            last_sent: endpoint.last_sent,
            endpoint: id,
        }
    }
}
