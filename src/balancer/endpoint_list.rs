//! How the endpoint list is followed.

use super::Balancer;
use super::bulkhead::Bulkhead;
use super::circuit_breaker::CircuitBreaker;
use super::endpoint::Endpoint;
use super::endpoint_latency::EndpointLatency;
use super::time::after;
use super::timers::Wake;
use crate::api::*;
use std::collections::BTreeSet;

/// Endpoint numbers are dense: one from here on is a fault of the caller's, and is ignored.
const MAX_ENDPOINTS: EndpointId = 1 << 20;
/// Longest wait in microseconds before a broken push is asked for anew.
const MAX_WAIT_WHERE_PUSHED: f64 = 200_000.0;
/// The same where lists are polled: with it two calls may be lost before a change counts as
/// notified.
const MAX_WAIT_WHERE_POLLED: f64 = 400_000.0;
/// The longest wait as a part of the polling interval.
const MAX_WAIT_PART_OF_INTERVAL: f64 = 1.0 / 2.0;
/// The wait before the first doubling, as a part of the longest one.
const FIRST_WAIT_PART: f64 = 1.0 / 16.0;
/// How often the wait doubles at most.
const MAX_DOUBLINGS: u32 = 8;
/// Least factor by jitter; it is drawn from there to as much more.
const MIN_JITTER: f64 = 0.5;
/// Sizes are taken as no less and no more than this.
const SIZES: std::ops::RangeInclusive<f64> = 1e-3..=1e6;

/// How the list has been asked for.
#[derive(Default)]
pub struct ListFollower {
    subscribed: bool,
    /// Failed calls since the last list.
    failures: u32,
}

impl ListFollower {
    /// Waits longer with each failed call. Where changes are pushed, what is missed counts as
    /// notified, and asking costs nobody anything.
    fn wait_after_failure(&mut self, settings: &Settings, rng: &mut fastrand::Rng) -> f64 {
        self.failures += 1;
        let interval = settings.rules.poll_interval as f64;
        let longest = match settings.discovery {
            Discovery::Pushed => MAX_WAIT_WHERE_PUSHED,
            Discovery::OnRequest => (interval * MAX_WAIT_PART_OF_INTERVAL)
                .clamp(MAX_WAIT_WHERE_PUSHED, MAX_WAIT_WHERE_POLLED),
        };
        let doubled = f64::from(1u32 << self.failures.min(MAX_DOUBLINGS));
        let grown = (longest * FIRST_WAIT_PART * doubled).min(longest);
        grown * (MIN_JITTER + MIN_JITTER * rng.f64())
    }
}

impl Balancer {
    /// Subscribes to the list with the first event, where it does not come unasked.
    pub(super) fn subscribe_once(&mut self, out: &mut Vec<Action>) {
        if self.settings.discovery == Discovery::OnRequest && !self.list.subscribed {
            self.list.subscribed = true;
            out.push(Action::Subscribe(true));
        }
    }

    /// Follows the list. Draining, gone and missing endpoints get nothing from now on.
    pub(super) fn follow_list(&mut self, now: Timestamp, update: ListUpdate) {
        let entries = match update {
            ListUpdate::Failed => {
                let wait = self.list.wait_after_failure(&self.settings, &mut self.rng);
                return self.timers.set(after(now, wait), Wake::Poll);
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
        self.list.failures = 0;
        for entry in entries {
            if entry.endpoint < MAX_ENDPOINTS {
                self.follow_entry(now, entry);
            }
        }
        self.forget_gone();
    }

    fn follow_entry(&mut self, now: Timestamp, entry: Listing) {
        let id = entry.endpoint;
        let endpoints = self.endpoints.len().max(id + 1);
        self.endpoints.resize_with(endpoints, Endpoint::default);
        if !self.endpoints[id].known {
            self.add_endpoint(now, id);
        }
        let endpoint = &mut self.endpoints[id];
        endpoint.listed = entry.status != Status::Gone;
        endpoint.ready = entry.status == Status::Ready;
        endpoint.zone = entry.zone;
        endpoint.cell = entry.cell;
        endpoint.kind = entry.kind;
        endpoint.alias = entry.alias;
        endpoint.size = if entry.size > 0.0 {
            entry.size.clamp(*SIZES.start(), *SIZES.end())
        } else {
            1.0
        };
        if entry.started > endpoint.started {
            self.replace_process(now, id, entry.started);
        }
    }

    /// Adds an endpoint of which nothing is known, at a random place of the rotation.
    fn add_endpoint(&mut self, now: Timestamp, id: EndpointId) {
        let deficit = self.rng.f64();
        self.rotation.insert(id, &mut self.rng);
        self.endpoints[id] = Endpoint {
            known: true,
            deficit,
            last_heard: now,
            bulkhead: Bulkhead::new(self.initial_limit),
            latency: EndpointLatency {
                per_work: self.latency.fleet(),
            },
            ..Endpoint::default()
        };
    }

    /// Another process answers there now: what was known of the earlier one is void, its circuit
    /// too. What it gets while it warms up is bounded, and by rationed trials a whole site would
    /// take half a minute to come back.
    fn replace_process(&mut self, now: Timestamp, id: EndpointId, started: Option<Timestamp>) {
        let endpoint = &mut self.endpoints[id];
        endpoint.latency.per_work = self.latency.fleet();
        endpoint.circuit = CircuitBreaker::default();
        endpoint.ejection = None;
        self.begin_slow_start(now, id, started.unwrap_or(now));
    }

    /// Forgets endpoints that are gone, once no open request has been there: one that is replaced
    /// over and over must cost neither memory nor time at each pick.
    fn forget_gone(&mut self) {
        let attempts = self.requests.values().flat_map(|request| &request.attempts);
        let tried: BTreeSet<EndpointId> = attempts.map(|attempt| attempt.endpoint).collect();
        for (id, endpoint) in self.endpoints.iter_mut().enumerate() {
            let in_use = endpoint.listed || !endpoint.in_flight.is_empty() || tried.contains(&id);
            if endpoint.known && !in_use {
                *endpoint = Endpoint::default();
            }
        }
        let endpoints = &self.endpoints;
        self.rotation.retain(|id| endpoints[id].known);
        let known = endpoints.iter().filter(|endpoint| endpoint.known);
        let cells: BTreeSet<u64> = known.map(|endpoint| endpoint.cell).collect();
        self.latency.retain_groups(|cell| cells.contains(&cell));
    }
}
