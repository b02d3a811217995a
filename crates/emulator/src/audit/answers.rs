//! Auditor: every attempt of a client has one whole answer.

use super::{Finding, Rule};
use crate::Us;
use crate::record::{Entry, Seen, Try};
use crate::site;
use std::collections::{BTreeSet, HashMap};

/// After being told to stop, a sidecar has the longest deadline, taken as 3 s where it is longer,
/// and this long.
const STOP_GRACE: Us = 700_000;

pub(super) fn answers(record: &[Entry], findings: &mut Vec<Finding>) {
    let mut open: HashMap<Try, (usize, Us)> = HashMap::new();
    let mut closed: BTreeSet<Try> = BTreeSet::new();
    // Stops and ends of each sidecar: what a kill takes along is no broken rule.
    let mut downs: HashMap<usize, Vec<(Us, bool)>> = HashMap::new();
    let mut told: HashMap<usize, Vec<Us>> = HashMap::new();
    let mut ups: HashMap<usize, Vec<Us>> = HashMap::new();
    for (at, seen) in record {
        match seen {
            Seen::SidecarDown { sidecar, killed } => {
                downs.entry(*sidecar).or_default().push((*at, *killed))
            }
            Seen::SidecarTold { sidecar } => told.entry(*sidecar).or_default().push(*at),
            Seen::SidecarUp { sidecar } => ups.entry(*sidecar).or_default().push(*at),
            _ => {}
        }
    }
    let excused = |sidecar: usize, taken: Us, at: Us| {
        let killed = downs.get(&sidecar).is_some_and(|downs| {
            downs.iter().any(|(down, killed)| {
                *killed && (taken..=at.saturating_add(site::SLACK)).contains(down)
            })
        });
        // Past that, new ones need not be taken any more, until its next life is ready.
        let stopping = told.get(&sidecar).is_some_and(|told| {
            let back = |since: Us| {
                ups.get(&sidecar)
                    .is_some_and(|ups| ups.iter().any(|u| since < *u && *u <= taken))
            };
            told.iter().any(|t| taken > t + STOP_GRACE && !back(*t))
        });
        killed || stopping
    };
    let mut end = 0;
    for (at, seen) in record {
        end = *at;
        let request = match seen {
            Seen::Taken {
                request, sidecar, ..
            } => {
                open.insert(*request, (*sidecar, *at));
                continue;
            }
            Seen::Answered { request, .. } | Seen::Lost { request } | Seen::GaveUp { request } => {
                *request
            }
            _ => continue,
        };
        let Some((sidecar, taken)) = open.remove(&request) else {
            let what = if closed.contains(&request) {
                "was answered twice"
            } else {
                "was never taken"
            };
            findings.push(Finding {
                rule: Rule::Answers,
                at: *at,
                what: format!("try {request:016x} {what}"),
            });
            continue;
        };
        closed.insert(request);
        let broken = match seen {
            Seen::Lost { .. } if !excused(sidecar, taken, *at) => "ended without a whole answer",
            Seen::Answered {
                status: 200,
                genuine: false,
                ..
            } => "was served with what no server made for it",
            _ => continue,
        };
        let what = format!("try {request:016x} at sidecar {sidecar} {broken}");
        findings.push(Finding {
            rule: Rule::Answers,
            at: *at,
            what,
        });
    }
    for (request, (sidecar, taken)) in open {
        if !excused(sidecar, taken, end) {
            let what = format!("try {request:016x} at sidecar {sidecar} was never answered");
            findings.push(Finding {
                rule: Rule::Answers,
                at: taken,
                what,
            });
        }
    }
}
