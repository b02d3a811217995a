//! Latency per unit of work: of each endpoint, its kind, its group and the whole fleet.

use super::decayed_sum::decay_factor;
use super::endpoint::Endpoint;
use super::latency_group::LatencyGroup;
use crate::api::*;
use std::collections::BTreeMap;

/// Weight of the newest answer in the latency of its endpoint.
const ENDPOINT_SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of the newest answer in the latency of the fleet, and its minimum weight in the latency
/// of a kind.
const FLEET_SAMPLE_WEIGHT: f64 = 0.02;
/// Number of answers after which the unloaded latency counts as known.
const ANSWERS_UNTIL_KNOWN: f64 = 50.0;
/// Weight of a sample in the unloaded latency while it is not known; also the weight of lower
/// samples at any time.
const UNLOADED_WEIGHT: f64 = 0.2;
/// Weight of a higher sample in the unloaded latency once it is known. A temporary overload must
/// not be taken for the normal latency, but a lasting change eventually is.
const KNOWN_UNLOADED_WEIGHT: f64 = 0.00001;
/// Minimum unloaded latency as a fraction of the latency objective: a fleet that is permanently
/// slow but well within its objectives is not overloaded.
const MIN_UNLOADED_FRACTION_OF_OBJECTIVE: f64 = 0.14;
/// Upper bound of a sample, as a multiple of the fleet's latency.
const MAX_SAMPLE_TO_FLEET_RATIO: f64 = 20.0;
/// Upper bound of a sample in the latency of its kind, as a multiple of that latency.
const MAX_SAMPLE_TO_KIND_RATIO: f64 = 4.0;
/// Upper bound of the slowdown of one attempt.
const MAX_SLOWDOWN_SAMPLE: f64 = 8.0;
/// Mean latency of attempts that the limits aim for, as a fraction of the latency objective: if
/// latencies are distributed like waits in a queue, one attempt in twenty takes three times the
/// mean.
const TARGET_FRACTION_OF_OBJECTIVE: f64 = 0.35;
/// Maximum mean latency of attempts in unloaded latencies; load counts in full from there on.
pub const MAX_MEAN_SLOWDOWN: f64 = 3.6;

/// Latency of one kind of endpoint, per unit of work.
struct KindLatency {
    per_work: f64,
    observed_at: Timestamp,
}

/// Latency of one attempt per unit of its work, bounded.
#[derive(Clone, Copy)]
pub struct Sample(f64);

/// Latency of kinds, groups and the whole fleet, as observed by this instance.
pub struct LatencyEstimator {
    /// Time constant of the estimates.
    time_constant: Micros,
    /// Latency of the fleet per unit of expected work, as a ratio.
    per_work: f64,
    /// The same without load.
    unloaded: f64,
    answers: f64,
    kinds: BTreeMap<Option<KindId>, KindLatency>,
    /// Slowdown of each group of endpoints compared with their kinds.
    groups: BTreeMap<u64, LatencyGroup>,
}

impl LatencyEstimator {
    /// Creates an estimator without observations: a unit of work takes one unit of time.
    pub fn new(time_constant: Micros) -> Self {
        Self {
            time_constant,
            per_work: 1.0,
            unloaded: 1.0,
            answers: 0.0,
            kinds: BTreeMap::new(),
            groups: BTreeMap::new(),
        }
    }

    /// Returns the latency of the fleet per unit of work.
    pub fn fleet(&self) -> f64 {
        self.per_work
    }

    /// Returns the latency of a kind of endpoint per unit of work, or that of the fleet if no
    /// endpoint of the kind has answered.
    pub fn for_kind(&self, kind: Option<KindId>) -> f64 {
        let known = self.kinds.get(&kind);
        known.map_or(self.per_work, |latency| latency.per_work)
    }

    /// Returns the latency of an endpoint per unit of work: measured by its own answers and, as
    /// they age, increasingly by those of its kind and group. In a large fleet one sidecar sees too
    /// few answers of each endpoint to tell them apart.
    pub fn for_endpoint(&self, now: Timestamp, endpoint: &Endpoint) -> f64 {
        let group = self.groups.get(&endpoint.cell);
        let expected = self.for_kind(endpoint.kind) * group.map_or(1.0, LatencyGroup::slowdown);
        let own_weight = decay_factor(now, endpoint.last_outcome_at, self.time_constant);
        expected + (endpoint.latency.per_work - expected) * own_weight
    }

    /// Returns the larger of the endpoint's and the fleet's latency per unit of work, by answers
    /// alone.
    pub fn slower_of(&self, endpoint: &Endpoint) -> f64 {
        self.per_work.max(endpoint.latency.per_work)
    }

    /// Returns the latency of the fleet per unit of work without load. `objective_use` is the mean
    /// work of a request as a fraction of its objective.
    pub fn unloaded(&self, objective_use: f64) -> f64 {
        self.unloaded
            .max(MIN_UNLOADED_FRACTION_OF_OBJECTIVE / objective_use)
    }

    /// Returns the mean latency per unit of work that limits aim for.
    pub fn target(&self, objective_use: f64) -> f64 {
        (TARGET_FRACTION_OF_OBJECTIVE / objective_use).min(MAX_MEAN_SLOWDOWN * self.unloaded)
    }

    /// Returns the sample of an attempt with `work` that took `elapsed` microseconds.
    pub fn sample(&self, elapsed: f64, work: f64) -> Sample {
        Sample((elapsed / work.max(1.0)).min(MAX_SAMPLE_TO_FLEET_RATIO * self.per_work))
    }

    /// Records an attempt that timed out: its group is slow, whatever its own endpoint does.
    pub fn record_timeout(&mut self, now: Timestamp, endpoint: &Endpoint, sample: Sample) {
        let slowdown = (sample.0 / self.for_kind(endpoint.kind)).min(MAX_SLOWDOWN_SAMPLE);
        let group = self.groups.entry(endpoint.cell).or_default();
        group.record(now, slowdown, false, self.time_constant);
    }

    /// Updates the latency of the endpoint, which was `previous`, of its kind and of its group with
    /// an answer. Returns how many times slower than its kind the answer was.
    pub fn record_answer(
        &mut self,
        now: Timestamp,
        endpoint: &mut Endpoint,
        previous: f64,
        sample: Sample,
    ) -> f64 {
        endpoint.latency.per_work = previous + ENDPOINT_SAMPLE_WEIGHT * (sample.0 - previous);
        let kind = self.kinds.entry(endpoint.kind).or_insert(KindLatency {
            per_work: self.per_work,
            observed_at: now,
        });
        let weight = (1.0 - decay_factor(now, kind.observed_at, self.time_constant))
            .max(FLEET_SAMPLE_WEIGHT);
        let bounded = sample.0.min(MAX_SAMPLE_TO_KIND_RATIO * kind.per_work);
        kind.per_work += weight * (bounded - kind.per_work);
        kind.observed_at = now;
        let slowdown = sample.0 / kind.per_work;
        let group = self.groups.entry(endpoint.cell).or_default();
        group.record(
            now,
            slowdown.min(MAX_SLOWDOWN_SAMPLE),
            true,
            self.time_constant,
        );
        slowdown
    }

    /// Updates the latency of the fleet, with and without load, with an answer.
    pub fn record_fleet_answer(&mut self, sample: Sample) {
        self.per_work += FLEET_SAMPLE_WEIGHT * (sample.0 - self.per_work);
        self.answers += 1.0;
        let known = self.per_work >= self.unloaded && self.answers >= ANSWERS_UNTIL_KNOWN;
        let weight = if known {
            KNOWN_UNLOADED_WEIGHT
        } else {
            UNLOADED_WEIGHT
        };
        self.unloaded += weight * (self.per_work - self.unloaded);
    }

    /// Counts attempts in flight by how many expected latencies of their kind they have taken.
    pub fn add_in_flight(&mut self, cell: u64, slowdowns: impl Iterator<Item = f64>) {
        let group = self.groups.entry(cell).or_default();
        for slowdown in slowdowns {
            group.add_in_flight(slowdown.clamp(0.0, MAX_SLOWDOWN_SAMPLE));
        }
    }

    /// Updates the slowdown of each group.
    pub fn refresh(&mut self, now: Timestamp) {
        for group in self.groups.values_mut() {
            group.refresh(now, self.time_constant);
        }
    }

    /// Removes the groups for which `keep` returns false.
    pub fn retain_groups(&mut self, keep: impl Fn(u64) -> bool) {
        self.groups.retain(|cell, _| keep(*cell));
    }

    /// Returns whether no answer has been observed yet, so that restored latencies apply.
    pub fn has_no_answers(&self) -> bool {
        self.answers == 0.0
    }

    /// Adds the latency of an endpoint known before a restart to the mean; `count` is the number of
    /// endpoints added so far, including this one.
    pub fn restore(&mut self, per_work: f64, count: f64) {
        self.per_work += (per_work - self.per_work) / count;
        self.unloaded = self.per_work;
    }
}
