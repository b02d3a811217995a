//! One incarnation of a sidecar in simulated time, and the part of its configuration that applies
//! there.

use super::event::What;
use crate::Us;
use crate::experiment::Variant;
use crate::member_addresses::{Address, section};
use crate::plan::Plan;
use crate::run::FLEET;
use load_balancer::{AttemptIndex, Balancer, RequestId};
use load_balancer_common::config::{self, Configuration, InvalidConfig, InvalidSetting};
use load_balancer_gossip::core::Core;
use load_balancer_gossip::section::FleetSection;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

/// One life of a sidecar.
pub(super) struct Instance {
    pub(super) sidecar: usize,
    pub(super) balancer: Balancer,
    pub(super) member: Option<Box<Core>>,
    pub(super) heard: usize,
    pub(super) out: BTreeMap<(RequestId, AttemptIndex), Out>,
    pub(super) sends: BTreeMap<RequestId, AttemptIndex>,
    pub(super) idle: BTreeMap<usize, Vec<Us>>,
    /// Stopped: what comes waits.
    pub(super) frozen: Option<Vec<What>>,
    pub(super) dead: bool,
}

pub(super) struct Out {
    pub(super) server: usize,
    pub(super) sent: Us,
    pub(super) number: u64,
}

pub(super) struct Open {
    pub(super) instance: usize,
    pub(super) arrival: usize,
    pub(super) attempt: u32,
}

/// What of a product configuration has a meaning here.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
struct Sections {
    fleet: FleetSection,
}

impl Configuration for Sections {
    fn check(&self) -> Result<(), InvalidSetting> {
        self.fleet.check()
    }
}

/// Where a sidecar's datagrams would arrive: nobody listens there.
pub(super) fn address(sidecar: usize) -> SocketAddr {
    let [_, a, b, c] = (sidecar as u32 + 1).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, a, b, c), 7946))
}

/// Each sidecar's section, where the variant has any.
pub(super) fn sections(variant: &Variant, plan: &Plan) -> Result<Vec<FleetSection>, InvalidConfig> {
    if !variant.config.contains(FLEET) {
        return Ok(Vec::new());
    }
    let both = |sidecar| Address {
        own: address(sidecar),
        front: address(sidecar),
    };
    let addresses: Vec<Address> = (0..plan.sidecars.len()).map(both).collect();
    let name = Path::new(&variant.name);
    let of = |(sidecar, spec): (usize, &crate::plan::SidecarSpec)| {
        let text = variant
            .config
            .replace(FLEET, &section(&addresses, sidecar, spec.clock_offset_ms));
        Ok(config::parse::<Sections>(name, &text)?.fleet)
    };
    plan.sidecars.iter().enumerate().map(of).collect()
}
