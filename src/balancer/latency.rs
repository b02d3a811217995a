//! How long endpoints take for a unit of work: each one, its kind, its group and the whole fleet.

use super::decayed_sum::part_left;
use super::endpoint::Endpoint;
use super::latency_group::LatencyGroup;
use crate::api::*;
use std::collections::BTreeMap;

/// Weight of the newest answer in one endpoint's latency.
const NEWEST_OF_ENDPOINT: f64 = 0.2;
/// Weight of the newest answer in the fleet's latency, and its least weight in that of a kind.
const NEWEST_OF_FLEET: f64 = 0.02;
/// Answers from which on the unloaded latency counts as known.
const ANSWERS_UNTIL_KNOWN: f64 = 50.0;
/// Weight of a higher latency in the unloaded latency before it is known, and of a lower one at any
/// time.
const UNLOADED_WEIGHT: f64 = 0.2;
/// Weight of a higher latency in the unloaded latency once it is known: a jam must not pass for the
/// usual latency, a lasting change will.
const KNOWN_UNLOADED_WEIGHT: f64 = 0.00001;
/// Part of the latency objective that an attempt takes at least without load: a fleet slow for good
/// but well inside its objectives is not crowded.
const UNLOADED_PART_OF_OBJECTIVE: f64 = 0.14;
/// What one attempt counts at most against the fleet's latency.
const MAX_SAMPLE_OF_FLEET: f64 = 20.0;
/// What one answer counts at most against the latency of its kind.
const MAX_SAMPLE_OF_KIND: f64 = 4.0;
/// What one attempt counts at most in the slowdown of a group.
const MAX_SLOWDOWN_SAMPLE: f64 = 8.0;
/// Part of the latency objective that an attempt may take on average; one in twenty takes three
/// times the mean where times spread like waits in a queue.
const TARGET_PART_OF_OBJECTIVE: f64 = 0.35;
/// What an attempt may take on average, and from which multiple on load counts in full, in unloaded
/// latencies.
pub const MAX_STRETCH: f64 = 3.6;

/// Latency of one kind of endpoint.
struct KindLatency {
    per_work: f64,
    observed_at: Timestamp,
}

/// An attempt's time for a unit of its work, bounded.
#[derive(Clone, Copy)]
pub struct Sample(f64);

/// Latency of kinds, of groups and of the whole fleet, as this instance sees them.
pub struct LatencyEstimator {
    /// Time constant of what is learnt.
    memory: Micros,
    /// Time that the fleet takes for a unit of expected work, in such units.
    per_work: f64,
    /// The same without load.
    unloaded: f64,
    answers: f64,
    kinds: BTreeMap<Option<KindId>, KindLatency>,
    /// How slow each group of endpoints is against their kinds.
    groups: BTreeMap<u64, LatencyGroup>,
}

impl LatencyEstimator {
    /// One that has seen nothing: a unit of work takes one.
    pub fn new(memory: Micros) -> Self {
        Self {
            memory,
            per_work: 1.0,
            unloaded: 1.0,
            answers: 0.0,
            kinds: BTreeMap::new(),
            groups: BTreeMap::new(),
        }
    }

    /// Latency of the fleet per unit of work.
    pub fn fleet(&self) -> f64 {
        self.per_work
    }

    /// Latency of a kind of endpoint per unit of work; the fleet's where none has answered.
    pub fn of_kind(&self, kind: Option<KindId>) -> f64 {
        let known = self.kinds.get(&kind);
        known.map_or(self.per_work, |latency| latency.per_work)
    }

    /// Latency of an endpoint per unit of work: what its own answers say, and as they grow old what
    /// those of its whole kind and group say. One sidecar in many sees too little of each endpoint
    /// to tell them apart.
    pub fn of_endpoint(&self, now: Timestamp, endpoint: &Endpoint) -> f64 {
        let group = self.groups.get(&endpoint.cell);
        let usual = self.of_kind(endpoint.kind) * group.map_or(1.0, LatencyGroup::slowdown);
        let own_weight = part_left(now, endpoint.last_heard, self.memory);
        usual + (endpoint.latency.per_work - usual) * own_weight
    }

    /// The larger of an endpoint's and the fleet's latency per unit of work, by answers alone.
    pub fn slower_of(&self, endpoint: &Endpoint) -> f64 {
        self.per_work.max(endpoint.latency.per_work)
    }

    /// Latency of the fleet per unit of work without load. `objective_use` is the part of its
    /// objective that a request's work is.
    pub fn unloaded(&self, objective_use: f64) -> f64 {
        self.unloaded
            .max(UNLOADED_PART_OF_OBJECTIVE / objective_use)
    }

    /// What an attempt may take on average per unit of work.
    pub fn target(&self, objective_use: f64) -> f64 {
        (TARGET_PART_OF_OBJECTIVE / objective_use).min(MAX_STRETCH * self.unloaded)
    }

    /// An attempt at `work` that took that many microseconds.
    pub fn sample(&self, took: f64, work: f64) -> Sample {
        Sample((took / work.max(1.0)).min(MAX_SAMPLE_OF_FLEET * self.per_work))
    }

    /// An attempt had no answer in time: its group is slow, whatever its own endpoint does.
    pub fn record_timeout(&mut self, now: Timestamp, endpoint: &Endpoint, sample: Sample) {
        let slowdown = (sample.0 / self.of_kind(endpoint.kind)).min(MAX_SLOWDOWN_SAMPLE);
        let group = self.groups.entry(endpoint.cell).or_default();
        group.record(now, slowdown, false, self.memory);
    }

    /// Takes an answer into the latency of its endpoint, which was `before`, and of its kind and
    /// group. Returns how many times slower than its kind it was.
    pub fn record_answer(
        &mut self,
        now: Timestamp,
        endpoint: &mut Endpoint,
        before: f64,
        sample: Sample,
    ) -> f64 {
        endpoint.latency.per_work = before + NEWEST_OF_ENDPOINT * (sample.0 - before);
        let kind = self.kinds.entry(endpoint.kind).or_insert(KindLatency {
            per_work: self.per_work,
            observed_at: now,
        });
        let weight = (1.0 - part_left(now, kind.observed_at, self.memory)).max(NEWEST_OF_FLEET);
        let bounded = sample.0.min(MAX_SAMPLE_OF_KIND * kind.per_work);
        kind.per_work += weight * (bounded - kind.per_work);
        kind.observed_at = now;
        let slowdown = sample.0 / kind.per_work;
        let group = self.groups.entry(endpoint.cell).or_default();
        group.record(now, slowdown.min(MAX_SLOWDOWN_SAMPLE), true, self.memory);
        slowdown
    }

    /// Takes an answer into the latency of the fleet, with load and without.
    pub fn record_fleet_answer(&mut self, sample: Sample) {
        self.per_work += NEWEST_OF_FLEET * (sample.0 - self.per_work);
        self.answers += 1.0;
        let known = self.per_work >= self.unloaded && self.answers >= ANSWERS_UNTIL_KNOWN;
        let weight = if known {
            KNOWN_UNLOADED_WEIGHT
        } else {
            UNLOADED_WEIGHT
        };
        self.unloaded += weight * (self.per_work - self.unloaded);
    }

    /// Counts an attempt in flight that has taken this many usual times of its kind.
    pub fn add_in_flight(&mut self, cell: u64, slowdowns: impl Iterator<Item = f64>) {
        let group = self.groups.entry(cell).or_default();
        for slowdown in slowdowns {
            group.add_in_flight(slowdown.clamp(0.0, MAX_SLOWDOWN_SAMPLE));
        }
    }

    /// Brings the slowdown of each group up to date.
    pub fn refresh(&mut self, now: Timestamp) {
        for group in self.groups.values_mut() {
            group.refresh(now, self.memory);
        }
    }

    /// Forgets groups without endpoints.
    pub fn retain_groups(&mut self, holds: impl Fn(u64) -> bool) {
        self.groups.retain(|cell, _| holds(*cell));
    }

    /// Whether no answer has been seen yet, so that what was known before a restart counts.
    pub fn is_blank(&self) -> bool {
        self.answers == 0.0
    }

    /// Takes the mean latency of the endpoints known before a restart: this is number `count` of
    /// them.
    pub fn restore(&mut self, per_work: f64, count: f64) {
        self.per_work += (per_work - self.per_work) / count;
        self.unloaded = self.per_work;
    }
}
