//! Figures of the sidecars' connectivity state against the truth.

use crate::experiment::Way;
use crate::outcome::Measure;
use crate::plan::{Plan, Step};
use crate::record::{ConnectivityReport, Entry, Seen};
use crate::{SECOND, Us};

/// After a cut has healed a member may find itself cut for so long, and is not held to be wrong: it
/// waits until the way has held for some time.
const AFTER: Us = 8 * SECOND;

/// Times in which some zone was cut off, one for each cut.
fn cuts(plan: &Plan) -> Vec<(Us, Us)> {
    let mut open: Vec<(usize, Way, Us)> = Vec::new();
    let mut cuts = Vec::new();
    for (at, step) in &plan.steps {
        let Step::Cut(zone, way, on) = step else {
            continue;
        };
        if *on {
            open.push((*zone, *way, *at));
        } else if let Some(place) = open.iter().position(|cut| (cut.0, cut.1) == (*zone, *way)) {
            cuts.push((open.remove(place).2, *at));
        }
    }
    cuts.extend(open.into_iter().map(|(.., from)| (from, plan.lasts)));
    cuts.sort_unstable();
    cuts
}

/// How soon cuts were found and their ends, by all members; what none found; and what was found
/// without a cut.
pub fn standing(plan: &Plan, record: &[Entry]) -> [(Measure, f64); 4] {
    let (mut late, mut ends, mut missed, mut wrong): (Us, Us, f64, f64) = (0, 0, 0.0, 0.0);
    let mut told: Vec<Vec<(Us, bool)>> = vec![Vec::new(); plan.sidecars.len()];
    for (at, seen) in record {
        match seen {
            Seen::Standing { sidecar, stands } => {
                told[*sidecar].push((
                    *at,
                    matches!(stands, ConnectivityReport::Cut | ConnectivityReport::Alone),
                ));
            }
            // Its next life begins whole.
            Seen::SidecarUp { sidecar } if !told[*sidecar].is_empty() => {
                told[*sidecar].push((*at, false))
            }
            _ => {}
        }
    }
    // Who says nothing of itself is not asked about.
    told.retain(|told| !told.is_empty());
    let cuts = cuts(plan);
    for told in &told {
        let at = |time: Us| {
            told.iter()
                .take_while(|(at, _)| *at <= time)
                .last()
                .is_some_and(|(_, cut)| *cut)
        };
        for (from, until) in &cuts {
            let found = told
                .iter()
                .find(|(at, cut)| *cut && (*from..*until).contains(at))
                .map(|(at, _)| *at);
            match found {
                _ if at(*from) => {}
                Some(at) => late = late.max(at - from),
                None => missed += 1.0,
            }
            let over = !cuts.iter().any(|(f, u)| f <= until && u > until);
            if over && at(*until) {
                let end = told
                    .iter()
                    .find(|(at, cut)| at > until && !cut)
                    .map_or(plan.lasts, |(at, _)| *at);
                ends = ends.max(end.saturating_sub(*until));
            }
        }
        let mut before = false;
        for (time, cut) in told {
            let true_then = cuts
                .iter()
                .any(|(from, until)| (*from..*until + AFTER).contains(time));
            wrong += f64::from(u8::from(*cut && !before && !true_then));
            before = *cut;
        }
    }
    let all = (told.len() * cuts.len()).max(1) as f64;
    [
        (Measure::CutFoundS, late as f64 / SECOND as f64),
        (Measure::CutMissed, missed / all),
        (Measure::CutEndsS, ends as f64 / SECOND as f64),
        (Measure::CutFalse, wrong),
    ]
}

#[cfg(test)]
mod tests;
