//! Tests of `entry.rs`.

use super::*;
use proptest::prelude::*;

fn merged(entries: &[(Process, AffinityEntry)]) -> KeyEntries {
    let mut key_entries = KeyEntries::default();
    entries.iter().for_each(|(process, entry)| {
        key_entries.merge(*process, *entry);
    });
    key_entries
}

prop_compose! {
    fn any_entry()(name in 0..4u64, epoch in 0..2u64, expires_slot in 0..6i64, renewed: bool) -> (Process, AffinityEntry) {
        (Process { name, started: 0 }, AffinityEntry { epoch, expires_slot, renewed })
    }
}

proptest! {
    #[test]
    fn merging_is_independent_of_order_and_repetition(
        entries in prop::collection::vec(any_entry(), 0..12), repeated in 0..12usize, rotation in 0..12usize,
    ) {
        let mut shuffled = entries.clone();
        shuffled.extend(entries.iter().take(repeated));
        let rotation = rotation % shuffled.len().max(1);
        shuffled.rotate_left(rotation);
        shuffled.reverse();
        prop_assert_eq!(merged(&entries), merged(&shuffled));
    }
}

#[test]
fn of_two_processes_the_renewed_entry_is_preferred() {
    let (a, b) = (
        Process {
            name: 1,
            started: 0,
        },
        Process {
            name: 2,
            started: 0,
        },
    );
    let entry = |ends, held| AffinityEntry {
        epoch: 0,
        expires_slot: ends,
        renewed: held,
    };
    let key_entries = merged(&[(a, entry(5, true)), (b, entry(9, false))]);
    assert_eq!(
        key_entries.processes_by_rank(3, |_, _| true).first(),
        Some(&a)
    );
    assert_eq!(key_entries.processes_by_rank(3, |p, _| p != a), [b]);
    let forward = merged(&[(a, entry(5, true)), (b, entry(9, true))]);
    let reversed = merged(&[(b, entry(9, true)), (a, entry(5, true))]);
    assert_eq!(
        forward.processes_by_rank(3, |_, _| true),
        reversed.processes_by_rank(3, |_, _| true)
    );
}
