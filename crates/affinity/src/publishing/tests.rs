//! Tests of `publishing.rs`.

use super::*;
use crate::section::AffinityEntriesSection;

#[test]
fn of_any_number_that_used_a_key_few_tell_first_and_all_in_time() {
    let times = AffinityEntriesSection::default().times();
    let entry = AffinityEntry::of(1000, 0, true, &times);
    let latest = (entry.ends - times.dissemination_time) * times.slot;
    for members in [2u32, 60, 1000, 10_000] {
        let rates = AffinityEntriesSection::default().rates(members);
        let first = |key| {
            let due = |m| Publishing::new(rates, mix(9, u64::from(m))).due(key, entry, &times);
            let mut dues: Vec<Micros> = (0..members).map(due).collect();
            dues.sort_unstable();
            assert!(dues.last().is_some_and(|last| *last <= latest));
            // Until the first word is everywhere, half a second later.
            dues.iter().filter(|due| **due <= dues[0] + 500_000).count()
        };
        let mean = (0..20).map(first).sum::<usize>() as f64 / 20.0;
        assert!(mean < 6.0, "{members} members: {mean}");
    }
}

#[test]
fn a_use_that_others_would_not_age_out_is_not_told_and_first_uses_are_rationed() {
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
    table.merge(7, process, AffinityEntry::of(100, 0, true, &times));
    publishing.record_use(7, process, 101, true);
    (0..100).for_each(|key| publishing.record_use(1000 + key, process, 101, false));
    let now = 101 * times.slot;
    let told = publishing.due_now(now, 0, &table, &times, |_| Some(0));
    assert_eq!(
        (told.len(), told.iter().any(|(key, ..)| *key == 7)),
        (MIN_BURST as usize, false)
    );
    let latest = (100 + times.renewed_lifetime - times.dissemination_time - 1) * times.slot;
    let told = publishing.due_now(latest, 1, &table, &times, |_| Some(0));
    assert!(
        told.contains(&(7, process, AffinityEntry::of(101, 0, true, &times))),
        "{told:?}"
    );
}
