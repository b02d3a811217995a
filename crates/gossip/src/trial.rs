//! Trials of ejected endpoints: when one is due, and which member makes it.

use crate::Micros;
use crate::health_status::{EjectionPolicy, HealthStatus};
use crate::observation_table::{ObservedHealth, Process};

/// The time in which one trial is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Its beginning.
    pub from: Micros,
    /// Its length.
    pub length: Micros,
}

/// The slot around `now` for a process that is ejected since then: longer the longer it is, short
/// once somebody was served. None where somebody has just looked.
pub fn slot(
    now: Micros,
    since: Micros,
    status: &HealthStatus,
    policy: &EjectionPolicy,
) -> Option<Slot> {
    let (age, rest) = (now - since, policy.ejection_time);
    let recovering = matches!(status.newest, Some((ObservedHealth::Healthy, _)));
    let length = match age {
        _ if recovering => rest / 4,
        _ if age < rest => return None,
        _ if age < 4 * rest => 3 * rest,
        _ => 6 * rest,
    }
    .max(1);
    let seen = status.newest.map_or(since, |(_, seen)| seen);
    if !recovering && now - seen < length / 2 {
        return None;
    }
    Some(Slot {
        from: now.div_euclid(length) * length,
        length,
    })
}

/// Who of these makes the trial of a slot, and who where nothing has come of that in half of it:
/// the same two at every member that knows the same ones (highest random weight: Thaler and
/// Ravishankar, IEEE/ACM Transactions on Networking 6, 1998, p. 1).
pub fn chosen(
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
            slot.from as u64,
        ];
        let bytes: Vec<u8> = numbers.iter().flat_map(|n| n.to_le_bytes()).collect();
        let drawn = Some((xxhash_rust::xxh3::xxh3_64(&bytes), origin));
        if first.is_none() || drawn < first {
            (first, second) = (drawn, first);
        } else if second.is_none() || drawn < second {
            second = drawn;
        }
    }
    [first, second].map(|drawn| drawn.map(|(_, origin)| origin))
}

#[cfg(test)]
mod tests;
