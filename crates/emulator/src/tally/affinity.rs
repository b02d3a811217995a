//! Figures of how keys move between servers.

use super::share;
use crate::outcome::Measure;
use crate::plan::{Plan, Step};
use crate::record::{Entry, Seen};
use std::collections::{HashMap, HashSet};

/// How full the fullest server was, after the warm-up, and how many of those that were told to
/// leave were clear.
pub(super) fn bindings(plan: &Plan, record: &[Entry]) -> [(Measure, f64); 2] {
    let (mut of, mut there) = (HashMap::new(), vec![0_usize; plan.servers.len()]);
    let (mut deepest, mut clear) = (0.0, HashSet::new());
    for (at, seen) in record {
        match seen {
            Seen::Attempt { number, server, .. } => {
                of.insert(*number, *server);
                there[*server] += 1;
                let spec = &plan.servers[*server];
                let full = share(
                    there[*server] as f64,
                    (spec.cores as usize + spec.queue) as f64,
                );
                deepest = f64::max(deepest, if *at >= plan.warmup { full } else { 0.0 });
            }
            Seen::AttemptAnswered { number, .. } | Seen::AttemptSwallowed { number } => {
                if let Some(server) = of.remove(number) {
                    there[server] -= 1;
                }
            }
            // Whatever ran there is gone with it.
            Seen::ServerDown { server } => {
                of.retain(|_, at| at != server);
                there[*server] = 0;
            }
            Seen::Cleared { server, .. } => drop(clear.insert(*server)),
            _ => {}
        }
    }
    let told = plan
        .steps
        .iter()
        .filter(|(_, step)| matches!(step, Step::ServerLeaves(_)))
        .count();
    let cleared = if told == 0 {
        1.0
    } else {
        clear.len() as f64 / told as f64
    };
    [(Measure::Deepest, deepest), (Measure::Cleared, cleared)]
}
