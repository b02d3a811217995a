//! Endpoint ids by listed name, and the connection pool's view of the list.

use crate::host_list::{HostList, HostStatus};
#[cfg(feature = "product")]
use crate::messages::{ExportedEndpoints, NamedEndpoint};
use crate::pool::{Pool, Target};
use crate::product::{Fleet, SnapshotHost};
use load_balancer::settings::NameTable;
#[cfg(feature = "product")]
use load_balancer::{Balancer, RestoredEndpoint};
use load_balancer::{EndpointStatus, ListUpdate, ListedEndpoint};
use std::collections::HashSet;
use std::rc::Rc;

/// Endpoint ids by name, and the other components that follow the list.
pub struct EndpointDirectory {
    endpoints: NameTable,
    zones: NameTable,
    kinds: NameTable,
    pool: Rc<Pool>,
    fleet: Option<Fleet>,
    snapshot: Option<SnapshotHost>,
}

impl EndpointDirectory {
    /// Starts without endpoints; the settings name some zones.
    pub fn new(
        zones: NameTable,
        pool: Rc<Pool>,
        fleet: Option<Fleet>,
        snapshot: Option<SnapshotHost>,
    ) -> Self {
        Self {
            endpoints: NameTable::default(),
            zones,
            kinds: NameTable::default(),
            pool,
            fleet,
            snapshot,
        }
    }

    /// Restored endpoints with their ids; those that are not listed are omitted.
    #[cfg(feature = "product")]
    pub fn restored_endpoints(&self, known: Vec<NamedEndpoint>) -> Vec<RestoredEndpoint> {
        let to_restored = |named: NamedEndpoint| {
            Some(RestoredEndpoint {
                endpoint: self.endpoints.lookup(&named.name)?,
                ..named.known
            })
        };
        known.into_iter().filter_map(to_restored).collect()
    }

    /// The number of listed endpoints, and the module's state of each by name.
    #[cfg(feature = "product")]
    pub fn export(&self, balancer: &Balancer) -> ExportedEndpoints {
        let to_named = |known: RestoredEndpoint| NamedEndpoint {
            name: self.name(known.endpoint).to_owned(),
            known,
        };
        ExportedEndpoints {
            listed: balancer.summary().listed,
            endpoints: balancer.export().into_iter().map(to_named).collect(),
        }
    }

    /// The name of an endpoint.
    pub fn name(&self, id: usize) -> &str {
        self.endpoints.name(id)
    }

    /// Applies an answer of discovery; returns the update for the module. `is_known` tells which
    /// endpoints the module still holds.
    pub fn apply_answer(&mut self, list: HostList, is_known: impl Fn(usize) -> bool) -> ListUpdate {
        if let Some(fleet) = &self.fleet {
            fleet.confirm_list();
        }
        let is_full = list.snapshot;
        let endpoints = self.apply_list(list, is_full, is_known);
        if is_full {
            ListUpdate::Full(endpoints)
        } else {
            ListUpdate::Delta(endpoints)
        }
    }

    /// Updates the pool's view of the endpoints before the module can send anything more; returns
    /// the list for the module. `is_known` tells which endpoints the module still holds.
    pub fn apply_list(
        &mut self,
        list: HostList,
        is_full: bool,
        is_known: impl Fn(usize) -> bool,
    ) -> Vec<ListedEndpoint> {
        if let Some(snapshot) = &self.snapshot {
            snapshot.update_list(&list, is_full);
        }
        for id in self.endpoints.release(|id| !is_known(id)) {
            self.pool.release(id);
        }
        let mut listed_endpoints = Vec::with_capacity(list.endpoints.len());
        for host in list.endpoints {
            let id = self.endpoints.id(&host.name);
            let status = match (host.status, host.address) {
                (HostStatus::Active, Some(_)) => EndpointStatus::Ready,
                // An endpoint without an address takes no requests.
                (HostStatus::Active, None) | (HostStatus::Draining, _) => EndpointStatus::Draining,
                (HostStatus::Removed, _) => EndpointStatus::Removed,
            };
            let target = host.address.map(|address| Target {
                address,
                started_ms: host.started_ms,
            });
            self.pool
                .endpoint(id)
                .update(target, status == EndpointStatus::Ready);
            listed_endpoints.push(ListedEndpoint {
                endpoint: id,
                zone: host.zone.map(|zone| self.zones.id(&zone)),
                cell: host.group,
                kind: host.kind.map(|kind| self.kinds.id(&kind)),
                status,
                size: host.weight,
                started: Some(host.started_ms.saturating_mul(1000)).filter(|at| *at != 0),
                alias: self
                    .fleet
                    .as_ref()
                    .map_or(0, |fleet| fleet.alias(&host.name)),
            });
        }
        if is_full {
            let listed_ids: HashSet<usize> = listed_endpoints.iter().map(|l| l.endpoint).collect();
            self.pool.keep_only(&listed_ids);
        }
        if let Some(fleet) = &self.fleet {
            fleet.set_endpoints(
                is_full,
                &listed_endpoints,
                |id| self.endpoints.name(id),
                |zone| self.zones.name(zone),
            );
        }
        listed_endpoints
    }
}
