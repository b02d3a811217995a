//! Auditor: no warming server is overloaded.

use super::{Finding, Rule};
use crate::Us;
use crate::plan::Plan;
use crate::record::{Entry, Seen, Try};
use crate::site;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

pub(super) fn cold(plan: &Plan, record: &[Entry], findings: &mut Vec<Finding>) {
    let arrivals: HashMap<Try, usize> = record
        .iter()
        .filter_map(|(_, seen)| match seen {
            Seen::Taken {
                request, arrival, ..
            } => Some((*request, *arrival)),
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
            Seen::Attempt {
                server, request, ..
            } => {
                let Some(start) = started
                    .get(server)
                    .copied()
                    .filter(|s| at - s < site::WARM_WITHIN)
                else {
                    continue;
                };
                let Some(arrival) = request.and_then(|r| arrivals.get(&r)) else {
                    continue;
                };
                let window = windows.entry(*server).or_default();
                window.push_back((*at, plan.arrivals[*arrival].work));
                while window
                    .front()
                    .is_some_and(|(sent, _)| at - sent > site::TIP_AFTER)
                {
                    window.pop_front();
                }
                let spec = &plan.servers[*server];
                let age = (at - start) as f64 / site::WARM_WITHIN as f64;
                let capacity = f64::from(spec.cores)
                    * spec.speed
                    * (site::COLD_SHARE + (1.0 - site::COLD_SHARE) * age);
                let most = site::OVERLOAD * capacity * site::TIP_AFTER as f64 * site::COLD_SLACK;
                let sent: f64 = window.iter().map(|(_, work)| work).sum();
                if sent > most && found.insert((*server, start)) {
                    let what = format!(
                        "server {server}, {} ms after its start, was sent {:.2} times what it can do within a second",
                        (at - start) / 1000,
                        sent / (capacity * site::TIP_AFTER as f64)
                    );
                    findings.push(Finding {
                        rule: Rule::Cold,
                        at: *at,
                        what,
                    });
                }
            }
            _ => {}
        }
    }
}
