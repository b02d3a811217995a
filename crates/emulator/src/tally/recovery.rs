//! Figures of sidecars that were killed and came back.

use crate::outcome::Measure;
use crate::plan::{Plan, Step};
use crate::record::{Entry, Seen, Try};
use crate::site::CLASSES;
use crate::{SECOND, Us};
use std::collections::HashMap;

/// The time before a kill over which worth counts as that of before.
const BEFORE: Us = 3 * SECOND;
/// The time over which worth is held against it, and the step in which that moves on.
const OVER: Us = SECOND;
const STEP: Us = SECOND / 10;
/// Part of the worth of before with which it is back.
const BACK: f64 = 0.95;
/// A server that has been bad for so long before the kill was known to be.
const KNOWN_AFTER: Us = 3 * SECOND;
/// Attempts are counted for so long after a start.
const COUNTED: Us = 5 * SECOND;

/// A sidecar's death and return.
struct Incarnation {
    sidecar: usize,
    killed: Us,
    started: Us,
}

fn lives(plan: &Plan) -> Vec<Incarnation> {
    let started = |sidecar: usize, after: Us| {
        let later = plan
            .steps
            .iter()
            .filter(|(at, step)| *at >= after && *step == Step::SidecarStart(sidecar));
        later.map(|(at, _)| *at).min()
    };
    let kills = plan.steps.iter().filter_map(|(killed, step)| match step {
        Step::SidecarKill(sidecar) => Some(Incarnation {
            sidecar: *sidecar,
            killed: *killed,
            started: started(*sidecar, *killed)?,
        }),
        _ => None,
    });
    kills.collect()
}

/// Servers that were bad from long enough before this time on, and until when.
fn bad(plan: &Plan, killed: Us) -> HashMap<usize, Us> {
    let mut bad = HashMap::new();
    for (at, step) in &plan.steps {
        let (server, begins) = match step {
            Step::ServerSilent(server, on) => (*server, *on),
            Step::ServerFails(server, share) => (*server, *share > 0.5),
            _ => continue,
        };
        if begins && at + KNOWN_AFTER <= killed {
            bad.insert(server, Us::MAX);
        } else if !begins && *at <= killed {
            bad.remove(&server);
        } else if !begins && let Some(until) = bad.get_mut(&server) {
            *until = (*until).min(*at);
        }
    }
    bad
}

/// How long sidecars that were killed took to a first answer and to the worth of before, and how
/// many attempts each spent on servers that were known to be bad.
pub(super) fn recovery(plan: &Plan, record: &[Entry]) -> [(Measure, f64); 3] {
    let lives = lives(plan);
    let mut arrivals: HashMap<Try, usize> = HashMap::new();
    let mut answered: Vec<Option<Us>> = vec![None; plan.arrivals.len()];
    let mut first: Vec<Option<Us>> = vec![None; lives.len()];
    let mut wasted = 0.0;
    let bads: Vec<HashMap<usize, Us>> = lives
        .iter()
        .map(|incarnation| bad(plan, incarnation.killed))
        .collect();
    for (at, seen) in record {
        match seen {
            Seen::Taken {
                request, arrival, ..
            } => drop(arrivals.insert(*request, *arrival)),
            Seen::Answered {
                request,
                status: 200,
                ..
            } => {
                let Some(arrival) = arrivals.get(request) else {
                    continue;
                };
                answered[*arrival].get_or_insert(*at);
                let sidecar = plan.arrivals[*arrival].sidecar;
                for (incarnation, first) in lives.iter().zip(&mut first) {
                    if incarnation.sidecar == sidecar && *at >= incarnation.started {
                        first.get_or_insert(*at - incarnation.started);
                    }
                }
            }
            Seen::Attempt {
                sidecar,
                server,
                began,
                ..
            } => {
                for (incarnation, bad) in lives
                    .iter()
                    .zip(&bads)
                    .filter(|(incarnation, _)| incarnation.sidecar == *sidecar)
                {
                    let counts =
                        (incarnation.started..incarnation.started + COUNTED).contains(began);
                    wasted += f64::from(u8::from(
                        counts && bad.get(server).is_some_and(|until| began < until),
                    ));
                }
            }
            _ => {}
        }
    }
    let count = lives.len().max(1) as f64;
    let seconds = |us: Us| us as f64 / SECOND as f64;
    let none = |incarnation: &Incarnation| plan.lasts.saturating_sub(incarnation.started);
    let firsts: f64 = lives
        .iter()
        .zip(&first)
        .map(|(l, f)| seconds(f.unwrap_or_else(|| none(l))))
        .sum();
    [
        (Measure::FirstAnswerS, firsts / count),
        (Measure::BackS, back(plan, &lives, &answered)),
        (Measure::Wasted, wasted / count),
    ]
}

/// Time from the first start until requests that come within a second are worth as much as before,
/// over all sidecars that were killed.
fn back(plan: &Plan, lives: &[Incarnation], answered: &[Option<Us>]) -> f64 {
    let (Some(killed), Some(started)) = (
        lives.iter().map(|l| l.killed).min(),
        lives.iter().map(|l| l.started).min(),
    ) else {
        return 0.0;
    };
    let share = |from: Us, until: Us| {
        let (mut asked, mut served) = (0.0, 0.0);
        let concerned = |sidecar: usize| {
            lives
                .iter()
                .any(|incarnation| incarnation.sidecar == sidecar)
        };
        let all = plan.arrivals.iter().zip(answered);
        for (a, at) in all.filter(|(a, _)| (from..until).contains(&a.at) && concerned(a.sidecar)) {
            let class = &CLASSES[a.class];
            asked += class.worth;
            served += if at.is_some_and(|at| at <= a.at + class.aim) {
                class.worth
            } else {
                0.0
            };
        }
        if asked > 0.0 { served / asked } else { 0.0 }
    };
    let wanted = BACK * share(killed.saturating_sub(BEFORE), killed);
    let mut at = started;
    while at + OVER <= plan.lasts && share(at, at + OVER) < wanted {
        at += STEP;
    }
    (at - started) as f64 / SECOND as f64
}

#[cfg(test)]
mod tests;
