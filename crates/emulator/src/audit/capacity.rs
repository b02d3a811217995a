//! Auditor: admitted windows never bring the capacity in service below the capacity floor, by the
//! servers' own record.

use super::{Finding, Rule};
use crate::Us;
use crate::listing::capacity;
use crate::plan::{Kept, Plan};
use crate::record::{Act, Entry, Seen};
use crate::site;
use std::collections::HashMap;

#[derive(Clone, Copy)]
struct Server {
    weight: u64,
    zone: usize,
    /// Drained or taken by an accepted act, and not seen to serve warm since it was returned.
    by_act: bool,
    /// Drained and not taken.
    drains: bool,
    /// Since when its process has been down or silent, without an act.
    dead: Option<Us>,
    /// When its process started, and whether it has answered since then.
    up: Us,
    /// See `up`.
    served: bool,
}

struct Count<'a> {
    kept: &'a Kept,
    servers: Vec<Server>,
}

impl Count<'_> {
    /// What is there falls short of: a sentence, where it does. Deaths count from `known` on.
    fn short(&self, known: impl Fn(Us) -> bool) -> Option<String> {
        let missing = |s: &&Server| s.by_act || s.dead.is_some_and(&known);
        let there = |zone: Option<usize>| -> u64 {
            let of = |s: &&Server| zone.is_none_or(|zone| zone == s.zone) && !missing(s);
            self.servers.iter().filter(of).map(|s| s.weight).sum()
        };
        let away = self.servers.iter().filter(missing).count();
        if away > self.kept.most_away {
            return Some(format!(
                "{away} servers are away of {} at most",
                self.kept.most_away
            ));
        }
        if there(None) < self.kept.keep {
            return Some(format!(
                "{} of capacity is there and {} must stay",
                there(None),
                self.kept.keep
            ));
        }
        let zone = (0..self.kept.keep_zone.len())
            .find(|zone| there(Some(*zone)) < self.kept.keep_zone[*zone])?;
        Some(format!(
            "{} is there in zone {zone} and {} must stay",
            there(Some(zone)),
            self.kept.keep_zone[zone]
        ))
    }
}

/// Holds the agreement against the acts of a run. The least part of the capacity that was there at
/// any time comes second, deaths included.
#[expect(
    clippy::too_many_lines,
    reason = "one pass over the record; to be split by event"
)]
pub fn capacities(plan: &Plan, record: &[Entry]) -> (Vec<Finding>, f64) {
    let Some(kept) = &plan.kept else {
        return (Vec::new(), 1.0);
    };
    let servers = plan.servers.iter().filter(|spec| spec.first);
    let server = |weight, zone| Server {
        weight,
        zone,
        by_act: false,
        drains: false,
        dead: None,
        up: 0,
        served: false,
    };
    let mut count = Count {
        kept,
        servers: servers
            .map(|spec| server(capacity(spec), spec.zone))
            .collect(),
    };
    let whole: u64 = count.servers.iter().map(|s| s.weight).sum();
    let (mut findings, mut least, mut short_since) = (Vec::new(), whole, None::<Us>);
    let mut of_attempt: HashMap<u64, usize> = HashMap::new();
    for (at, seen) in record {
        for s in count
            .servers
            .iter_mut()
            .filter(|s| s.by_act && s.served && s.dead.is_none())
        {
            s.by_act = *at + site::SLACK < s.up + site::WARM_WITHIN;
        }
        // What was short and could be helped by calling back what drains has to be helped in time.
        if let Some(since) = short_since.filter(|since| *at > since + kept.answered_within) {
            let drains = count.servers.iter().filter(|s| s.drains).count();
            if drains > 0 {
                let what = format!(
                    "{drains} servers still drain {} ms after a death that the agreement has no room for",
                    (at - since) / 1000
                );
                findings.push(Finding {
                    rule: Rule::Capacity,
                    at: *at,
                    what,
                });
            }
            short_since = None;
        }
        match seen {
            Seen::Acted {
                act,
                server,
                window,
                accepted: true,
                ..
            } => {
                let Some(s) = count.servers.get_mut(*server) else {
                    continue;
                };
                let was = *s;
                match act {
                    Act::Drain => (s.drains, s.by_act) = (!was.by_act || was.drains, true),
                    Act::Take => (s.drains, s.by_act) = (false, true),
                    Act::Return | Act::CallBack if was.drains => {
                        (s.drains, s.by_act) = (false, false)
                    }
                    Act::Return | Act::CallBack => {}
                }
                let known = |since: Us| *at > since + kept.answered_within;
                if matches!(act, Act::Drain | Act::Take)
                    && !was.by_act
                    && let Some(short) = count.short(known)
                {
                    let what = format!("server {server} went away for window {window}: {short}");
                    findings.push(Finding {
                        rule: Rule::Capacity,
                        at: *at,
                        what,
                    });
                }
            }
            Seen::ServerDown { server } | Seen::ServerSilent { server, on: true } => {
                let Some(s) = count.servers.get_mut(*server) else {
                    continue;
                };
                s.dead = s.dead.or(Some(*at));
                if !s.by_act && count.short(|_| true).is_some() {
                    short_since = short_since.or(Some(*at));
                }
            }
            Seen::ServerUp { server } | Seen::ServerSilent { server, on: false } => {
                if let Some(s) = count.servers.get_mut(*server) {
                    s.dead = None;
                    if matches!(seen, Seen::ServerUp { .. }) {
                        (s.up, s.served) = (*at, false);
                    }
                }
            }
            Seen::Attempt { number, server, .. } => drop(of_attempt.insert(*number, *server)),
            Seen::AttemptAnswered {
                number,
                status: 200,
                ..
            } => {
                let server = of_attempt
                    .remove(number)
                    .and_then(|server| count.servers.get_mut(server));
                if let Some(s) = server.filter(|s| s.by_act && !s.drains && s.dead.is_none()) {
                    s.served = true;
                }
            }
            _ => {}
        }
        if count.short(|_| true).is_none() {
            short_since = None;
        }
        let there = count
            .servers
            .iter()
            .filter(|s| !s.by_act && s.dead.is_none())
            .map(|s| s.weight)
            .sum();
        least = least.min(there);
    }
    (findings, least as f64 / whole.max(1) as f64)
}

#[cfg(test)]
mod tests;
