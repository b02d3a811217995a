//! Tests of `mix.rs`.

use super::*;
use crate::draw::draw;
use crate::experiment::Experiment;
use load_balancer_common::units::Time;

#[test]
fn a_larger_share_includes_a_smaller_one_and_rolling_back_concerns_the_same_sidecars() {
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
    let old_sidecars = |part| {
        (0..6)
            .filter(|s| starts_with_old(&mix(part), &plan, *s))
            .collect::<Vec<_>>()
    };
    let (third, all) = (old_sidecars(1.0 / 3.0), old_sidecars(1.0));
    assert_eq!((third.len(), old_sidecars(0.5).len(), all.len()), (2, 3, 6));
    assert!(third.iter().all(|s| old_sidecars(0.5).contains(s)));
    let changes = version_changes(&mix(1.0), &plan);
    let at: Vec<Us> = changes.iter().map(|(at, ..)| *at / 1000).collect();
    assert_eq!(at, [1000, 1300, 1600, 5000, 5300, 5600]);
    let restarted = |to| {
        changes
            .iter()
            .filter(|c| c.2 == to)
            .map(|c| c.1)
            .collect::<Vec<_>>()
    };
    assert_eq!(restarted(Version::New), restarted(Version::Old));
}
