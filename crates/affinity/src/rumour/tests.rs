//! Tests of `rumour.rs`.

use super::*;

#[test]
fn each_goes_so_often_what_went_least_first_and_they_are_bounded() {
    let (mut rumours, of) = (Rumours::default(), |key| {
        (
            key,
            Process {
                name: 1,
                started: 0,
            },
        )
    });
    rumours.add(1, of(1).1);
    rumours.went(of(1), false);
    rumours.add(2, of(2).1);
    assert_eq!(rumours.waiting(), [of(2), of(1)]);
    (1..ROUNDS).for_each(|_| rumours.went(of(1), false));
    rumours.went(of(2), true);
    assert_eq!(rumours.count(), 0);
    (0..2 * MOST as u64).for_each(|key| rumours.add(key, of(0).1));
    assert_eq!((rumours.count(), rumours.dropped), (MOST, MOST as u64));
}
