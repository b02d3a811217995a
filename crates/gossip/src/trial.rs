//! Trial requests of ejected endpoints: when one is due, and which member makes it.

use crate::Micros;
use crate::health_status::{EjectionPolicy, HealthStatus};
use crate::observation_table::{ObservedHealth, Process};

/// The period in which one trial request is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Its start.
    pub start: Micros,
    /// Its duration.
    pub length: Micros,
}

/// Returns the slot that contains `now` for a process ejected at `since`. Slots become longer with
/// time, and short once a trial request was served. Returns `None` if a member has just made one.
pub fn slot(
    now: Micros,
    since: Micros,
    status: &HealthStatus,
    policy: &EjectionPolicy,
) -> Option<Slot> {
    let (age, ejection_time) = (now - since, policy.ejection_time);
    let recovering = matches!(status.newest, Some((ObservedHealth::Healthy, _)));
    let length = match age {
        _ if recovering => ejection_time / 4,
        _ if age < ejection_time => return None,
        _ if age < 4 * ejection_time => 3 * ejection_time,
        _ => 6 * ejection_time,
    }
    .max(1);
    let last_observation = status.newest.map_or(since, |(_, seen)| seen);
    if !recovering && now - last_observation < length / 2 {
        return None;
    }
    Some(Slot {
        start: now.div_euclid(length) * length,
        length,
    })
}

/// Returns the member that makes the trial request of a slot, and the one that takes over if there
/// is no result in half of it: the same two on all members that know the same members (highest
/// random weight: Thaler and Ravishankar, IEEE/ACM Transactions on Networking 6, 1998, p. 1).
pub fn choose_members(
    process: Process,
    slot: Slot,
    origins: impl Iterator<Item = u64>,
) -> [Option<u64>; 2] {
    let (mut first, mut second) = (None, None);
    for origin in origins {
        let numbers = [
            process.name,
            process.started as u64,
            origin,
            slot.start as u64,
        ];
        let bytes: Vec<u8> = numbers.iter().flat_map(|n| n.to_le_bytes()).collect();
        let candidate = Some((xxhash_rust::xxh3::xxh3_64(&bytes), origin));
        if first.is_none() || candidate < first {
            (first, second) = (candidate, first);
        } else if second.is_none() || candidate < second {
            second = candidate;
        }
    }
    [first, second].map(|drawn| drawn.map(|(_, origin)| origin))
}

#[cfg(test)]
mod tests;
