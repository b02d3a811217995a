//! The replicated log under every fault listed in docs/coordinator.md.
//!
//! The invariants are checked at every step: one history, one leader per term, no answer that is
//! lost, repeated or for another order, non-decreasing time, and no confirmed read that lags.

mod book;
mod faults;
mod message_filter;
mod world;

use faults::{Counts, FaultRates};
use world::World;

const NO_FAULTS: FaultRates = FaultRates {
    loss: 0,
    repeats: 0,
    delay: 1,
    with_faults: false,
};
const ALL_FAULTS: FaultRates = FaultRates {
    loss: 100,
    repeats: 50,
    delay: 12,
    with_faults: true,
};

fn run(seed: u64, size: usize, faults: FaultRates, ticks: u64) -> Counts {
    let mut world = World::new(seed, size, faults);
    world.run(ticks);
    world.settle();
    world.counts
}

#[test]
fn without_faults_one_leader_answers_nearly_everything() {
    for size in [1, 3, 5] {
        let counts = run(7, size, NO_FAULTS, 1_000);
        // One before and one after the restart of all coordinators at the end.
        assert!(
            counts.leaders <= 2 && counts.answered > 50,
            "{size}: {counts:?}"
        );
    }
}

#[test]
fn a_seed_replays_a_history() {
    for size in [3, 5] {
        assert_eq!(
            run(11, size, ALL_FAULTS, 2_000),
            run(11, size, ALL_FAULTS, 2_000)
        );
    }
}

#[test]
fn nothing_agreed_is_lost_or_parted_under_faults() {
    sweep(0..40);
}

/// The larger sweep whose results are in docs/coordinator.md; `STEWARD_SEEDS` sets the number of
/// seeds.
#[test]
#[ignore = "takes minutes"]
fn nothing_agreed_is_lost_or_parted_in_many_histories() {
    let seeds = std::env::var("STEWARD_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(2_000);
    sweep(1_000..1_000 + seeds);
}

fn sweep(seeds: std::ops::Range<u64>) {
    let mut sum = Counts::default();
    for seed in seeds {
        let counts = run(seed, if seed % 2 == 0 { 3 } else { 5 }, ALL_FAULTS, 2_000);
        for (all, one) in [
            (&mut sum.answered, counts.answered),
            (&mut sum.committed, counts.committed),
            (&mut sum.crashes, counts.crashes),
            (&mut sum.emptied, counts.emptied),
            (&mut sum.refused_disks, counts.refused_disks),
            (&mut sum.partitions, counts.partitions),
            (&mut sum.lost_messages, counts.lost_messages),
            (&mut sum.leaders, counts.leaders),
            (&mut sum.confirmed, counts.confirmed),
        ] {
            *all += one;
        }
    }
    println!("{sum:?}");
    for count in [
        sum.crashes,
        sum.emptied,
        sum.partitions,
        sum.leaders,
        sum.confirmed,
        10 * sum.refused_disks,
    ] {
        assert!(count > 10, "{sum:?}");
    }
}
