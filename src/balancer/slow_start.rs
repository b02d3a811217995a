//! Slow start: limits what a process that has just started receives, over first attempts, retries
//! and trial requests.

use super::decayed_sum::DecayedSum;
use super::endpoint::Endpoint;
use super::slow_start_credit::SlowStartCredit;
use crate::api::*;

/// Maximum rate of a warming endpoint as a fraction of the overload factor.
const MAX_FRACTION_OF_OVERLOAD_FACTOR: f64 = 0.6;
/// Minimum capacity of a warming endpoint, as a fraction of its full capacity.
const MIN_CAPACITY: f64 = 0.01;
/// Window over which served work is counted, in overload windows.
const SERVED_WINDOW_IN_OVERLOAD_WINDOWS: Micros = 2;
/// Maximum credit that an endpoint saves up, as a fraction of the credit of one overload window.
const MAX_SAVED_FRACTION_OF_WINDOW: f64 = 1.0 / 4.0;

/// Limits on what warming endpoints receive.
pub struct SlowStart {
    /// Capacity of an endpoint at its start, as a fraction of its full capacity.
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
    /// Creates the limits from the rules in the settings, for one of `instances` sidecars.
    pub fn new(rules: &Rules, instances: u32) -> Self {
        Self {
            initial_capacity: rules.cold_capacity,
            warmup_time: (rules.warmup_time as f64).max(1.0),
            overload_factor: rules.overload_factor,
            overload_window: (rules.overload_window as f64).max(1.0),
            served_window: SERVED_WINDOW_IN_OVERLOAD_WINDOWS * rules.overload_window,
            instances: f64::from(instances.max(1)),
            served: DecayedSum::default(),
        }
    }

    /// Records served work.
    pub fn record_served(&mut self, now: Timestamp, work: f64) {
        self.served.add(now, work, self.served_window);
    }

    /// Returns the guaranteed capacity of an endpoint as a fraction of its full capacity: it grows
    /// linearly with the age of its process, up to 1.
    pub fn capacity(&self, now: Timestamp, endpoint: &Endpoint) -> f64 {
        let Some(started) = endpoint.started else {
            return 1.0;
        };
        let age = now.saturating_sub(started).max(0) as f64 / self.warmup_time;
        let capacity = self.initial_capacity + (1.0 - self.initial_capacity) * age;
        capacity.clamp(MIN_CAPACITY, 1.0)
    }

    /// Returns the credit of a warming endpoint in work per microsecond: its share of the work that
    /// warm endpoints of its size are observed to serve, but at least one request per overload
    /// window, divided among all instances: one request from each of a thousand instances would
    /// overload it.
    fn credit_rate(&self, endpoint: &Endpoint, capacity: f64, fleet: &FleetInUse) -> f64 {
        let served = self.served.last_value() / (2.0 * self.overload_window) * endpoint.size
            / (fleet.total_size * fleet.fraction_in_use);
        let min_rate = fleet.mean_work / (self.overload_window * self.instances);
        (served * self.overload_factor * MAX_FRACTION_OF_OVERLOAD_FACTOR * capacity).max(min_rate)
    }

    /// Returns the work that an endpoint may still receive; unlimited once it is warm.
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
        let earned = rate * now.saturating_sub(credit.updated_at).max(0) as f64;
        let max_credit =
            (rate * self.overload_window * MAX_SAVED_FRACTION_OF_WINDOW).max(fleet.mean_work);
        (credit.work + earned).min(max_credit)
    }
}

/// The endpoints that this instance uses, with which a warming endpoint is compared.
struct FleetInUse {
    /// Total size of the ready endpoints.
    total_size: f64,
    /// Fraction of them in the endpoint subset: the work that this instance serves is spread over
    /// those.
    fraction_in_use: f64,
    /// Mean work of a request.
    mean_work: f64,
}

impl super::Balancer {
    /// Returns the work that an endpoint may still receive in slow start; an attempt deducts the
    /// work of a whole request.
    pub(super) fn slow_start_credit(&self, now: Timestamp, endpoint: &Endpoint) -> f64 {
        self.slow_start.credit(now, endpoint, || {
            let ready = self.endpoints.iter().filter(|endpoint| endpoint.ready);
            let (count, total_size) = ready.fold((0.0, 0.0), |(count, size), endpoint| {
                (count + 1.0, size + endpoint.size)
            });
            FleetInUse {
                total_size,
                fraction_in_use: (self.subset_size(now) / f64::max(count, 1.0)).min(1.0),
                mean_work: self.work_estimate.mean(),
            }
        })
    }

    /// Begins the slow start of a process that has just started. The initial credit is a random
    /// fraction of a request, so that instances do not all send at the same time.
    pub(super) fn begin_slow_start(&mut self, now: Timestamp, id: EndpointId, started: Timestamp) {
        let credit = self.rng.f64() * self.work_estimate.mean();
        let endpoint = &mut self.endpoints[id];
        endpoint.started = endpoint.started.max(Some(started));
        endpoint.slow_start = SlowStartCredit::new(credit, now);
    }
}
