//! Tests of `pending_updates.rs`.

use super::*;

#[test]
fn updates_are_sent_a_fixed_number_of_times_least_sent_first_and_are_bounded() {
    let (mut pending, update) = (PendingUpdates::default(), |key| {
        (
            key,
            Process {
                name: 1,
                started: 0,
            },
        )
    });
    pending.add(1, update(1).1);
    pending.record_sent(update(1), false);
    pending.add(2, update(2).1);
    assert_eq!(pending.by_priority(), [update(2), update(1)]);
    (1..SENDS_PER_UPDATE).for_each(|_| pending.record_sent(update(1), false));
    pending.record_sent(update(2), true);
    assert_eq!(pending.count(), 0);
    (0..2 * MAX_PENDING as u64).for_each(|key| pending.add(key, update(0).1));
    assert_eq!(
        (pending.count(), pending.dropped),
        (MAX_PENDING, MAX_PENDING as u64)
    );
}
