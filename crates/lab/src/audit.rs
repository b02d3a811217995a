//! Auditors: each holds one rule of the public pages against the record of a play. They share no code with what they
//! audit. Changes with those rules.

use crate::Us;
use crate::directory::State;
use crate::draw::Plan;
use crate::record::{Entry, Seen, Try};
use crate::site::{self, CLASSES, Repeat};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each try that is taken gets exactly one final answer, which a server made for it where it is a 200.
    Answers,
    /// What may have run is sent again only as its class allows, and not refused where a repeat would do harm.
    Repeats,
    /// Nothing new to a server later than 300 ms after being told that it drains or is gone.
    Drains,
    /// No cold server is sent more than 2.5 times what it can do, for a second, by all together.
    Cold,
    /// Requests reach only servers that the sidecar's own list has named, and only as clients sent them.
    Listed,
    /// A sidecar starts, runs and stops in time.
    Process,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answers => "answers",
            Self::Repeats => "repeats",
            Self::Drains => "drains",
            Self::Cold => "cold",
            Self::Listed => "listed",
            Self::Process => "process",
        })
    }
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// The rule.
    pub rule: Rule,
    /// When, in microseconds since the play began.
    pub at: Us,
    /// What was seen.
    pub what: String,
}

/// After being told to stop, a sidecar has the longest deadline, taken as 3 s where it is longer, and this long.
const STOP_GRACE: Us = 700_000;

/// Holds every rule against a play. The record is in the order of time.
pub fn audit(plan: &Plan, record: &[Entry]) -> Vec<Finding> {
    let mut findings = Vec::new();
    answers(record, &mut findings);
    repeats(plan, record, &mut findings);
    drains(record, &mut findings);
    cold(plan, record, &mut findings);
    listed(plan, record, &mut findings);
    processes(record, &mut findings);
    findings.sort_by(|a, b| (a.at, a.rule, &a.what).cmp(&(b.at, b.rule, &b.what)));
    findings
}

fn answers(record: &[Entry], findings: &mut Vec<Finding>) {
    let mut open: HashMap<Try, (usize, Us)> = HashMap::new();
    let mut closed: BTreeSet<Try> = BTreeSet::new();
    // Stops and ends of each sidecar: what a kill takes along is no broken rule.
    let mut downs: HashMap<usize, Vec<(Us, bool)>> = HashMap::new();
    let mut told: HashMap<usize, Vec<Us>> = HashMap::new();
    let mut ups: HashMap<usize, Vec<Us>> = HashMap::new();
    for (at, seen) in record {
        match seen {
            Seen::SidecarDown { sidecar, killed } => downs.entry(*sidecar).or_default().push((*at, *killed)),
            Seen::SidecarTold { sidecar } => told.entry(*sidecar).or_default().push(*at),
            Seen::SidecarUp { sidecar } => ups.entry(*sidecar).or_default().push(*at),
            _ => {}
        }
    }
    let excused = |sidecar: usize, taken: Us, at: Us| {
        let killed = downs.get(&sidecar).is_some_and(|downs| {
            downs
                .iter()
                .any(|(down, killed)| *killed && (taken..=at.saturating_add(site::SLACK)).contains(down))
        });
        // Past that, new ones need not be taken any more, until its next life is ready.
        let stopping = told.get(&sidecar).is_some_and(|told| {
            let back = |since: Us| {
                ups.get(&sidecar).is_some_and(|ups| ups.iter().any(|u| since < *u && *u <= taken))
            };
            told.iter().any(|t| taken > t + STOP_GRACE && !back(*t))
        });
        killed || stopping
    };
    let mut end = 0;
    for (at, seen) in record {
        end = *at;
        let request = match seen {
            Seen::Taken { request, sidecar, .. } => {
                open.insert(*request, (*sidecar, *at));
                continue;
            }
            Seen::Answered { request, .. } | Seen::Lost { request } | Seen::GaveUp { request } => *request,
            _ => continue,
        };
        let Some((sidecar, taken)) = open.remove(&request) else {
            let what = if closed.contains(&request) { "was answered twice" } else { "was never taken" };
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
            Seen::Answered { status: 200, genuine: false, .. } => {
                "was served with what no server made for it"
            }
            _ => continue,
        };
        let what = format!("try {request:016x} at sidecar {sidecar} {broken}");
        findings.push(Finding { rule: Rule::Answers, at: *at, what });
    }
    for (request, (sidecar, taken)) in open {
        if !excused(sidecar, taken, end) {
            let what = format!("try {request:016x} at sidecar {sidecar} was never answered");
            findings.push(Finding { rule: Rule::Answers, at: taken, what });
        }
    }
}

fn repeats(plan: &Plan, record: &[Entry], findings: &mut Vec<Finding>) {
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
            Seen::Taken { request, arrival, .. } => {
                classes.insert(*request, CLASSES[plan.arrivals[*arrival].class].repeat);
            }
            Seen::Attempt { number, request: Some(request), server, .. } => {
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
                    Some(Repeat::Keyed) if ran().any(|s| at - s.at > site::KEY_TIME + site::SLACK) => {
                        broken(
                            *request,
                            format!("was sent again when its key was forgotten, to server {server}"),
                        );
                    }
                    _ => {}
                }
                attempts.push(Sent { number: *number, at: *at, may_have_run: true });
                if attempts.len() == site::MOST_ATTEMPTS + 1 {
                    broken(*request, format!("was sent {} times", site::MOST_ATTEMPTS + 1));
                }
            }
            Seen::AttemptAnswered { number, unprocessed: true, .. } => {
                let attempts = of.get(number).and_then(|request| sent.get_mut(request));
                for s in attempts.into_iter().flatten().filter(|s| s.number == *number) {
                    s.may_have_run = false;
                }
            }
            Seen::Answered { request, status: 429 | 503, .. } => {
                let ran = sent.get(request).is_some_and(|s| s.iter().any(|s| s.may_have_run));
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

fn drains(record: &[Entry], findings: &mut Vec<Finding>) {
    let mut since: HashMap<(usize, usize), Us> = HashMap::new();
    // An attempt is noted when it has come in whole; what counts is its first byte.
    let mut told: HashMap<(usize, usize), Vec<(Us, bool)>> = HashMap::new();
    for (at, seen) in record {
        if let Seen::Told { sidecar, server, state } = seen {
            let drains = !matches!(state, State::Active { .. });
            told.entry((*sidecar, *server)).or_default().push((*at, drains));
        }
    }
    for (_, seen) in record {
        let Seen::Attempt { sidecar, server, began, request, .. } = seen else { continue };
        let Some(told) = told.get(&(*sidecar, *server)) else { continue };
        let mut draining: Option<Us> = None;
        for (at, drains) in told.iter().take_while(|(at, _)| at <= began) {
            draining = if *drains { draining.or(Some(*at)) } else { None };
        }
        if let Some(told) = draining.filter(|told| *began > told + site::DRAIN_GRACE + site::SLACK) {
            let first = since.insert((*sidecar, *server), told).is_none();
            if first {
                let late = (began - told) / 1000;
                let what = format!(
                    "sidecar {sidecar} sent try {:016x} to server {server} {late} ms after it was told that it drains or is gone",
                    request.unwrap_or(0)
                );
                findings.push(Finding { rule: Rule::Drains, at: *began, what });
            }
        }
    }
}

fn cold(plan: &Plan, record: &[Entry], findings: &mut Vec<Finding>) {
    let arrivals: HashMap<Try, usize> = record
        .iter()
        .filter_map(|(_, seen)| match seen {
            Seen::Taken { request, arrival, .. } => Some((*request, *arrival)),
            _ => None,
        })
        .collect();
    let mut started: BTreeMap<usize, Us> = BTreeMap::new();
    let mut windows: HashMap<usize, VecDeque<(Us, f64)>> = HashMap::new();
    let mut found: BTreeSet<(usize, Us)> = BTreeSet::new();
    for (at, seen) in record {
        match seen {
            Seen::ServerUp { server } => {
                started.insert(*server, *at);
                windows.remove(server);
            }
            Seen::Attempt { server, request, .. } => {
                let Some(start) = started.get(server).copied().filter(|s| at - s < site::WARM_WITHIN) else {
                    continue;
                };
                let Some(arrival) = request.and_then(|r| arrivals.get(&r)) else { continue };
                let window = windows.entry(*server).or_default();
                window.push_back((*at, plan.arrivals[*arrival].work));
                while window.front().is_some_and(|(sent, _)| at - sent > site::TIP_AFTER) {
                    window.pop_front();
                }
                let spec = &plan.servers[*server];
                let age = (at - start) as f64 / site::WARM_WITHIN as f64;
                let capacity =
                    f64::from(spec.cores) * spec.speed * (site::COLD_SHARE + (1.0 - site::COLD_SHARE) * age);
                let most = site::OVERLOAD * capacity * site::TIP_AFTER as f64 * site::COLD_SLACK;
                let sent: f64 = window.iter().map(|(_, work)| work).sum();
                if sent > most && found.insert((*server, start)) {
                    let what = format!(
                        "server {server}, {} ms after its start, was sent {:.2} times what it can do within a second",
                        (at - start) / 1000,
                        sent / (capacity * site::TIP_AFTER as f64)
                    );
                    findings.push(Finding { rule: Rule::Cold, at: *at, what });
                }
            }
            _ => {}
        }
    }
}

fn listed(plan: &Plan, record: &[Entry], findings: &mut Vec<Finding>) {
    let mut named: BTreeSet<(usize, usize)> = BTreeSet::new();
    let known: BTreeSet<usize> = plan.directory.known.iter().copied().collect();
    let mut tries: BTreeSet<Try> = BTreeSet::new();
    for (at, seen) in record {
        match seen {
            Seen::Told { sidecar, server, state: State::Active { .. } } => {
                named.insert((*sidecar, *server));
            }
            Seen::Taken { request, .. } => {
                tries.insert(*request);
            }
            Seen::Attempt { request, sidecar, server, .. } => {
                if !known.contains(server) && !named.contains(&(*sidecar, *server)) {
                    let what =
                        format!("sidecar {sidecar} sent to server {server}, which its list never named");
                    findings.push(Finding { rule: Rule::Listed, at: *at, what });
                }
                if request.is_none_or(|request| !tries.contains(&request)) {
                    let what = format!("sidecar {sidecar} sent server {server} what no client had sent");
                    findings.push(Finding { rule: Rule::Listed, at: *at, what });
                }
            }
            _ => {}
        }
    }
}

fn processes(record: &[Entry], findings: &mut Vec<Finding>) {
    for (at, seen) in record {
        if let Seen::SidecarFault { sidecar, what } = seen {
            findings.push(Finding {
                rule: Rule::Process,
                at: *at,
                what: format!("sidecar {sidecar} {what}"),
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;
    use crate::draw::draw;
    use crate::experiment::Experiment;

    fn plan() -> Plan {
        draw(&Experiment { name: "a".to_owned(), ..Experiment::default() }, 1)
    }

    /// The first request of that class, taken at 1 s at sidecar 0 as try 7.
    fn taken(plan: &Plan, repeat: Repeat) -> Entry {
        let arrival =
            plan.arrivals.iter().position(|a| CLASSES[a.class].repeat == repeat).expect("there is one");
        (SECOND, Seen::Taken { request: 7, arrival, sidecar: 0, until: 2 * SECOND })
    }

    fn attempt(at: Us, number: u64, server: usize) -> Entry {
        (at, Seen::Attempt { number, request: Some(7), sidecar: 0, server, began: at })
    }

    fn answered(at: Us, status: u16) -> Entry {
        (at, Seen::Answered { request: 7, status, genuine: true })
    }

    fn rules(plan: &Plan, record: &[Entry]) -> Vec<Rule> {
        audit(plan, record).iter().map(|f| f.rule).collect()
    }

    #[test]
    fn what_is_in_order_is_not_complained_of() {
        let plan = plan();
        let turned_away = Seen::AttemptAnswered { number: 1, status: 503, unprocessed: true };
        let record = [
            taken(&plan, Repeat::Never),
            attempt(SECOND + 1, 1, 0),
            (SECOND + 2, turned_away),
            attempt(SECOND + 3, 2, 1),
            answered(SECOND + 4, 200),
        ];
        assert_eq!(rules(&plan, &record), []);
    }

    #[test]
    fn a_kill_excuses_what_it_takes_along_and_nothing_else() {
        let plan = plan();
        let lost = (SECOND + 500, Seen::Lost { request: 7 });
        let down = |at, killed| (at, Seen::SidecarDown { sidecar: 0, killed });
        let with = |down: Entry| {
            let mut record = vec![taken(&plan, Repeat::Safe), lost.clone(), down];
            record.sort_by_key(|(at, _)| *at);
            rules(&plan, &record)
        };
        assert_eq!(with(down(SECOND + 400, true)), []);
        assert_eq!(with(down(SECOND + 400, false)), [Rule::Answers], "it ended by itself");
        assert_eq!(with(down(SECOND - 1, true)), [Rule::Answers], "that was the process before");
        assert_eq!(with(down(5 * SECOND, true)), [Rule::Answers], "much later");
    }

    #[test]
    fn a_stop_excuses_only_what_comes_late_and_before_the_next_life() {
        let plan = plan();
        let with = |told: Us, up: Option<Us>| {
            let mut record = vec![(told, Seen::SidecarTold { sidecar: 0 }), taken(&plan, Repeat::Safe)];
            record.extend(up.map(|at| (at, Seen::SidecarUp { sidecar: 0 })));
            record.push((SECOND + 500, Seen::Lost { request: 7 }));
            record.sort_by_key(|(at, _)| *at);
            rules(&plan, &record)
        };
        assert_eq!(with(SECOND - 800_000, None), []);
        assert_eq!(with(SECOND - 600_000, None), [Rule::Answers], "it had to take that");
        assert_eq!(with(SECOND - 800_000, Some(SECOND - 1)), [Rule::Answers], "the next life had taken it");
    }

    #[test]
    fn one_answer_each_neither_none_nor_two_nor_a_forged_one() {
        let plan = plan();
        let first = taken(&plan, Repeat::Safe);
        assert_eq!(rules(&plan, std::slice::from_ref(&first)), [Rule::Answers]);
        let twice = [first.clone(), answered(SECOND + 1, 200), answered(SECOND + 2, 200)];
        assert_eq!(rules(&plan, &twice), [Rule::Answers]);
        let forged = [first, (SECOND + 1, Seen::Answered { request: 7, status: 200, genuine: false })];
        assert_eq!(rules(&plan, &forged), [Rule::Answers]);
    }

    #[test]
    fn an_entry_may_go_out_again_only_while_its_key_is_remembered() {
        let plan = plan();
        let again = |after| {
            let record = [
                taken(&plan, Repeat::Keyed),
                attempt(SECOND, 1, 0),
                attempt(SECOND + after, 2, 1),
                answered(9 * SECOND, 200),
            ];
            rules(&plan, &record)
        };
        assert_eq!(again(5 * SECOND), []);
        assert_eq!(again(5 * SECOND + 60_000), [Rule::Repeats]);
    }
}
