//! A sidecar for some seconds under drawn settings, faults and clients, seed by seed.
//!
//! `SOAK_SEEDS=1..51` runs those seeds in place of the few that the test run has.

#[path = "../stubs/mod.rs"]
mod stubs;

mod crowd;
mod fleet;
mod plan;
mod signals;
mod sound_client;
mod verdict;

use plan::Plan;
use std::ops::Range;
use verdict::Verdict;

/// Seeds of the test run.
const SEEDS: Range<u64> = 1..9;
/// Sidecars at a time.
const PARALLEL: usize = 2;

#[test]
fn every_request_gets_its_answer_within_the_limits_of_the_settings() {
    let seeds: Vec<u64> = chosen_seeds().collect();
    let mut broken = Vec::new();
    for group in seeds.chunks(PARALLEL) {
        let plays: Vec<_> = group
            .iter()
            .map(|seed| {
                let plan = Plan::draw(*seed);
                std::thread::spawn(move || fleet::play(&plan))
            })
            .collect();
        for (seed, play) in group.iter().zip(plays) {
            let verdict: Verdict = play.join().expect("no play panics");
            println!("seed {seed}: {verdict}");
            broken.extend(verdict.broken().map(|rule| format!("seed {seed}: {rule}")));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// The seeds of the variable, if it is set.
fn chosen_seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return SEEDS;
    };
    let (first, end) = text.split_once("..").expect("seeds such as 1..51");
    first.parse().expect("a seed")..end.parse().expect("a seed")
}
