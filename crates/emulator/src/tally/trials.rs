//! Counts trial requests: attempts at servers that are known to be silent.

use super::share;
use crate::plan::{Plan, Step};
use crate::record::{Entry, Seen};
use crate::{SECOND, Us};

/// A server that has been silent for so long is known to be: what it is sent from then on are
/// trials.
const KNOWN_AFTER: Us = 3 * SECOND;

/// Attempts at silent servers that were known to be, for each of them and second.
pub(super) fn trials(plan: &Plan, record: &[Entry]) -> f64 {
    let mut silent: Vec<(usize, Us, Us)> = Vec::new();
    for (at, step) in &plan.steps {
        match step {
            Step::ServerSilent(server, true) => silent.push((*server, at + KNOWN_AFTER, Us::MAX)),
            Step::ServerSilent(server, false) => {
                silent
                    .iter_mut()
                    .filter(|(s, ..)| s == server)
                    .for_each(|(.., until)| *until = (*until).min(*at));
            }
            _ => {}
        }
    }
    silent
        .iter_mut()
        .for_each(|(.., until)| *until = (*until).min(plan.lasts));
    let time: Us = silent
        .iter()
        .map(|(_, from, until)| until.saturating_sub(*from))
        .sum();
    let trial = |(at, seen): &&Entry| match seen {
        Seen::Attempt { server, .. } => silent
            .iter()
            .any(|(s, from, until)| s == server && (from..until).contains(&at)),
        _ => false,
    };
    share(
        record.iter().filter(trial).count() as f64,
        time as f64 / SECOND as f64,
    )
}
