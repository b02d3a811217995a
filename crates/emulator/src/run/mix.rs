//! Which sidecar of a mixed fleet runs which version, and when that changes.

use crate::Us;
use crate::experiment::{Mix, Roll, Version};
use crate::plan::Plan;

/// Apart from the streams of chance that a plan is drawn from.
const STREAM: u64 = 0x006d_6978;

/// Sidecars in the order in which versions are given to them: the same in every variant of a run,
/// so that a larger part holds a smaller one.
fn order(plan: &Plan) -> Vec<usize> {
    let mut order: Vec<usize> = (0..plan.sidecars.len()).collect();
    fastrand::Rng::with_seed(plan.seed ^ STREAM).shuffle(&mut order);
    order
}

/// How many sidecars a part is.
fn count(plan: &Plan, part: f64) -> usize {
    (plan.sidecars.len() as f64 * part).round() as usize
}

/// Whether that sidecar begins with the earlier version.
pub(super) fn begins_old(mix: &Mix, plan: &Plan, sidecar: usize) -> bool {
    order(plan)[..count(plan, mix.part)].contains(&sidecar)
}

/// Every change: when, which sidecar, to what.
pub(super) fn changes(mix: &Mix, plan: &Plan) -> Vec<(Us, usize, Version)> {
    let us = |time: load_balancer_common::units::Time| {
        Us::try_from(time.0.as_micros()).unwrap_or(Us::MAX)
    };
    let order = order(plan);
    let of = |roll: &Roll| {
        let (at, lasts, all) = (us(roll.at), us(roll.lasts), count(plan, roll.part));
        let to = roll.to;
        let turn = move |n: usize| at.saturating_add(lasts * n as Us / all.max(1) as Us);
        order[..all]
            .iter()
            .enumerate()
            .map(|(n, s)| (turn(n), *s, to))
            .collect::<Vec<_>>()
    };
    let mut changes: Vec<_> = mix.roll.iter().flat_map(of).collect();
    changes.sort_by_key(|(at, ..)| *at);
    changes
}

#[cfg(test)]
mod tests;
