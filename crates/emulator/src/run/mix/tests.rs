//! Tests of `mix.rs`.

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
