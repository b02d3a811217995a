//! Tests of `entry.rs`.

use super::*;
use proptest::prelude::*;

fn of(entries: &[(Process, AffinityEntry)]) -> KeyEntries {
    let mut key_entries = KeyEntries::default();
    entries.iter().for_each(|(process, entry)| {
        key_entries.merge(*process, *entry);
    });
    key_entries
}

prop_compose! {
    fn any_entry()(name in 0..4u64, epoch in 0..2u64, ends in 0..6i64, held: bool) -> (Process, AffinityEntry) {
        (Process { name, started: 0 }, AffinityEntry { epoch, ends, held })
    }
}

proptest! {
    #[test]
    fn the_same_entries_make_the_same_places_in_any_order_and_however_often(
        entries in prop::collection::vec(any_entry(), 0..12), again in 0..12usize, turn in 0..12usize,
    ) {
        let mut others = entries.clone();
        others.extend(entries.iter().take(again));
        let turn = turn % others.len().max(1);
        others.rotate_left(turn);
        others.reverse();
        prop_assert_eq!(of(&entries), of(&others));
    }
}

#[test]
fn a_key_bound_twice_has_one_winner_and_one_met_again_wins() {
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
        ends,
        held,
    };
    let key_entries = of(&[(a, entry(5, true)), (b, entry(9, false))]);
    assert_eq!(key_entries.cached_at(3, |_, _| true).first(), Some(&a));
    assert_eq!(key_entries.cached_at(3, |p, _| p != a), [b]);
    let both = of(&[(a, entry(5, true)), (b, entry(9, true))]);
    let turned = of(&[(b, entry(9, true)), (a, entry(5, true))]);
    assert_eq!(
        both.cached_at(3, |_, _| true),
        turned.cached_at(3, |_, _| true)
    );
}
