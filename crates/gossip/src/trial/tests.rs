//! Tests of `trial.rs`.

use super::*;
use crate::SECOND;

const P: Process = Process {
    name: 1,
    started: 0,
};
const W: Weights = Weights {
    bound: 12 * SECOND,
    witnesses: 3,
    rest: SECOND,
};

#[test]
fn one_trial_falls_into_each_slot_and_slots_grow_longer() {
    let resting = Weighed {
        sick: true,
        newest: Some((Sign::Sick, 0)),
        ..Weighed::default()
    };
    let lengths = |weighed: &Weighed| {
        [0, 1, 3, 4, 30]
            .map(|at| slot(at * SECOND, 0, weighed, &W).map(|slot| slot.length / SECOND))
    };
    assert_eq!(lengths(&resting), [None, None, Some(3), Some(6), Some(6)]);
    let served = Weighed {
        newest: Some((Sign::Well, 0)),
        ..resting.clone()
    };
    assert!(slot(0, 0, &served, &W).is_some_and(|slot| slot.length == SECOND / 4));
    let looked = Weighed {
        newest: Some((Sign::Sick, 28 * SECOND)),
        ..resting
    };
    assert_eq!(
        slot(30 * SECOND, 0, &looked, &W),
        None,
        "somebody has just looked"
    );
    let at = |from| Slot {
        from,
        length: SECOND,
    };
    let mut made = [0; 20];
    for from in 0..400 {
        let [first, second] = chosen(P, at(from), 0..20);
        assert_eq!(
            chosen(P, at(from), (0..20).rev()),
            [first, second],
            "each member finds the same"
        );
        assert_ne!(first, second);
        made[first.expect("there is one") as usize] += 1;
    }
    assert!(made.iter().all(|n| (5..45).contains(n)), "{made:?}");
    assert_eq!(chosen(P, at(0), std::iter::once(7)), [Some(7), None]);
}
