//! Tests of `table.rs`.

use super::*;
use crate::section::AffinityEntriesSection;
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_full_table_keeps_the_same_whatever_the_order(
        entries in prop::collection::vec((0..40u64, 0..2u64, 0..30i64), 1..80), turn in 0..80usize,
    ) {
        let held = |entries: &[(u64, u64, i64)], own| {
            let mut table = Table::new(8, own);
            for (key, name, last) in entries {
                let entry = AffinityEntry { epoch: 0, ends: *last, held: false };
                table.merge(*key, Process { name: *name, started: 0 }, entry);
            }
            table.below(None).map(|rank| (rank, table.entries(rank.2).collect::<Vec<_>>())).collect::<Vec<_>>()
        };
        let mut others = entries.clone();
        others.rotate_left(turn % entries.len());
        let (one, other) = (held(&entries, 1), held(&others, 2));
        prop_assert!(one.len() <= 8);
        prop_assert_eq!(one, other);
    }
}

#[test]
fn what_is_past_its_life_leaves_and_no_rank_stays_behind() {
    let times = AffinityEntriesSection::default().times();
    let (mut table, process) = (
        Table::new(8, 0),
        Process {
            name: 1,
            started: 0,
        },
    );
    table.merge(1, process, AffinityEntry::of(0, 0, false, &times));
    table.merge(2, process, AffinityEntry::of(0, 0, true, &times));
    table.age(times.first_lifetime - 1);
    assert_eq!(table.len(), 2);
    table.age(times.first_lifetime);
    assert!(table.at(1, process).is_none() && table.at(2, process).is_some());
    table.age(times.renewed_lifetime);
    assert!(table.is_empty() && table.ranks.is_empty());
}
