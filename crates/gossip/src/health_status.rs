//! Derives the health status of endpoints for one member, and thereby which are ejected.
//!
//! Observations count by zone, because a partition looks like the failure of everything behind it:
//! an endpoint is ejected for the members of a zone only if enough members of that zone found it
//! unhealthy. If several zones did, the endpoint itself has failed, and they share the trial
//! requests. A member that finds most endpoints unhealthy is likely partitioned, slow or faulty,
//! and is ignored.

use crate::Micros;
use crate::observation_table::{Observation, ObservedHealth};

/// Status of an endpoint according to all members' observations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionStatus {
    /// No effect: each member decides alone.
    NotEjected,
    /// The endpoint receives nothing for now.
    Ejected,
    /// It is ejected, and this member may send a trial request.
    TrialDue,
    /// It was ejected, and trial requests of members were served.
    Recovered,
}

/// Parameters of ejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionPolicy {
    /// Age from which on an observation has no effect.
    pub max_staleness: Micros,
    /// Members of one zone that must have found an endpoint unhealthy.
    pub min_reporters: usize,
    /// Time between an ejection and its first trial request.
    pub ejection_time: Micros,
}

/// Number of observations by health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ObservationCount {
    unhealthy: usize,
    healthy: usize,
}

impl ObservationCount {
    fn from_observations(data: &[Observation]) -> Self {
        let healthy = data
            .iter()
            .filter(|d| d.health == ObservedHealth::Healthy)
            .count();
        Self {
            unhealthy: data.len() - healthy,
            healthy,
        }
    }

    /// More than twice as many unhealthy as healthy observations: one faulty member cannot keep an
    /// endpoint in use, and two successful trials end an ejection.
    fn is_unhealthy(&self) -> bool {
        self.unhealthy > 2 * self.healthy
    }
}

/// The health status of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HealthStatus {
    /// Whether it is unhealthy for this member.
    pub unhealthy: bool,
    /// Until when, without further observations.
    pub until: Micros,
    /// Zones that found it unhealthy, including this member's own.
    pub zones: Vec<u64>,
    /// The newest observation and its time.
    pub newest: Option<(ObservedHealth, Micros)>,
    /// Whether enough of its trial requests were served.
    pub served: bool,
}

/// Evaluates the observations of a process for a member in `zone`. `ejected_by` are the zones that
/// caused the current ejection, if any; `is_counted` filters reporters; `members_in_zone` returns
/// the number of members of a zone, this one included.
///
/// An ejection needs the configured number of reporters over all zones that find the process
/// unhealthy, one of them in the own zone: what others observe because of a partition must not
/// affect a zone that is served. The ejection continues while the newest trial requests fail.
pub fn evaluate<'a>(
    data: impl Iterator<Item = (u64, &'a [Observation])>,
    now: Micros,
    zone: u64,
    ejected_by: Option<&[u64]>,
    policy: &EjectionPolicy,
    is_counted: impl Fn(&Observation) -> bool,
    members_in_zone: impl Fn(u64) -> usize,
) -> HealthStatus {
    let fresh = |d: &&Observation| now - d.seen < policy.max_staleness && is_counted(d);
    let (mut all, mut zones, mut available_reporters) = (Vec::new(), Vec::new(), 0);
    for (observed_zone, data) in data {
        let data: Vec<Observation> = data.iter().filter(fresh).copied().collect();
        // Once ejected, the zones that made trial requests may report success alone.
        if ObservationCount::from_observations(&data).is_unhealthy()
            || ejected_by.is_some_and(|zones| zones.contains(&observed_zone))
        {
            zones.push(observed_zone);
            available_reporters += members_in_zone(observed_zone);
            all.extend(data);
        }
    }
    if !zones.contains(&zone) {
        return HealthStatus::default();
    }
    all.sort_by_key(|d: &Observation| std::cmp::Reverse((d.seen, d.origin)));
    all.truncate(crate::observation_table::MAX_OBSERVATIONS_PER_ZONE);
    let count = ObservationCount::from_observations(&all);
    // A small fleet has fewer possible reporters, but one alone never suffices.
    let min_reporters = if ejected_by.is_some() {
        1
    } else {
        policy.min_reporters.min(available_reporters).max(2)
    };
    let mut failure_times = all
        .iter()
        .filter(|d| d.health == ObservedHealth::Unhealthy)
        .map(|d| d.seen);
    let last_needed = failure_times.nth(min_reporters - 1).unwrap_or(0);
    HealthStatus {
        unhealthy: count.unhealthy >= min_reporters && count.is_unhealthy(),
        until: last_needed.saturating_add(policy.max_staleness),
        zones,
        newest: all.first().map(|d| (d.health, d.seen)),
        served: count.healthy > 0 && !count.is_unhealthy(),
    }
}

#[cfg(test)]
mod tests;
