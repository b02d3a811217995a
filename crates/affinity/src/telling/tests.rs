//! Tests of `telling.rs`.

use super::*;
use crate::section::BindingsSection;

#[test]
fn of_any_number_that_used_a_key_few_tell_first_and_all_in_time() {
    let times = BindingsSection::default().times();
    let word = Word::of(1000, 0, true, &times);
    let latest = (word.ends - times.spread) * times.slot;
    for members in [2u32, 60, 1000, 10_000] {
        let rates = BindingsSection::default().rates(members);
        let first = |key| {
            let due = |m| Telling::new(rates, mix(9, u64::from(m))).due(key, word, &times);
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
    let times = BindingsSection::default().times();
    let mut telling = Telling::new(
        Rates {
            words_per_s: 10.0,
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
    table.merge(7, process, Word::of(100, 0, true, &times));
    telling.used(7, process, 101, true);
    (0..100).for_each(|key| telling.used(1000 + key, process, 101, false));
    let now = 101 * times.slot;
    let told = telling.due_now(now, 0, &table, &times, |_| Some(0));
    assert_eq!(
        (told.len(), told.iter().any(|(key, ..)| *key == 7)),
        (LEAST_SAVED as usize, false)
    );
    let latest = (100 + times.life_held - times.spread - 1) * times.slot;
    let told = telling.due_now(latest, 1, &table, &times, |_| Some(0));
    assert!(
        told.contains(&(7, process, Word::of(101, 0, true, &times))),
        "{told:?}"
    );
}
