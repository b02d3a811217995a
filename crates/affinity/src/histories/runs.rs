//! Runs of histories: a few in CI, many by hand, and some with each safety rule switched off.

use super::{HistoryResult, KEYS, run_history};
use crate::safety_rules::SafetyRules;
use std::collections::HashMap;

/// Length of a history in seconds.
const SECONDS: i64 = 60;
/// Histories in CI, in the long run, and until a missing safety rule must be detected.
const CI_HISTORIES: u64 = 40;
const LONG_RUN_HISTORIES: u64 = 100_000;
const MAX_HISTORIES_UNTIL_VIOLATION: u64 = 400;

/// Runs a history; half of them have room for all keys, the others evict.
fn run_one(seed: u64, rules: SafetyRules) -> HistoryResult {
    run_history(
        seed,
        rules,
        if seed.is_multiple_of(2) {
            KEYS as usize
        } else {
            10
        },
        SECONDS,
    )
}

fn run_many(seeds: std::ops::Range<u64>) -> HashMap<&'static str, u64> {
    let threads = 4;
    let part = |n: u64| {
        let mut checks = HashMap::new();
        for seed in seeds.clone().filter(|seed| seed % threads == n) {
            let (found, breach) = run_one(seed, SafetyRules::ALL);
            assert_eq!(breach, None, "seed {seed}");
            found
                .into_iter()
                .for_each(|(property, n)| *checks.entry(property).or_default() += n);
        }
        checks
    };
    std::thread::scope(|scope| {
        let part = &part;
        let parts: Vec<_> = (0..threads).map(|n| scope.spawn(move || part(n))).collect();
        let mut totals: HashMap<&'static str, u64> = HashMap::new();
        for part in parts {
            let checks: HashMap<&'static str, u64> = part.join().expect("no breach");
            checks
                .into_iter()
                .for_each(|(property, n)| *totals.entry(property).or_default() += n);
        }
        totals
    })
}

#[test]
fn the_properties_hold_in_every_history() {
    let checks = run_many(0..CI_HISTORIES);
    assert!(
        ["a", "b", "c", "d"]
            .iter()
            .all(|p| checks.get(p).is_some_and(|n| *n > 100)),
        "{checks:?}"
    );
}

#[test]
#[ignore = "minutes; run once for the figures in docs/affinity.md"]
fn the_properties_hold_in_a_hundred_thousand_histories() {
    println!("looked at {:?}", run_many(0..LONG_RUN_HISTORIES));
}

/// Checks that without that rule some history violates one of those properties.
fn assert_violation_without_rule(properties: &str, rules: SafetyRules) {
    let violation = (0..MAX_HISTORIES_UNTIL_VIOLATION).find_map(|seed| run_one(seed, rules).1);
    let violation = violation.unwrap_or_else(|| panic!("{properties} holds without its guard"));
    assert!(properties.contains(&violation[..1]), "{violation}");
}

#[test]
fn entries_aged_from_their_arrival_are_revived() {
    assert_violation_without_rule(
        "a",
        SafetyRules {
            ages_from_use: false,
            ..SafetyRules::ALL
        },
    );
}

#[test]
fn entries_accepted_for_an_ended_epoch_are_revived() {
    assert_violation_without_rule(
        "a",
        SafetyRules {
            rejects_ended_epochs: false,
            ..SafetyRules::ALL
        },
    );
}

#[test]
fn entries_that_are_not_renewed_expire_early() {
    assert_violation_without_rule(
        "b",
        SafetyRules {
            publishes_renewals: false,
            ..SafetyRules::ALL
        },
    );
}

#[test]
fn eviction_in_a_member_specific_order_diverges_or_revives_entries() {
    assert_violation_without_rule(
        "ac",
        SafetyRules {
            evicts_in_common_order: false,
            ..SafetyRules::ALL
        },
    );
}

#[test]
fn a_member_without_a_contact_timeout_picks_a_cleared_process() {
    assert_violation_without_rule(
        "d",
        SafetyRules {
            uses_contact_timeout: false,
            ..SafetyRules::ALL
        },
    );
}

#[test]
fn a_clear_before_the_contact_timeout_is_still_picked() {
    assert_violation_without_rule(
        "d",
        SafetyRules {
            waits_for_contact_timeout: false,
            ..SafetyRules::ALL
        },
    );
}
