//! Which sidecar of a mixed fleet runs which version, and when that changes.

use crate::Us;
use crate::experiment::{Mix, Roll, Version};
use crate::plan::Plan;

/// Apart from the streams of chance that a plan is drawn from.
const STREAM: u64 = 0x006d_6978;

/// Sidecars in the order in which versions are given to them: the same in every variant of a play, so that a larger part
/// holds a smaller one.
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
mod tests {
    use super::*;
    use crate::draw::draw;
    use crate::experiment::Experiment;
    use load_balancer_common::units::Time;

    #[test]
    fn a_larger_part_holds_a_smaller_one_and_a_way_back_concerns_the_same() {
        let plan = draw(
            &Experiment {
                name: "a".to_owned(),
                ..Experiment::default()
            },
            3,
        );
        let roll = |to, at| Roll {
            to,
            at: Time::ms(at),
            lasts: Time::ms(900),
            part: 0.5,
        };
        let roll = vec![roll(Version::New, 1000), roll(Version::Old, 5000)];
        let mix = |part| Mix {
            revision: "a".to_owned(),
            program: None,
            part,
            config: None,
            roll: roll.clone(),
        };
        let old = |part| {
            (0..6)
                .filter(|s| begins_old(&mix(part), &plan, *s))
                .collect::<Vec<_>>()
        };
        let (third, all) = (old(1.0 / 3.0), old(1.0));
        assert_eq!((third.len(), old(0.5).len(), all.len()), (2, 3, 6));
        assert!(third.iter().all(|s| old(0.5).contains(s)));
        let changes = changes(&mix(1.0), &plan);
        let at: Vec<Us> = changes.iter().map(|(at, ..)| *at / 1000).collect();
        assert_eq!(at, [1000, 1300, 1600, 5000, 5300, 5600]);
        let who = |to| {
            changes
                .iter()
                .filter(|c| c.2 == to)
                .map(|c| c.1)
                .collect::<Vec<_>>()
        };
        assert_eq!(who(Version::New), who(Version::Old));
    }
}
