//! Which sidecar of a mixed fleet runs which version, and when that changes.

use crate::Us;
use crate::experiment::{Mix, Roll, Version};
use crate::plan::Plan;

/// Distinguishes this random stream from those that a plan is generated from.
const ORDER_SALT: u64 = 0x006d_6978;

/// The order in which versions are assigned to sidecars: the same in every variant of a run, so
/// that a larger share includes a smaller one.
fn restart_order(plan: &Plan) -> Vec<usize> {
    let mut order: Vec<usize> = (0..plan.sidecars.len()).collect();
    fastrand::Rng::with_seed(plan.seed ^ ORDER_SALT).shuffle(&mut order);
    order
}

/// Number of sidecars in a share.
fn sidecar_count(plan: &Plan, part: f64) -> usize {
    (plan.sidecars.len() as f64 * part).round() as usize
}

/// Whether that sidecar starts with the earlier version.
pub(super) fn starts_with_old(mix: &Mix, plan: &Plan, sidecar: usize) -> bool {
    restart_order(plan)[..sidecar_count(plan, mix.part)].contains(&sidecar)
}

/// All version changes: time, sidecar and new version.
pub(super) fn version_changes(mix: &Mix, plan: &Plan) -> Vec<(Us, usize, Version)> {
    let us = |time: load_balancer_common::units::Time| {
        Us::try_from(time.0.as_micros()).unwrap_or(Us::MAX)
    };
    let order = restart_order(plan);
    let changes_of = |roll: &Roll| {
        let (at, lasts, all) = (us(roll.at), us(roll.lasts), sidecar_count(plan, roll.part));
        let to = roll.to;
        let restart_at = move |n: usize| at.saturating_add(lasts * n as Us / all.max(1) as Us);
        order[..all]
            .iter()
            .enumerate()
            .map(|(n, s)| (restart_at(n), *s, to))
            .collect::<Vec<_>>()
    };
    let mut changes: Vec<_> = mix.roll.iter().flat_map(changes_of).collect();
    changes.sort_by_key(|(at, ..)| *at);
    changes
}

#[cfg(test)]
mod tests;
