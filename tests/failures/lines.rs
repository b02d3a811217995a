//! The lines for the on-call engineers.

use crate::common::*;
use load_balancer::*;

#[test]
fn the_log_says_what_the_on_call_page_quotes() {
    let page = include_str!("../../README.md");
    let mut rig = Rig::new(settings(), 1, 1);
    used(&mut rig, 5);
    let (mut seen, mut logs) = (Vec::new(), Vec::new());
    for n in 0..12 {
        let (id, _) = rig.request(UNSAFE);
        let outcome = if n < 2 { Outcome::Error } else { Outcome::Ok };
        if rig.out.contains_key(&(id, 0)) {
            seen.extend(rig.end(id, 0, outcome));
        }
        seen.extend(rig.wait(10_000 * MS));
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

// A line a second at most: what is left out must still be counted, or three circuits look like one.
#[test]
fn lines_on_circuits_that_are_left_out_are_counted_in_the_next() {
    let mut rig = Rig::new(settings(), 3, 1);
    used(&mut rig, 15);
    rig.wait(10_000 * MS);
    let mut lines = Vec::new();
    // All at once until none is left, then seldom enough for trials, which are answered.
    for (outcome, open, pause) in [(Outcome::Error, 3, 0), (Outcome::Ok, 2, 1000 * MS)] {
        for _ in 0..100 {
            let (id, _) = rig.request(UNSAFE);
            if rig.out.contains_key(&(id, 0)) {
                lines.extend(rig.end(id, 0, outcome).into_iter().filter_map(
                    |action| match action {
                        Action::Log(text) if text.starts_with("circuit") => Some(text),
                        _ => None,
                    },
                ));
            }
            if rig.balancer.summary().circuits_open == open {
                break;
            }
            rig.wait(pause);
        }
    }
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(
        lines[0].ends_with(" open") && lines[1].ends_with(" closed (2 like it left out)"),
        "{lines:?}"
    );
}
