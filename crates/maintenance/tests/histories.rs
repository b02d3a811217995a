//! Random histories, in which every rule must hold at every step.

mod play;
mod world;

use play::{Counts, History};

/// Threads of the long run.
const THREADS: u64 = 5;

fn run_histories(seeds: std::ops::Range<u64>) -> Counts {
    let mut sum = Counts::default();
    for seed in seeds {
        let run = std::panic::catch_unwind(|| History::new(seed).run());
        let figures = run.unwrap_or_else(|cause| {
            eprintln!("seed {seed}");
            std::panic::resume_unwind(cause)
        });
        sum.booked += figures.booked;
        sum.closed_after_return += figures.closed_after_return;
        sum.called_back += figures.called_back;
        sum.drains += figures.drains;
        sum.takes += figures.takes;
        sum.refused += figures.refused;
        sum.leaders += figures.leaders;
        sum.blackouts += figures.blackouts;
    }
    sum
}

#[test]
fn no_history_breaches_the_disruption_budget() {
    let sum = run_histories(0..400);
    // The histories must reach the cases they are meant to cover.
    assert!(
        sum.takes > 200 && sum.called_back > 200 && sum.refused > 20 && sum.leaders > 400,
        "{sum:?}"
    );
    assert!(
        sum.closed_after_return > 200 && sum.booked > 400 && sum.blackouts > 100,
        "{sum:?}"
    );
}

#[test]
fn the_audit_cries_where_tokens_are_not_checked() {
    let cries = (0..80).filter(|seed| {
        let mut play = History::new(*seed);
        play.checks_tokens = false;
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play.run())).is_err()
    });
    assert!(cries.count() > 4);
}

#[test]
#[ignore = "minutes: 100,000 histories, whose figure docs/maintenance.md states"]
fn a_hundred_thousand_histories() {
    let number = |name: &str, or| {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(or)
    };
    let (first, count): (u64, u64) = (number("HISTORIES_FROM", 0), number("HISTORIES", 100_000));
    let part = |part: u64| first + part * count / THREADS..first + (part + 1) * count / THREADS;
    let parts: Vec<_> = (0..THREADS)
        .map(part)
        .map(|seeds| std::thread::spawn(|| run_histories(seeds)))
        .collect();
    for part in parts {
        println!("{:?}", part.join().expect("a history failed"));
    }
}
