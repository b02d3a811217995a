//! Tests of `table.rs`.

use super::*;
use crate::section::AffinityEntriesSection;
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_full_table_keeps_the_same_keys_in_any_order(
        entries in prop::collection::vec((0..40u64, 0..2u64, 0..30i64), 1..80), rotation in 0..80usize,
    ) {
        let contents = |entries: &[(u64, u64, i64)], own| {
            let mut table = Table::new(8, own);
            for (key, name, last) in entries {
                let entry = AffinityEntry { epoch: 0, expires_slot: *last, renewed: false };
                table.merge(*key, Process { name: *name, started: 0 }, entry);
            }
            table.keys_below(None).map(|rank| (rank, table.entries(rank.2).collect::<Vec<_>>())).collect::<Vec<_>>()
        };
        let mut rotated = entries.clone();
        rotated.rotate_left(rotation % entries.len());
        let (one, other) = (contents(&entries, 1), contents(&rotated, 2));
        prop_assert!(one.len() <= 8);
        prop_assert_eq!(one, other);
    }
}

#[test]
fn expired_entries_are_removed_along_with_their_ranks() {
    let times = AffinityEntriesSection::default().times();
    let (mut table, process) = (
        Table::new(8, 0),
        Process {
            name: 1,
            started: 0,
        },
    );
    table.merge(1, process, AffinityEntry::new(0, 0, false, &times));
    table.merge(2, process, AffinityEntry::new(0, 0, true, &times));
    table.expire(times.first_lifetime - 1);
    assert_eq!(table.len(), 2);
    table.expire(times.first_lifetime);
    assert!(table.get(1, process).is_none() && table.get(2, process).is_some());
    table.expire(times.renewed_lifetime);
    assert!(table.is_empty() && table.ranks.is_empty());
}
