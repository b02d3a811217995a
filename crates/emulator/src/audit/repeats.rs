//! Auditor: what may have run is sent again only as its class allows.

use super::{Finding, Rule};
use crate::Us;
use crate::plan::Plan;
use crate::record::{Entry, Seen, Try};
use crate::site::{self, CLASSES, Repeat};
use std::collections::HashMap;

pub(super) fn repeats(plan: &Plan, record: &[Entry], findings: &mut Vec<Finding>) {
    struct Sent {
        number: u64,
        at: Us,
        may_have_run: bool,
    }
    let mut classes: HashMap<Try, Repeat> = HashMap::new();
    let mut sent: HashMap<Try, Vec<Sent>> = HashMap::new();
    let mut of: HashMap<u64, Try> = HashMap::new();
    for (at, seen) in record {
        let mut broken = |request: Try, what: String| {
            findings.push(Finding {
                rule: Rule::Repeats,
                at: *at,
                what: format!("try {request:016x} {what}"),
            });
        };
        match seen {
            Seen::Taken {
                request, arrival, ..
            } => {
                classes.insert(*request, CLASSES[plan.arrivals[*arrival].class].repeat);
            }
            Seen::Attempt {
                number,
                request: Some(request),
                server,
                ..
            } => {
                let attempts = sent.entry(*request).or_default();
                of.insert(*number, *request);
                let ran = || attempts.iter().filter(|s| s.may_have_run);
                match classes.get(request) {
                    Some(Repeat::Never) if ran().next().is_some() => {
                        broken(
                            *request,
                            format!("must not run twice and was sent again, to server {server}"),
                        );
                    }
                    Some(Repeat::Keyed)
                        if ran().any(|s| at - s.at > site::KEY_TIME + site::SLACK) =>
                    {
                        broken(
                            *request,
                            format!(
                                "was sent again when its key was forgotten, to server {server}"
                            ),
                        );
                    }
                    _ => {}
                }
                attempts.push(Sent {
                    number: *number,
                    at: *at,
                    may_have_run: true,
                });
                if attempts.len() == site::MAX_ATTEMPTS + 1 {
                    broken(
                        *request,
                        format!("was sent {} times", site::MAX_ATTEMPTS + 1),
                    );
                }
            }
            Seen::AttemptAnswered {
                number,
                unprocessed: true,
                ..
            } => {
                let attempts = of.get(number).and_then(|request| sent.get_mut(request));
                for s in attempts
                    .into_iter()
                    .flatten()
                    .filter(|s| s.number == *number)
                {
                    s.may_have_run = false;
                }
            }
            Seen::Answered {
                request,
                status: 429 | 503,
                ..
            } => {
                let ran = sent
                    .get(request)
                    .is_some_and(|s| s.iter().any(|s| s.may_have_run));
                if ran && classes.get(request) == Some(&Repeat::Never) {
                    broken(
                        *request,
                        "may have run, must not run twice, and was refused as harmless".to_owned(),
                    );
                }
            }
            _ => {}
        }
    }
}
