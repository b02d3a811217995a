//! Auditors: each checks one rule of the public pages against the record of a run, and shares no
//! code with what it audits.

mod ageing;
mod answers;
mod blackouts;
mod capacity;
mod clear;
mod cold;
mod drains;
mod listed;
mod repeats;
#[cfg(test)]
mod tests;
mod tokens;

use crate::plan::Plan;
use crate::record::{Entry, Seen};
use crate::{SECOND, Us};
use ageing::ageing;
pub use capacity::capacities;
use clear::{clears, picks};
use serde::Serialize;
use std::fmt;

/// How long an act may take from when it is due: a look of the leader a second, and one at what
/// came of it.
const ACTS_WITHIN: Us = 2 * SECOND;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each try that is taken gets exactly one final answer, which a server made for it where it is
    /// a 200.
    Answers,
    /// What may have run is sent again only as its class allows, and not refused where a repeat
    /// would do harm.
    Repeats,
    /// Nothing new to a server later than 300 ms after being told that it drains or is gone.
    Drains,
    /// No cold server is sent more than 2.5 times what it can do, for a second, by all together.
    Cold,
    /// Requests reach only servers that the sidecar's own list has named, and only as clients sent
    /// them.
    Listed,
    /// A sidecar starts, runs and stops in time.
    Process,
    /// No grant brings the capacity that is there below the agreement, and a death that does is
    /// answered in time.
    Capacity,
    /// No act with a token lower than one seen is carried out.
    Tokens,
    /// A server is taken only once nothing runs there any more; nobody picks by an affinity entry
    /// to a process that is clear.
    Clear,
    /// Affinity entries age out alike everywhere.
    Ageing,
    /// Nothing is away by grant in a blackout.
    Blackout,
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
            Self::Capacity => "capacity",
            Self::Tokens => "tokens",
            Self::Clear => "clear",
            Self::Ageing => "ageing",
            Self::Blackout => "blackout",
        })
    }
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// The rule.
    pub rule: Rule,
    /// When, in microseconds since the run began.
    pub at: Us,
    /// What was seen.
    pub what: String,
}

/// Holds every rule against a run. The record is in the order of time.
pub fn audit(plan: &Plan, record: &[Entry]) -> Vec<Finding> {
    let mut findings = Vec::new();
    answers::answers(record, &mut findings);
    repeats::repeats(plan, record, &mut findings);
    drains::drains(record, &mut findings);
    cold::cold(plan, record, &mut findings);
    listed::listed(plan, record, &mut findings);
    processes(record, &mut findings);
    findings.extend(tokens::tokens(record));
    findings.sort_by(|a, b| (a.at, a.rule, &a.what).cmp(&(b.at, b.rule, &b.what)));
    findings
}

/// Holds the rules of maintenance against a run whose windows are granted.
pub fn audit_windows(plan: &Plan, record: &[Entry]) -> Vec<Finding> {
    let mut findings = capacities(plan, record).0;
    findings.extend(clears(record));
    findings.extend(blackouts::blackouts(plan, record, ACTS_WITHIN));
    findings
}

/// Holds the rules of affinity entries against a run that began at that Unix time, in milliseconds.
pub fn audit_bindings(plan: &Plan, began_ms: u64, record: &[Entry]) -> Vec<Finding> {
    let mut findings = ageing(plan, began_ms, record);
    findings.extend(picks(record));
    findings
}

fn processes(record: &[Entry], findings: &mut Vec<Finding>) {
    for (at, seen) in record {
        if let Seen::CoordinatorFaultFailed { what } = seen {
            findings.push(Finding {
                rule: Rule::Process,
                at: *at,
                what: what.clone(),
            });
        }
        if let Seen::SidecarFault { sidecar, what } = seen {
            findings.push(Finding {
                rule: Rule::Process,
                at: *at,
                what: format!("sidecar {sidecar} {what}"),
            });
        }
    }
}
