//! Slow start: what a process that has just started may be sent, over all first attempts, retries
//! and trials.

use super::decayed_sum::DecayedSum;
use super::endpoint::Endpoint;
use super::slow_start_credit::SlowStartCredit;
use crate::api::*;

/// Part of the overload factor that a warming endpoint is sent at most.
const PART_OF_OVERLOAD_FACTOR: f64 = 0.6;
/// Least part of its capacity that a warming endpoint counts with.
const MIN_CAPACITY: f64 = 0.01;
/// Windows over which served work is counted, in overload windows.
const SERVED_IN_OVERLOAD_WINDOWS: Micros = 2;
/// Credit that an endpoint saves up at most, as a part of what an overload window brings.
const SAVED_PART_OF_WINDOW: f64 = 1.0 / 4.0;

/// How much warming endpoints may be sent.
pub struct SlowStart {
    /// Part of its capacity that an endpoint has at its start.
    initial_capacity: f64,
    warmup_time: f64,
    overload_factor: f64,
    /// In microseconds, at least one.
    overload_window: f64,
    served_window: Micros,
    instances: f64,
    /// Work served by all endpoints.
    served: DecayedSum,
}

impl SlowStart {
    /// By the rules of the settings, for one of `instances`.
    pub fn new(rules: &Rules, instances: u32) -> Self {
        Self {
            initial_capacity: rules.cold_capacity,
            warmup_time: (rules.warmup_time as f64).max(1.0),
            overload_factor: rules.overload_factor,
            overload_window: (rules.overload_window as f64).max(1.0),
            served_window: SERVED_IN_OVERLOAD_WINDOWS * rules.overload_window,
            instances: f64::from(instances.max(1)),
            served: DecayedSum::default(),
        }
    }

    /// Counts work that was served.
    pub fn record_served(&mut self, now: Timestamp, work: f64) {
        self.served.add(now, work, self.served_window);
    }

    /// Part of its capacity that an endpoint surely has: it grows evenly with the age of its
    /// process, up to 1.
    pub fn capacity(&self, now: Timestamp, endpoint: &Endpoint) -> f64 {
        let Some(started) = endpoint.started else {
            return 1.0;
        };
        let age = now.saturating_sub(started).max(0) as f64 / self.warmup_time;
        let grown = self.initial_capacity + (1.0 - self.initial_capacity) * age;
        grown.clamp(MIN_CAPACITY, 1.0)
    }

    /// Work a microsecond that a warming endpoint earns: its part of what warm ones of its size are
    /// seen to serve, but at least one request in an overload window, parted among all instances,
    /// since one request each of a thousand instances would push it over.
    fn credit_rate(&self, endpoint: &Endpoint, capacity: f64, fleet: &FleetInUse) -> f64 {
        let served = self.served.last() / (2.0 * self.overload_window) * endpoint.size
            / (fleet.total_size * fleet.part_in_use);
        let least = fleet.mean_work / (self.overload_window * self.instances);
        (served * self.overload_factor * PART_OF_OVERLOAD_FACTOR * capacity).max(least)
    }

    /// Work that an endpoint may still be sent; without bound once it is warm.
    fn credit(
        &self,
        now: Timestamp,
        endpoint: &Endpoint,
        fleet: impl FnOnce() -> FleetInUse,
    ) -> f64 {
        let capacity = self.capacity(now, endpoint);
        if capacity >= 1.0 {
            return f64::INFINITY;
        }
        let fleet = fleet();
        let rate = self.credit_rate(endpoint, capacity, &fleet);
        let credit = &endpoint.slow_start;
        let earned = rate * now.saturating_sub(credit.updated).max(0) as f64;
        let most = (rate * self.overload_window * SAVED_PART_OF_WINDOW).max(fleet.mean_work);
        (credit.work + earned).min(most)
    }
}

/// The endpoints that this instance uses, against which a warming one is measured.
struct FleetInUse {
    /// Sizes of all that are ready.
    total_size: f64,
    /// The part of them that lies within the endpoint subset: what this instance serves is parted
    /// among those.
    part_in_use: f64,
    /// Mean work of a request.
    mean_work: f64,
}

impl super::Balancer {
    /// Work that an endpoint may still be sent in slow start; a send takes a whole request's.
    pub(super) fn slow_start_credit(&self, now: Timestamp, endpoint: &Endpoint) -> f64 {
        self.slow_start.credit(now, endpoint, || {
            let ready = self.endpoints.iter().filter(|endpoint| endpoint.ready);
            let (count, total_size) = ready.fold((0.0, 0.0), |(count, size), endpoint| {
                (count + 1.0, size + endpoint.size)
            });
            FleetInUse {
                total_size,
                part_in_use: (self.subset_size(now) / f64::max(count, 1.0)).min(1.0),
                mean_work: self.work.mean(),
            }
        })
    }

    /// A process has just started. Its credit begins at a random part of a request, so that
    /// instances come apart.
    pub(super) fn begin_slow_start(&mut self, now: Timestamp, id: EndpointId, started: Timestamp) {
        let credit = self.rng.f64() * self.work.mean();
        let endpoint = &mut self.endpoints[id];
        endpoint.started = endpoint.started.max(Some(started));
        endpoint.slow_start = SlowStartCredit::new(credit, now);
    }
}
