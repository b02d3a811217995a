//! Auditor: an action with a fencing token below one already seen is refused.

use super::{Finding, Rule};
use crate::record::{Act, Entry, Seen};
use std::collections::{HashMap, HashSet};

/// Holds every act of a play against the tokens before it.
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
mod tests {
    use super::*;

    #[test]
    fn a_lower_token_is_refused_and_none_else_and_nothing_is_drained_twice() {
        let acted = |at, act, token, accepted| {
            (
                at,
                Seen::Acted {
                    act,
                    server: 1,
                    window: 1,
                    token,
                    accepted,
                },
            )
        };
        let broken = |record: &[Entry]| tokens(record).iter().map(|f| f.at).collect::<Vec<_>>();
        let good = [
            acted(1, Act::Drain, 5, true),
            acted(2, Act::Drain, 5, true),
            acted(3, Act::Take, 5, true),
            acted(4, Act::Drain, 4, false),
            acted(5, Act::Return, 6, true),
        ];
        assert_eq!(broken(&good), Vec::<u64>::new());
        assert_eq!(
            broken(&[&good[..], &[acted(6, Act::Take, 5, true)]].concat()),
            [6]
        );
        assert_eq!(
            broken(&[&good[..], &[acted(6, Act::Take, 7, false)]].concat()),
            [6]
        );
        assert_eq!(
            broken(&[&good[..3], &[acted(6, Act::Drain, 5, true)]].concat()),
            [6]
        );
    }
}
