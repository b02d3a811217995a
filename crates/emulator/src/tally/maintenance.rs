//! Figures of maintenance windows.

use crate::audit::capacities;
use crate::outcome::Measure;
use crate::plan::Plan;
use crate::record::{Act, Entry, Seen};
use crate::{SECOND, Us};
use std::collections::{BTreeMap, BTreeSet};

/// What maintenance came to: servers that were away and back, how long all took, what was short
/// meanwhile.
pub fn maintenance(plan: &Plan, record: &[Entry]) -> [(Measure, f64); 6] {
    let wanted: BTreeSet<usize> = plan
        .windows
        .iter()
        .flat_map(|window| window.servers.clone())
        .collect();
    let first = plan
        .windows
        .iter()
        .map(|window| window.at)
        .min()
        .unwrap_or(0);
    let mut taken: BTreeSet<usize> = BTreeSet::new();
    let mut back: BTreeMap<usize, Us> = BTreeMap::new();
    let (mut refused, mut faults) = (0.0, 0.0);
    for (at, seen) in record {
        match seen {
            Seen::Acted {
                act: Act::Take,
                server,
                accepted: true,
                ..
            } => drop(taken.insert(*server)),
            Seen::Acted {
                accepted: false, ..
            } => refused += 1.0,
            Seen::CoordinatorFault { .. } => faults += 1.0,
            Seen::ServerUp { server } if taken.contains(server) => drop(back.insert(*server, *at)),
            _ => {}
        }
    }
    let done = wanted
        .iter()
        .filter(|server| back.contains_key(server))
        .count();
    let last = back.values().max().copied().unwrap_or(first);
    let (breaches, least) = capacities(plan, record);
    [
        (
            Measure::Maintained,
            if wanted.is_empty() {
                0.0
            } else {
                done as f64 / wanted.len() as f64
            },
        ),
        (
            Measure::MaintenanceS,
            last.saturating_sub(first) as f64 / SECOND as f64,
        ),
        (Measure::CapacityBreaches, breaches.len() as f64),
        (Measure::LeastCapacity, least),
        (Measure::TokensRefused, refused),
        (Measure::CoordinatorFaults, faults),
    ]
}
