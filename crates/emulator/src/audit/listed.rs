//! Auditor: requests go only to listed servers, and only what a client sent.

use super::{Finding, Rule};
use crate::directory::State;
use crate::plan::Plan;
use crate::record::{Entry, Seen, Try};
use std::collections::BTreeSet;

pub(super) fn listed(plan: &Plan, record: &[Entry], findings: &mut Vec<Finding>) {
    let mut named: BTreeSet<(usize, usize)> = BTreeSet::new();
    let known: BTreeSet<usize> = plan.directory.initial.iter().copied().collect();
    let mut tries: BTreeSet<Try> = BTreeSet::new();
    for (at, seen) in record {
        match seen {
            Seen::PlatformConfig {
                sidecar,
                server,
                state: State::Active { .. },
            } => {
                named.insert((*sidecar, *server));
            }
            Seen::Taken { request, .. } => {
                tries.insert(*request);
            }
            Seen::Attempt {
                request,
                sidecar,
                server,
                ..
            } => {
                if !known.contains(server) && !named.contains(&(*sidecar, *server)) {
                    let what = format!(
                        "sidecar {sidecar} sent to server {server}, which its list never named"
                    );
                    findings.push(Finding {
                        rule: Rule::Listed,
                        at: *at,
                        what,
                    });
                }
                if request.is_none_or(|request| !tries.contains(&request)) {
                    let what =
                        format!("sidecar {sidecar} sent server {server} what no client had sent");
                    findings.push(Finding {
                        rule: Rule::Listed,
                        at: *at,
                        what,
                    });
                }
            }
            _ => {}
        }
    }
}
