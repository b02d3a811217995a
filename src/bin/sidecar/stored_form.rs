//! Converts the endpoint list and the endpoints' state to and from the stored form.

use crate::config::Config;
use crate::host_list::{HostList, HostStatus, ListedHost};
use crate::messages::NamedEndpoint;
use load_balancer::RestoredEndpoint;
use load_balancer_snapshot::{Entry, List, Micros, Process};
use std::collections::BTreeMap;

/// How often a list that discovery merely confirms is stored again: a tenth of the time for which
/// it is valid.
const LIST_STORE_INTERVAL_US: Micros = 60_000_000;

/// The endpoint list in its stored form, kept up to date.
#[derive(Default)]
pub struct StoredList {
    index: u64,
    entries: BTreeMap<String, Entry>,
    /// When discovery last answered; before that there is nothing to store.
    confirmed_at: Option<Micros>,
    /// Whether the initial list was received.
    has_initial_list: bool,
    changed: bool,
    stored_at: Micros,
}

impl StoredList {
    /// Starts with the stored list: if it is newer than the platform's, it replaces that one.
    /// Discovery is still asked for changes since the platform's version, so that it need not know
    /// the stored one.
    pub fn restore(stored: Option<List>, config: &mut Config) -> Self {
        let platform = config.cached_list.as_ref().map_or(0, |list| list.index);
        if let Some(list) = stored.filter(|list| list.index > platform) {
            let endpoints = list.entries.into_iter().map(from_entry).collect();
            config.cached_list = Some(HostList {
                index: platform,
                snapshot: true,
                endpoints,
                unreadable: 0,
            });
        }
        Self::default()
    }

    /// Applies a list or changes to one; the first call is for the initial list.
    pub fn update(&mut self, list: &HostList, is_full: bool, now: Micros) {
        if is_full {
            self.entries.clear();
        }
        for host in &list.endpoints {
            match host.status {
                HostStatus::Removed => drop(self.entries.remove(&host.name)),
                _ => drop(self.entries.insert(host.name.clone(), to_entry(host))),
            }
        }
        if std::mem::replace(&mut self.has_initial_list, true) {
            self.changed |= !list.endpoints.is_empty()
                || self.index != list.index
                || self.confirmed_at.is_none();
            self.confirmed_at = Some(now);
        }
        self.index = list.index;
    }

    /// The list, if it is due to be stored.
    pub fn take_due(&mut self, now: Micros, is_last: bool) -> Option<List> {
        let confirmed_at = self.confirmed_at?;
        if !(self.changed
            || is_last
            || now.saturating_sub(self.stored_at) >= LIST_STORE_INTERVAL_US)
        {
            return None;
        }
        (self.changed, self.stored_at) = (false, now);
        Some(List {
            index: self.index,
            seen: confirmed_at,
            entries: self.entries.values().cloned().collect(),
        })
    }
}

fn to_entry(host: &ListedHost) -> Entry {
    Entry {
        name: host.name.clone(),
        address: host.address,
        zone: host.zone.clone(),
        kind: host.kind.clone(),
        group: host.group,
        leaving: host.status == HostStatus::Draining,
        weight: host.weight,
        since_ms: host.started_ms,
    }
}

fn from_entry(entry: Entry) -> ListedHost {
    ListedHost {
        name: entry.name,
        address: entry.address,
        zone: entry.zone,
        kind: entry.kind,
        group: entry.group,
        status: if entry.leaving {
            HostStatus::Draining
        } else {
            HostStatus::Active
        },
        weight: entry.weight,
        started_ms: entry.since_ms,
    }
}

/// The restored state of a process, for the engine, which identifies endpoints by name.
pub fn to_named(process: Process) -> NamedEndpoint {
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

/// The state of a process in its stored form.
pub fn to_process(NamedEndpoint { name, known }: NamedEndpoint) -> Process {
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
