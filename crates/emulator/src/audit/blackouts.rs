//! Auditor: no server is away by admission during a blackout.

use super::{Finding, Rule};
use crate::Us;
use crate::plan::{Kept, Plan};
use crate::record::{Act, Entry, Seen};
use std::collections::BTreeMap;

/// Holds the blackouts of a play against the acts. In one nothing is drained or taken; before it begins what drains is
/// called back and what is away is told to return, but for the time that acting takes. How long a server then takes
/// to come back is no act of those who grant; where no overrun may reach into a blackout, the planned end of a window,
/// overrun included, lies before it too.
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
mod tests {
    use super::*;
    use crate::SECOND;
    use crate::draw::draw;
    use crate::experiment::Experiment;
    use crate::plan::WindowSpec;

    const NONE: [Us; 0] = [];

    /// The times of findings, of a window of 5 s with an overrun of 2 s and a blackout from 10 to 20 s.
    fn broken(overrun_may_enter: bool, acts: &[(Us, Act)]) -> Vec<Us> {
        let mut plan = draw(
            &Experiment {
                name: "a".to_owned(),
                ..Experiment::default()
            },
            1,
        );
        let (keep, keep_zone, most_away, answered_within) = (0, vec![0; 3], 9, 8 * SECOND);
        plan.kept = Some(Kept {
            blackouts: vec![(10 * SECOND, 20 * SECOND)],
            keep,
            keep_zone,
            most_away,
            answered_within,
            overrun_may_enter,
        });
        let (length, overrun) = (5 * SECOND, 2 * SECOND);
        let (servers, latest) = (vec![3], 60 * SECOND);
        plan.windows = vec![WindowSpec {
            at: 0,
            servers,
            length,
            overrun,
            latest,
            priority: 0,
            split: true,
        }];
        let acted = |(at, act): &(Us, Act)| {
            (
                at * SECOND,
                Seen::Acted {
                    act: *act,
                    server: 3,
                    window: 1,
                    token: 1,
                    accepted: true,
                },
            )
        };
        let record: Vec<Entry> = acts.iter().map(acted).collect();
        blackouts(&plan, &record, SECOND)
            .iter()
            .map(|finding| finding.at / SECOND)
            .collect()
    }

    #[test]
    fn what_goes_away_in_a_blackout_or_too_late_before_it_or_stays_is_found() {
        use Act::{CallBack, Drain, Return, Take};
        assert_eq!(
            broken(false, &[(2, Drain), (3, Take), (8, Return), (30, Drain)]),
            NONE
        );
        assert_eq!(broken(false, &[(12, Drain), (13, CallBack)]), [12]);
        assert_eq!(broken(false, &[(12, Take), (13, Return)]), [12]);
        assert_eq!(
            broken(false, &[(4, Drain), (6, CallBack)]),
            [4],
            "it would end at 11"
        );
        assert_eq!(broken(true, &[(4, Drain), (6, CallBack)]), NONE);
        assert_eq!(
            broken(true, &[(4, Drain), (5, Take), (12, Return)]),
            [12],
            "away until 12"
        );
    }
}
