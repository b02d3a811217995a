//! Converts the endpoint list and what is known of endpoints to and from the stored form.

use crate::config::Config;
use crate::host_list::{Host, HostList, HostStatus};
use crate::messages::NamedEndpoint;
use load_balancer::RestoredEndpoint;
use load_balancer_snapshot::{Entry, List, Micros, Process};
use std::collections::BTreeMap;

/// How often a list is kept anew that discovery only confirms: a tenth of the time for which it is
/// believed.
const CONFIRMED_EVERY: Micros = 60_000_000;

/// The list as it is followed, to be kept.
#[derive(Default)]
pub struct Lists {
    index: u64,
    entries: BTreeMap<String, Entry>,
    /// When discovery last said something; before it does there is nothing to keep.
    seen: Option<Micros>,
    /// The list of the start has been taken.
    begun: bool,
    changed: bool,
    kept: Micros,
}

impl Lists {
    /// Begins with what was kept: where it is newer than the platform's it takes that one's place.
    /// Discovery is asked for what came after the platform's version all the same, so that it need
    /// not know the kept one.
    pub fn begin(kept: Option<List>, config: &mut Config) -> Self {
        let platform = config.known.as_ref().map_or(0, |list| list.index);
        if let Some(list) = kept.filter(|list| list.index > platform) {
            let endpoints = list.entries.into_iter().map(host).collect();
            config.known = Some(HostList {
                index: platform,
                snapshot: true,
                endpoints,
                unread: 0,
            });
        }
        Self::default()
    }

    /// Takes in a list or changes; the first is the one that the start began with.
    pub fn take(&mut self, list: &HostList, full: bool, now: Micros) {
        if full {
            self.entries.clear();
        }
        for host in &list.endpoints {
            match host.status {
                HostStatus::Left => drop(self.entries.remove(&host.name)),
                _ => drop(self.entries.insert(host.name.clone(), entry(host))),
            }
        }
        if std::mem::replace(&mut self.begun, true) {
            self.changed |=
                !list.endpoints.is_empty() || self.index != list.index || self.seen.is_none();
            self.seen = Some(now);
        }
        self.index = list.index;
    }

    /// The list, where it is to be kept anew.
    pub fn due(&mut self, now: Micros, last: bool) -> Option<List> {
        let seen = self.seen?;
        if !(self.changed || last || now.saturating_sub(self.kept) >= CONFIRMED_EVERY) {
            return None;
        }
        (self.changed, self.kept) = (false, now);
        Some(List {
            index: self.index,
            seen,
            entries: self.entries.values().cloned().collect(),
        })
    }
}

fn entry(host: &Host) -> Entry {
    Entry {
        name: host.name.clone(),
        address: host.address,
        zone: host.zone.clone(),
        kind: host.kind.clone(),
        group: host.group,
        leaving: host.status == HostStatus::Leaving,
        weight: host.weight,
        since_ms: host.since_ms,
    }
}

fn host(entry: Entry) -> Host {
    Host {
        name: entry.name,
        address: entry.address,
        zone: entry.zone,
        kind: entry.kind,
        group: entry.group,
        status: if entry.leaving {
            HostStatus::Leaving
        } else {
            HostStatus::Active
        },
        weight: entry.weight,
        since_ms: entry.since_ms,
    }
}

/// What was known of a process, as the engine is told; it knows the endpoint by its name.
pub fn restored(process: Process) -> NamedEndpoint {
    let endpoint = RestoredEndpoint {
        endpoint: 0,
        started: process.started,
        last_outcome_at: process.seen,
        circuit_open: process.open,
        openings: process.openings,
        latency_per_work: process.slow,
        concurrency_limit: process.cap,
    };
    NamedEndpoint {
        name: process.name,
        known: endpoint,
    }
}

/// What the engine knows of a process, in the form in which it is stored.
pub fn stored(NamedEndpoint { name, known }: NamedEndpoint) -> Process {
    Process {
        name,
        started: known.started,
        seen: known.last_outcome_at,
        open: known.circuit_open,
        openings: known.openings,
        slow: known.latency_per_work,
        cap: known.concurrency_limit,
    }
}
