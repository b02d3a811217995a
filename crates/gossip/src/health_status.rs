//! Derives the health status of endpoints for one member: which of them are ejected.
//!
//! Others' observations count by zone, as a cut shows as the death of everything behind it: an
//! endpoint is ejected for those in whose own zone enough members have found it unhealthy. Where
//! several zones have, it is the endpoint and not the way, and they share the trials. Who finds
//! most of all endpoints sick is likely cut off, slow or lying, and is not listened to.

use crate::Micros;
use crate::observation_table::{Observation, ObservedHealth};

/// What the members' health observations make of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionStatus {
    /// Nothing: the member decides alone.
    NotEjected,
    /// It gets nothing for now.
    Ejected,
    /// It is ejected, and this member may send it a trial request.
    TrialDue,
    /// It was ejected, and members that tried it were served.
    Recovered,
}

/// When an endpoint is ejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionPolicy {
    /// Maximum staleness: from this age on an observation has no effect.
    pub max_staleness: Micros,
    /// Members of one zone that must have found an endpoint unhealthy.
    pub min_reporters: usize,
    /// How long it is ejected before its first trial.
    pub ejection_time: Micros,
}

/// Signs that count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ObservationCount {
    unhealthy: usize,
    healthy: usize,
}

impl ObservationCount {
    fn of(data: &[Observation]) -> Self {
        let healthy = data
            .iter()
            .filter(|d| d.health == ObservedHealth::Healthy)
            .count();
        Self {
            unhealthy: data.len() - healthy,
            healthy,
        }
    }

    /// More than twice as many found it unhealthy as were served since: one that errs, or lies,
    /// does not keep the others out, and two trials that went well end it.
    fn unhealthy(&self) -> bool {
        self.unhealthy > 2 * self.healthy
    }
}

/// What is known of one process, weighed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HealthStatus {
    /// It is sick for this member.
    pub unhealthy: bool,
    /// Until then, where nothing more is heard.
    pub until: Micros,
    /// Zones that found it unhealthy, this member's own among them.
    pub zones: Vec<u64>,
    /// The newest sign, and when it was seen.
    pub newest: Option<(ObservedHealth, Micros)>,
    /// Of those that tried it, enough were served.
    pub served: bool,
}

/// Weighs what is known of a process for a member in `zone`, for which it is ejected since the
/// zones given found it unhealthy, or not yet. `counts` says whether a datum's origin is one to
/// listen to; `members` how many that zone has, this member included.
///
/// To rest it needs as many reporters as the weights say, over all zones that find it sick, and one
/// of the own zone: what others see of a cut is nothing to a zone that is served. It goes on to
/// rest while the newest trials fail.
pub fn evaluate<'a>(
    data: impl Iterator<Item = (u64, &'a [Observation])>,
    now: Micros,
    zone: u64,
    rests: Option<&[u64]>,
    policy: &EjectionPolicy,
    counts: impl Fn(&Observation) -> bool,
    members: impl Fn(u64) -> usize,
) -> HealthStatus {
    let fresh = |d: &&Observation| now - d.seen < policy.max_staleness && counts(d);
    let (mut all, mut zones, mut offered) = (Vec::new(), Vec::new(), 0);
    for (of, data) in data {
        let data: Vec<Observation> = data.iter().filter(fresh).copied().collect();
        // Once it is ejected, those who tried it may tell the good news alone.
        if ObservationCount::of(&data).unhealthy() || rests.is_some_and(|zones| zones.contains(&of))
        {
            zones.push(of);
            offered += members(of);
            all.extend(data);
        }
    }
    if !zones.contains(&zone) {
        return HealthStatus::default();
    }
    all.sort_by_key(|d: &Observation| std::cmp::Reverse((d.seen, d.origin)));
    all.truncate(crate::observation_table::KEPT);
    let tally = ObservationCount::of(&all);
    // Few members have fewer reporters to offer; one alone is none.
    let min_reporters = if rests.is_some() {
        1
    } else {
        policy.min_reporters.min(offered).max(2)
    };
    let mut sick_at = all
        .iter()
        .filter(|d| d.health == ObservedHealth::Unhealthy)
        .map(|d| d.seen);
    let last_needed = sick_at.nth(min_reporters - 1).unwrap_or(0);
    HealthStatus {
        unhealthy: tally.unhealthy >= min_reporters && tally.unhealthy(),
        until: last_needed.saturating_add(policy.max_staleness),
        zones,
        newest: all.first().map(|d| (d.health, d.seen)),
        served: tally.healthy > 0 && !tally.unhealthy(),
    }
}

#[cfg(test)]
mod tests;
