//! Tests of `publishing.rs`.

use super::*;
use crate::section::AffinityEntriesSection;

#[test]
fn few_of_many_members_publish_first_and_all_in_time() {
    let times = AffinityEntriesSection::default().times();
    let entry = AffinityEntry::new(1000, 0, true, &times);
    let latest = (entry.expires_slot - times.dissemination_time) * times.slot;
    for members in [2u32, 60, 1000, 10_000] {
        let rates = AffinityEntriesSection::default().rates(members);
        let count_first = |key| {
            let due = |m| Publishing::new(rates, mix(9, u64::from(m))).due_at(key, entry, &times);
            let mut dues: Vec<Micros> = (0..members).map(due).collect();
            dues.sort_unstable();
            assert!(dues.last().is_some_and(|last| *last <= latest));
            // Until the first update has reached every member, half a second later.
            dues.iter().filter(|due| **due <= dues[0] + 500_000).count()
        };
        let mean = (0..20).map(count_first).sum::<usize>() as f64 / 20.0;
        assert!(mean < 6.0, "{members} members: {mean}");
    }
}

#[test]
fn a_use_that_others_still_hold_is_not_published_and_first_uses_are_rate_limited() {
    let times = AffinityEntriesSection::default().times();
    let mut publishing = Publishing::new(
        PublishRates {
            updates_per_s: 10.0,
            members: 10.0,
        },
        1,
    );
    let (mut table, process) = (
        Table::new(10, 0),
        Process {
            name: 1,
            started: 0,
        },
    );
    table.merge(7, process, AffinityEntry::new(100, 0, true, &times));
    publishing.record_use(7, process, 101, true);
    (0..100).for_each(|key| publishing.record_use(1000 + key, process, 101, false));
    let now = 101 * times.slot;
    let published = publishing.take_due(now, 0, &table, &times, |_| Some(0));
    assert_eq!(
        (published.len(), published.iter().any(|(key, ..)| *key == 7)),
        (MIN_BURST_UPDATES as usize, false)
    );
    let latest = (100 + times.renewed_lifetime - times.dissemination_time - 1) * times.slot;
    let published = publishing.take_due(latest, 1, &table, &times, |_| Some(0));
    assert!(
        published.contains(&(7, process, AffinityEntry::new(101, 0, true, &times))),
        "{published:?}"
    );
}
