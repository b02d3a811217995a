//! Auditor: an action with a fencing token below one already seen is refused.

use super::{Finding, Rule};
use crate::record::{Act, Entry, Seen};
use std::collections::{HashMap, HashSet};

/// Holds every act of a run against the tokens before it.
pub fn tokens(record: &[Entry]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut highest: HashMap<usize, u64> = HashMap::new();
    let mut taken: HashSet<(usize, u64)> = HashSet::new();
    for (at, seen) in record {
        let Seen::Acted {
            act,
            server,
            window,
            token,
            accepted,
        } = seen
        else {
            continue;
        };
        let seen = highest.entry(*server).or_default();
        let mut broken = |what: String| {
            findings.push(Finding {
                rule: Rule::Tokens,
                at: *at,
                what,
            })
        };
        if *accepted && token < seen {
            broken(format!(
                "server {server} was acted on with token {token} after {seen}"
            ));
        }
        if !accepted && token >= seen {
            broken(format!(
                "server {server} was refused to token {token}, the highest being {seen}"
            ));
        }
        // Who drains again with a token by which the server was taken already has forgotten that.
        if *act == Act::Take && *accepted {
            taken.insert((*server, *token));
        } else if *act == Act::Drain && *accepted && taken.contains(&(*server, *token)) {
            broken(format!(
                "server {server} was drained twice for window {window}"
            ));
        }
        *seen = (*seen).max(*token);
    }
    findings
}

#[cfg(test)]
mod tests;
