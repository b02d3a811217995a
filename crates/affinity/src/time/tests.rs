//! Tests of `time.rs`.

use crate::section::AffinityEntriesSection;

#[test]
fn slots_are_counted_from_the_epoch_and_partial_slots_are_rounded_up() {
    let t = AffinityEntriesSection::default().times();
    assert_eq!(
        (t.slot(0), t.slot(t.slot - 1), t.slot(t.slot), t.slot(-1)),
        (0, 0, 1, -1)
    );
    assert_eq!(
        (t.slots(0), t.slots(1), t.slots(t.slot), t.slots(t.slot + 1)),
        (0, 1, 1, 2)
    );
}
