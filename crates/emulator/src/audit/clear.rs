//! Auditor: a server is taken only once no client can be waiting for it, and nobody picks by an
//! affinity entry to a drained process. Requests that broke off with their connection have no end
//! in the record.

use super::{Finding, Rule};
use crate::Us;
use crate::record::{Act, Entry, Seen};
use crate::site;
use std::collections::{HashMap, HashSet};

/// Holds every take of a run against what ran at the server at that moment.
pub fn clears(record: &[Entry]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut runs: HashMap<usize, HashMap<u64, (Us, usize)>> = HashMap::new();
    let mut drained: HashMap<usize, Us> = HashMap::new();
    let mut of: HashMap<u64, usize> = HashMap::new();
    let mut away: HashSet<usize> = HashSet::new();
    for (at, seen) in record {
        match seen {
            Seen::Attempt {
                number,
                server,
                sidecar,
                ..
            } => {
                of.insert(*number, *server);
                runs.entry(*server)
                    .or_default()
                    .insert(*number, (*at, *sidecar));
            }
            Seen::AttemptAnswered { number, .. } | Seen::AttemptSwallowed { number } => {
                if let Some(server) = of.remove(number) {
                    runs.entry(server).or_default().remove(number);
                }
            }
            Seen::Acted {
                act: Act::Take,
                server,
                window,
                accepted: true,
                ..
            } if away.insert(*server) => {
                let mut there = runs.remove(server).unwrap_or_default();
                there.retain(|_, (came, _)| *at < *came + site::longest_deadline());
                if let Some((came, sidecar)) = there.values().max() {
                    let drain = drained.get(server).copied().unwrap_or(0);
                    let what = format!(
                        "server {server} was taken for window {window}, {} ms after its drain, while {} requests ran there, the last of which sidecar {sidecar} sent {} ms before",
                        (at - drain) / 1000,
                        there.len(),
                        (at - came) / 1000
                    );
                    findings.push(Finding {
                        rule: Rule::Clear,
                        at: *at,
                        what,
                    });
                }
            }
            // What ran there, or was sent by it, ended with it.
            Seen::ServerDown { server } => drop(runs.remove(server)),
            Seen::SidecarDown { sidecar, .. } => {
                runs.values_mut()
                    .for_each(|there| there.retain(|_, (_, from)| from != sidecar));
            }
            Seen::Acted {
                act: Act::Drain,
                server,
                accepted: true,
                ..
            } => {
                drained.entry(*server).or_insert(*at);
            }
            Seen::Acted {
                act: Act::CallBack | Act::Return,
                server,
                accepted: true,
                ..
            } => {
                drained.remove(server);
            }
            Seen::ServerUp { server } => drop(away.remove(server)),
            _ => {}
        }
    }
    findings
}

/// What a sidecar's page and the emulator's clock may be apart.
const SLACK: Us = 150_000;

/// Holds picks by affinity entries, as sidecars tell of them, against the processes that were clear
/// by then.
pub fn picks(record: &[Entry]) -> Vec<Finding> {
    let mut clear: HashMap<usize, Us> = HashMap::new();
    let mut found: HashSet<(usize, usize)> = HashSet::new();
    let mut findings = Vec::new();
    for (at, seen) in record {
        match seen {
            Seen::Cleared { server, .. } => drop(clear.entry(*server).or_insert(*at)),
            // Another process, or another epoch of this one.
            Seen::ServerUp { server } | Seen::Stays { server } => drop(clear.remove(server)),
            Seen::Dump(dump) => {
                for (server, started, last) in &dump.picks {
                    let since = clear
                        .get(server)
                        .filter(|since| *started == 0 && *last > **since + SLACK);
                    if let Some(since) = since.filter(|_| found.insert((dump.sidecar, *server))) {
                        let late = (last - since) / 1000;
                        let what = format!(
                            "sidecar {} picked server {server} by a binding {late} ms after it was clear",
                            dump.sidecar
                        );
                        findings.push(Finding {
                            rule: Rule::Clear,
                            at: *at,
                            what,
                        });
                    }
                }
            }
            _ => {}
        }
    }
    findings
}

#[cfg(test)]
mod tests;
