//! Log lines for on-call engineers.

use crate::common::*;
use load_balancer::*;

#[test]
fn log_lines_match_the_on_call_table() {
    let page = include_str!("../../README.md");
    let mut harness = Harness::new(default_settings(), 1, 1);
    endpoints_used(&mut harness, 5);
    let (mut seen, mut logs) = (Vec::new(), Vec::new());
    for n in 0..12 {
        let (id, _) = harness.request(NON_IDEMPOTENT);
        let outcome = if n < 2 { Outcome::Error } else { Outcome::Ok };
        if harness.in_flight.contains_key(&(id, 0)) {
            seen.extend(harness.finish(id, 0, outcome));
        }
        seen.extend(harness.advance(10_000 * MS));
    }
    for action in seen {
        if let Action::Log(text) = action {
            logs.push(text.replace(['0', '1', '2'], "N"));
        }
    }
    let account = "gave up N shed, N waiting, N failing";
    assert_eq!(
        logs,
        [
            account,
            "circuit of endpoint N open",
            account,
            "circuit of endpoint N closed"
        ]
    );
    assert!(
        logs.iter().all(|l| page.contains(&format!("`{l}`"))),
        "{logs:?}"
    );
}

// At most one line per second is written. Suppressed lines must be counted in the next one, or three
// open circuits would look like one.
#[test]
fn suppressed_lines_are_counted_in_the_next_line() {
    let mut harness = Harness::new(default_settings(), 3, 1);
    endpoints_used(&mut harness, 15);
    harness.advance(10_000 * MS);
    let mut lines = Vec::new();
    // First all circuits open at once, then requests are rare enough for trial requests, which are
    // served.
    for (outcome, open, pause) in [(Outcome::Error, 3, 0), (Outcome::Ok, 2, 1000 * MS)] {
        for _ in 0..100 {
            let (id, _) = harness.request(NON_IDEMPOTENT);
            if harness.in_flight.contains_key(&(id, 0)) {
                lines.extend(
                    harness
                        .finish(id, 0, outcome)
                        .into_iter()
                        .filter_map(|action| match action {
                            Action::Log(text) if text.starts_with("circuit") => Some(text),
                            _ => None,
                        }),
                );
            }
            if harness.balancer.summary().circuits_open == open {
                break;
            }
            harness.advance(pause);
        }
    }
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(
        lines[0].ends_with(" open") && lines[1].ends_with(" closed (2 like it left out)"),
        "{lines:?}"
    );
}
