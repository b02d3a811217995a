//! Runs of histories: a few in CI, many by hand, and one with each safety rule switched off.

use super::{Found, KEYS, play};
use crate::safety_rules::SafetyRules;
use std::collections::HashMap;

/// Seconds of a history.
const SECONDS: i64 = 60;
/// Histories in CI, and until a guard that was taken out must be missed.
const FEW: u64 = 40;
const MANY: u64 = 100_000;
const UNTIL_FOUND: u64 = 400;

/// Half of the histories have room for all keys, half drop.
fn one(seed: u64, rules: SafetyRules) -> Found {
    play(
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

fn many(seeds: std::ops::Range<u64>) -> HashMap<&'static str, u64> {
    let threads = 4;
    let part = |n: u64| {
        let mut looked = HashMap::new();
        for seed in seeds.clone().filter(|seed| seed % threads == n) {
            let (found, breach) = one(seed, SafetyRules::ALL);
            assert_eq!(breach, None, "seed {seed}");
            found
                .into_iter()
                .for_each(|(property, n)| *looked.entry(property).or_default() += n);
        }
        looked
    };
    std::thread::scope(|scope| {
        let part = &part;
        let parts: Vec<_> = (0..threads).map(|n| scope.spawn(move || part(n))).collect();
        let mut all: HashMap<&'static str, u64> = HashMap::new();
        for part in parts {
            let looked: HashMap<&'static str, u64> = part.join().expect("no breach");
            looked
                .into_iter()
                .for_each(|(property, n)| *all.entry(property).or_default() += n);
        }
        all
    })
}

#[test]
fn the_properties_hold_in_every_history() {
    let looked = many(0..FEW);
    assert!(
        ["a", "b", "c", "d"]
            .iter()
            .all(|p| looked.get(p).is_some_and(|n| *n > 100)),
        "{looked:?}"
    );
}

#[test]
#[ignore = "minutes; run once for the figures in docs/affinity.md"]
fn the_properties_hold_in_a_hundred_thousand_histories() {
    println!("looked at {:?}", many(0..MANY));
}

/// Without that guard some history breaks one of those properties.
fn missed(properties: &str, rules: SafetyRules) {
    let breach = (0..UNTIL_FOUND).find_map(|seed| one(seed, rules).1);
    let breach = breach.unwrap_or_else(|| panic!("{properties} holds without its guard"));
    assert!(properties.contains(&breach[..1]), "{breach}");
}

#[test]
fn what_counts_from_when_it_came_comes_back() {
    missed(
        "a",
        SafetyRules {
            ages_from_use: false,
            ..SafetyRules::ALL
        },
    );
}

#[test]
fn what_is_taken_of_an_epoch_that_ended_comes_back() {
    missed(
        "a",
        SafetyRules {
            refuses_ended: false,
            ..SafetyRules::ALL
        },
    );
}

#[test]
fn what_is_not_renewed_goes_early() {
    missed(
        "b",
        SafetyRules {
            renews: false,
            ..SafetyRules::ALL
        },
    );
}

#[test]
fn what_is_dropped_by_an_own_order_differs_or_comes_back() {
    missed(
        "ac",
        SafetyRules {
            drops_alike: false,
            ..SafetyRules::ALL
        },
    );
}

#[test]
fn who_does_not_fall_silent_picks_what_is_clear() {
    missed(
        "d",
        SafetyRules {
            falls_silent: false,
            ..SafetyRules::ALL
        },
    );
}

#[test]
fn a_clear_before_the_silence_is_picked() {
    missed(
        "d",
        SafetyRules {
            waits_for_silence: false,
            ..SafetyRules::ALL
        },
    );
}
