//! Auditor: no server is away by admission during a blackout.

use super::{Finding, Rule};
use crate::Us;
use crate::plan::{Kept, Plan};
use crate::record::{Act, Entry, Seen};
use std::collections::BTreeMap;

/// Holds the blackouts of a run against the acts. In one nothing is drained or taken; before it
/// begins what drains is cancelled and what is away is told to return, but for the time that acting
/// takes. How long a server then takes to come back is no act of those who grant; where no overrun
/// may reach into a blackout, the planned end of a window, overrun included, lies before it too.
pub fn blackouts(plan: &Plan, record: &[Entry], acts_within: Us) -> Vec<Finding> {
    let Some(kept) = &plan.kept else {
        return Vec::new();
    };
    let mut findings = Vec::new();
    for blackout in &kept.blackouts {
        in_one(plan, kept, *blackout, record, acts_within, &mut findings);
    }
    findings
}

fn in_one(
    plan: &Plan,
    kept: &Kept,
    (from, until): (Us, Us),
    record: &[Entry],
    acts_within: Us,
    findings: &mut Vec<Finding>,
) {
    // What is away by grant and was not told to come back, and since when it was drained.
    let mut out: BTreeMap<usize, Us> = BTreeMap::new();
    let mut broken = |at: Us, what: String| {
        findings.push(Finding {
            rule: Rule::Blackout,
            at,
            what,
        })
    };
    let mut looked = false;
    for (at, seen) in record {
        if *at > from + acts_within && !looked {
            looked = true;
            for server in out.keys() {
                broken(
                    *at,
                    format!("server {server} was not told to come back before the blackout"),
                );
            }
        }
        let Seen::Acted {
            act,
            server,
            accepted: true,
            ..
        } = seen
        else {
            continue;
        };
        match act {
            Act::Drain | Act::Take => {
                let new = out.insert(*server, *at).is_none();
                if new && (from + acts_within..until).contains(at) {
                    broken(*at, format!("server {server} went away in a blackout"));
                }
                let window = plan
                    .windows
                    .iter()
                    .find(|window| window.servers.contains(server));
                let overrun = window
                    .filter(|_| !kept.overrun_may_enter)
                    .map_or(0, |w| w.overrun);
                let ends = *at + window.map_or(0, |w| w.length) + overrun;
                if new && *at < from && ends > from {
                    broken(
                        *at,
                        format!("server {server} went away for longer than until the blackout"),
                    );
                }
            }
            Act::Return | Act::CallBack => drop(out.remove(server)),
        }
    }
}

#[cfg(test)]
mod tests;
