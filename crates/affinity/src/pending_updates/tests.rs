//! Tests of `rumour.rs`.

use super::*;

#[test]
fn each_goes_so_often_what_went_least_first_and_they_are_bounded() {
    let (mut pending, of) = (PendingUpdates::default(), |key| {
        (
            key,
            Process {
                name: 1,
                started: 0,
            },
        )
    });
    pending.add(1, of(1).1);
    pending.went(of(1), false);
    pending.add(2, of(2).1);
    assert_eq!(pending.waiting(), [of(2), of(1)]);
    (1..ROUNDS).for_each(|_| pending.went(of(1), false));
    pending.went(of(2), true);
    assert_eq!(pending.count(), 0);
    (0..2 * MAX_ENTRIES as u64).for_each(|key| pending.add(key, of(0).1));
    assert_eq!(
        (pending.count(), pending.dropped),
        (MAX_ENTRIES, MAX_ENTRIES as u64)
    );
}
