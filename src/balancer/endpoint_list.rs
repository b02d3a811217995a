//! Handles updates of the endpoint list and failed calls to discovery.

use super::Balancer;
use super::bulkhead::Bulkhead;
use super::circuit_breaker::CircuitBreaker;
use super::endpoint::Endpoint;
use super::endpoint_latency::EndpointLatency;
use super::time::after;
use super::timers::Wake;
use crate::api::*;
use std::collections::BTreeSet;

/// Bound on endpoint ids, which the caller assigns densely; larger ones are ignored.
const MAX_ENDPOINTS: EndpointId = 1 << 20;
/// Maximum delay before a failed push subscription is renewed.
const MAX_PUSHED_RETRY_DELAY_US: f64 = 200_000.0;
/// Maximum delay where the list is polled: two calls in a row may fail before a change counts as
/// notified.
const MAX_POLLED_RETRY_DELAY_US: f64 = 400_000.0;
/// Maximum delay as a fraction of the polling interval.
const MAX_DELAY_FRACTION_OF_INTERVAL: f64 = 1.0 / 2.0;
/// Delay before the first doubling, as a fraction of the maximum.
const BASE_DELAY_FRACTION: f64 = 1.0 / 16.0;
/// Upper bound of the exponent of the delay.
const MAX_DOUBLINGS: u32 = 8;
/// Lower bound of the random jitter factor; the upper bound is twice as high.
const MIN_JITTER: f64 = 0.5;
/// Bounds on the size of an endpoint.
const SIZE_RANGE: std::ops::RangeInclusive<f64> = 1e-3..=1e6;

/// State of the subscription to the endpoint list.
#[derive(Default)]
pub struct ListFollower {
    subscribed: bool,
    /// Failed calls to discovery since the last update.
    failures: u32,
}

impl ListFollower {
    /// Returns the delay before the next call in microseconds; it grows with each failure. Where
    /// changes are pushed, missed changes count as notified and calls are free, so it stays short.
    fn delay_after_failure(&mut self, settings: &Settings, rng: &mut fastrand::Rng) -> f64 {
        self.failures += 1;
        let interval = settings.rules.poll_interval as f64;
        let max_delay = match settings.discovery {
            Discovery::Pushed => MAX_PUSHED_RETRY_DELAY_US,
            Discovery::OnRequest => (interval * MAX_DELAY_FRACTION_OF_INTERVAL)
                .clamp(MAX_PUSHED_RETRY_DELAY_US, MAX_POLLED_RETRY_DELAY_US),
        };
        let doubled = f64::from(1u32 << self.failures.min(MAX_DOUBLINGS));
        let delay = (max_delay * BASE_DELAY_FRACTION * doubled).min(max_delay);
        delay * (MIN_JITTER + MIN_JITTER * rng.f64())
    }
}

impl Balancer {
    /// Subscribes to the list on the first event, if updates have to be requested.
    pub(super) fn subscribe_once(&mut self, out: &mut Vec<Action>) {
        if self.settings.discovery == Discovery::OnRequest && !self.list_follower.subscribed {
            self.list_follower.subscribed = true;
            out.push(Action::Subscribe(true));
        }
    }

    /// Applies an update of the list. Draining and removed endpoints receive nothing from then on.
    pub(super) fn apply_list_update(&mut self, now: Timestamp, update: ListUpdate) {
        let entries = match update {
            ListUpdate::Failed => {
                let delay = self
                    .list_follower
                    .delay_after_failure(&self.settings, &mut self.rng);
                return self.timers.set(after(now, delay), Wake::Poll);
            }
            ListUpdate::Delta(entries) => entries,
            ListUpdate::Full(entries) | ListUpdate::Cached(entries) => {
                for endpoint in &mut self.endpoints {
                    endpoint.listed = false;
                    endpoint.ready = false;
                }
                entries
            }
        };
        self.list_follower.failures = 0;
        for entry in entries {
            if entry.endpoint < MAX_ENDPOINTS {
                self.apply_entry(now, entry);
            }
        }
        self.remove_unused_endpoints();
    }

    fn apply_entry(&mut self, now: Timestamp, entry: ListedEndpoint) {
        let id = entry.endpoint;
        let endpoint_count = self.endpoints.len().max(id + 1);
        self.endpoints
            .resize_with(endpoint_count, Endpoint::default);
        if !self.endpoints[id].known {
            self.add_endpoint(now, id);
        }
        let endpoint = &mut self.endpoints[id];
        endpoint.listed = entry.status != EndpointStatus::Removed;
        endpoint.ready = entry.status == EndpointStatus::Ready;
        endpoint.zone = entry.zone;
        endpoint.cell = entry.cell;
        endpoint.kind = entry.kind;
        endpoint.alias = entry.alias;
        endpoint.size = if entry.size > 0.0 {
            entry.size.clamp(*SIZE_RANGE.start(), *SIZE_RANGE.end())
        } else {
            1.0
        };
        if entry.started > endpoint.started {
            self.replace_process(now, id, entry.started);
        }
    }

    /// Adds an unknown endpoint at a random position of the rotation.
    fn add_endpoint(&mut self, now: Timestamp, id: EndpointId) {
        let deficit = self.rng.f64();
        self.rotation.insert(id, &mut self.rng);
        self.endpoints[id] = Endpoint {
            known: true,
            deficit,
            last_outcome_at: now,
            bulkhead: Bulkhead::new(self.initial_limit),
            latency: EndpointLatency {
                per_work: self.latency_estimator.fleet(),
            },
            ..Endpoint::default()
        };
    }

    /// Resets the state of an endpoint whose process was replaced, including its circuit. Slow
    /// start already bounds what it receives; waiting for trial requests as well would delay the
    /// return of a whole site by half a minute.
    fn replace_process(&mut self, now: Timestamp, id: EndpointId, started: Option<Timestamp>) {
        let endpoint = &mut self.endpoints[id];
        endpoint.latency.per_work = self.latency_estimator.fleet();
        endpoint.circuit = CircuitBreaker::default();
        endpoint.ejection = None;
        self.begin_slow_start(now, id, started.unwrap_or(now));
    }

    /// Removes endpoints that are no longer listed once no open request has an attempt there.
    /// Otherwise endpoints that are replaced repeatedly would cost memory, and time for each pick.
    fn remove_unused_endpoints(&mut self) {
        let attempts = self.requests.values().flat_map(|request| &request.attempts);
        let attempted: BTreeSet<EndpointId> = attempts.map(|attempt| attempt.endpoint).collect();
        for (id, endpoint) in self.endpoints.iter_mut().enumerate() {
            let in_use =
                endpoint.listed || !endpoint.in_flight.is_empty() || attempted.contains(&id);
            if endpoint.known && !in_use {
                *endpoint = Endpoint::default();
            }
        }
        let endpoints = &self.endpoints;
        self.rotation.retain(|id| endpoints[id].known);
        let known = endpoints.iter().filter(|endpoint| endpoint.known);
        let cells: BTreeSet<u64> = known.map(|endpoint| endpoint.cell).collect();
        self.latency_estimator
            .retain_groups(|cell| cells.contains(&cell));
    }
}
