//! Endpoints by their listed names: their numbers, and the sockets' view of them.

use crate::host_list::{HostList, HostStatus};
#[cfg(feature = "product")]
use crate::messages::{Exported, NamedEndpoint};
use crate::pool::{Pool, Target};
use crate::product::{Fleet, SnapshotHost};
use load_balancer::settings::NameTable;
#[cfg(feature = "product")]
use load_balancer::{Balancer, RestoredEndpoint};
use load_balancer::{EndpointStatus, ListUpdate, ListedEndpoint};
use std::collections::HashSet;
use std::rc::Rc;

/// Names by number, and what follows lists besides the module.
pub struct EndpointDirectory {
    endpoints: NameTable,
    zones: NameTable,
    kinds: NameTable,
    pool: Rc<Pool>,
    fleet: Option<Fleet>,
    state: Option<SnapshotHost>,
}

impl EndpointDirectory {
    /// No endpoint yet; the settings name some zones.
    pub fn new(
        zones: NameTable,
        pool: Rc<Pool>,
        fleet: Option<Fleet>,
        state: Option<SnapshotHost>,
    ) -> Self {
        Self {
            endpoints: NameTable::default(),
            zones,
            kinds: NameTable::default(),
            pool,
            fleet,
            state,
        }
    }

    /// What was known of endpoints, by their numbers; those without one are left out.
    #[cfg(feature = "product")]
    pub fn by_number(&self, known: Vec<NamedEndpoint>) -> Vec<RestoredEndpoint> {
        let numbered = |named: NamedEndpoint| {
            Some(RestoredEndpoint {
                endpoint: self.endpoints.lookup(&named.name)?,
                ..named.known
            })
        };
        known.into_iter().filter_map(numbered).collect()
    }

    /// How many are listed, and what the module knows of them, by their names.
    #[cfg(feature = "product")]
    pub fn export(&self, balancer: &Balancer) -> Exported {
        let named = |known: RestoredEndpoint| NamedEndpoint {
            name: self.name(known.endpoint).to_owned(),
            known,
        };
        Exported {
            listed: balancer.summary().listed,
            endpoints: balancer.export().into_iter().map(named).collect(),
        }
    }

    /// The name of an endpoint.
    pub fn name(&self, id: usize) -> &str {
        self.endpoints.name(id)
    }

    /// Discovery has answered; returns what the module, which `knows` some endpoints, is to hear.
    pub fn answered(&mut self, list: HostList, knows: impl Fn(usize) -> bool) -> ListUpdate {
        if let Some(fleet) = &self.fleet {
            fleet.list_seen();
        }
        let full = list.snapshot;
        let listings = self.apply(list, full, knows);
        if full {
            ListUpdate::Full(listings)
        } else {
            ListUpdate::Delta(listings)
        }
    }

    /// Brings the sockets' view of the endpoints up to date, before the module, which `knows` some,
    /// can send anything more; returns what it is to hear.
    pub fn apply(
        &mut self,
        list: HostList,
        full: bool,
        knows: impl Fn(usize) -> bool,
    ) -> Vec<ListedEndpoint> {
        if let Some(state) = &self.state {
            state.listed(&list, full);
        }
        for id in self.endpoints.release(|id| !knows(id)) {
            self.pool.release(id);
        }
        let mut listings = Vec::with_capacity(list.endpoints.len());
        for host in list.endpoints {
            let id = self.endpoints.id(&host.name);
            let status = match (host.status, host.address) {
                (HostStatus::Active, Some(_)) => EndpointStatus::Ready,
                // One that can't be reached takes nothing.
                (HostStatus::Active, None) | (HostStatus::Leaving, _) => EndpointStatus::Draining,
                (HostStatus::Left, _) => EndpointStatus::Removed,
            };
            let at = host.address.map(|address| Target {
                address,
                since_ms: host.since_ms,
            });
            self.pool
                .endpoint(id)
                .set(at, status == EndpointStatus::Ready);
            listings.push(ListedEndpoint {
                endpoint: id,
                zone: host.zone.map(|zone| self.zones.id(&zone)),
                cell: host.group,
                kind: host.kind.map(|kind| self.kinds.id(&kind)),
                status,
                size: host.weight,
                started: Some(host.since_ms.saturating_mul(1000)).filter(|at| *at != 0),
                alias: self
                    .fleet
                    .as_ref()
                    .map_or(0, |fleet| fleet.alias(&host.name)),
            });
        }
        if full {
            let listed: HashSet<usize> = listings.iter().map(|l| l.endpoint).collect();
            self.pool.keep_only(&listed);
        }
        if let Some(fleet) = &self.fleet {
            fleet.listed(
                full,
                &listings,
                |id| self.endpoints.name(id),
                |zone| self.zones.name(zone),
            );
        }
        listings
    }
}
