//! One incarnation of a sidecar in simulated time, and the part of its configuration that applies
//! to it.

use super::event::SimEvent;
use crate::Us;
use crate::experiment::Variant;
use crate::member_addresses::{MemberAddress, fleet_section_text};
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

/// One incarnation of a sidecar.
pub(super) struct Instance {
    pub(super) sidecar: usize,
    pub(super) balancer: Balancer,
    pub(super) member: Option<Box<Core>>,
    pub(super) list_version: usize,
    pub(super) in_flight: BTreeMap<(RequestId, AttemptIndex), InFlight>,
    pub(super) attempt_counts: BTreeMap<RequestId, AttemptIndex>,
    pub(super) idle_connections: BTreeMap<usize, Vec<Us>>,
    /// Events deferred while the process is suspended.
    pub(super) deferred: Option<Vec<SimEvent>>,
    pub(super) dead: bool,
}

pub(super) struct InFlight {
    pub(super) server: usize,
    pub(super) sent_at: Us,
    pub(super) number: u64,
}

pub(super) struct OpenRequest {
    pub(super) instance: usize,
    pub(super) arrival: usize,
    pub(super) attempt: u32,
}

/// The sections of a product configuration that apply here.
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

/// The address of a sidecar's datagrams; nothing listens there.
pub(super) fn address(sidecar: usize) -> SocketAddr {
    let [_, a, b, c] = (sidecar as u32 + 1).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, a, b, c), 7946))
}

/// The fleet section of each sidecar, if the variant has one.
pub(super) fn sections(variant: &Variant, plan: &Plan) -> Result<Vec<FleetSection>, InvalidConfig> {
    if !variant.config.contains(FLEET) {
        return Ok(Vec::new());
    }
    let both_addresses = |sidecar| MemberAddress {
        own: address(sidecar),
        public: address(sidecar),
    };
    let addresses: Vec<MemberAddress> = (0..plan.sidecars.len()).map(both_addresses).collect();
    let name = Path::new(&variant.name);
    let section_of = |(sidecar, spec): (usize, &crate::plan::SidecarSpec)| {
        let text = variant.config.replace(
            FLEET,
            &fleet_section_text(&addresses, sidecar, spec.clock_offset_ms),
        );
        Ok(config::parse::<Sections>(name, &text)?.fleet)
    };
    plan.sidecars.iter().enumerate().map(section_of).collect()
}
