//! The `[fleet]` section of a product configuration; docs/configuration.md is its reference.

use crate::Micros;
use ipnet::{IpNet, Ipv4Net};
use load_balancer_affinity::section::AffinityEntriesSection;
use load_balancer_common::config::Contradiction;
use load_balancer_common::units::Time;
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The section.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetSection {
    /// Whether this sidecar is a member of a fleet at all.
    pub enabled: bool,
    /// The fleet's name: datagrams of another are dropped.
    pub cluster: String,
    /// Where datagrams arrive.
    pub listen: SocketAddr,
    /// Where other members send them, if not there.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// Members that are asked for the others at a start.
    pub seeds: Vec<SocketAddr>,
    /// Networks from which datagrams are taken, besides the seeds' own addresses.
    pub networks: Vec<IpNet>,
    /// How far another member's clock may be off.
    pub skew: Time,
    /// Added to this member's own clock; for experiments with clocks that are off.
    #[serde(skip_serializing_if = "ClockOffset::is_none")]
    pub clock_offset: ClockOffset,
    /// Members that are expected at most: how often news of members are repeated follows from it.
    pub members: u32,
    /// Ejection of endpoints by the members' health observations.
    #[serde(alias = "verdicts")]
    pub ejection: EjectionSection,
    /// Requests with a key prefer an endpoint that has met it.
    pub affinity: Affinity,
    /// The connectivity state of this member, and what follows.
    #[serde(alias = "standing")]
    pub connectivity: ConnectivitySection,
    /// Which key is cached where, for all members; the host has it.
    #[serde(alias = "bindings")]
    pub affinity_entries: AffinityEntriesSection,
}

/// The connectivity state of a member.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConnectivitySection {
    /// Whether it is found out; else it is connected, always.
    pub enabled: bool,
}

/// Where members are unless something else is said: on one machine.
const LOOPBACK: Ipv4Net = Ipv4Net::new_assert(Ipv4Addr::new(127, 0, 0, 0), 8);

/// An offset of a clock in milliseconds, either way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClockOffset(pub i64);

impl ClockOffset {
    fn is_none(&self) -> bool {
        self.0 == 0
    }
}

/// Ejection of endpoints by the members' health observations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EjectionSection {
    /// Whether observations are published and followed.
    pub enabled: bool,
    /// The age from which an observation has no effect.
    #[serde(alias = "bound")]
    pub max_staleness: Time,
    /// Members of the own zone that must have found an endpoint unhealthy.
    #[serde(alias = "witnesses")]
    pub min_reporters: usize,
    /// Part of the ready endpoints that may be ejected.
    #[serde(alias = "most_out")]
    pub max_ejected: f64,
    /// How long an endpoint is ejected before its first trial; trials then come every 3 and 6 times
    /// that.
    #[serde(alias = "rest")]
    pub ejection_time: Time,
}

/// Requests with a key prefer an endpoint that has met it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Affinity {
    /// Whether they do.
    pub enabled: bool,
    /// Picks by which an endpoint may be ahead of its weight for that; it may be owed eight times
    /// as many.
    #[serde(alias = "ahead")]
    pub max_ahead: f64,
}

impl Default for FleetSection {
    fn default() -> Self {
        Self {
            enabled: false,
            cluster: "linenproxy".to_owned(),
            listen: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7946),
            advertise: None,
            seeds: Vec::new(),
            networks: vec![IpNet::V4(LOOPBACK)],
            skew: Time::ms(500),
            clock_offset: ClockOffset::default(),
            members: 300,
            ejection: EjectionSection::default(),
            affinity: Affinity::default(),
            connectivity: ConnectivitySection::default(),
            affinity_entries: AffinityEntriesSection::default(),
        }
    }
}

impl Default for EjectionSection {
    fn default() -> Self {
        // Three of the longest deadlines that the platform knows (4 s); the longest latency
        // objective (1 s).
        Self {
            enabled: true,
            max_staleness: Time::ms(12_000),
            min_reporters: 3,
            max_ejected: 0.5,
            ejection_time: Time::ms(1000),
        }
    }
}

impl Default for Affinity {
    fn default() -> Self {
        Self {
            enabled: false,
            max_ahead: 4.0,
        }
    }
}

/// Longest name of a cluster, in bytes.
const MAX_NAME_BYTES: usize = 32;
/// Most members that a fleet is sized for.
const MAX_MEMBERS: u32 = 10_000;

impl FleetSection {
    /// Finds what nothing could work with.
    ///
    /// # Errors
    /// The first such value.
    pub fn check(&self) -> Result<(), Contradiction> {
        let wrong = |key: &str, what: &str| Err(Contradiction::new(key, what));
        if self.cluster.is_empty() || self.cluster.len() > MAX_NAME_BYTES {
            return wrong("fleet.cluster", "1 to 32 bytes");
        }
        if !(1..=MAX_MEMBERS).contains(&self.members) {
            return wrong("fleet.members", "1 to 10000");
        }
        if self.advertise.is_none() && self.listen.ip().is_unspecified() {
            return wrong(
                "fleet.advertise",
                "needed where fleet.listen is no single address",
            );
        }
        if self.ejection.min_reporters < 2 {
            return wrong(
                "fleet.ejection.min_reporters",
                "at least 2: one alone may be what is wrong",
            );
        }
        if !(0.0..=0.9).contains(&self.ejection.max_ejected) {
            return wrong("fleet.ejection.max_ejected", "0 to 0.9");
        }
        if self.ejection.ejection_time.0.is_zero()
            || self.ejection.max_staleness.0 < self.ejection.ejection_time.0 * 4
        {
            return wrong(
                "fleet.ejection.max_staleness",
                "at least 4 times fleet.ejection.ejection_time, or ejections expire between two trials",
            );
        }
        if !(0.0..=100.0).contains(&self.affinity.max_ahead) {
            return wrong("fleet.affinity.max_ahead", "0 to 100 turns");
        }
        if self.affinity_entries.enabled && !self.affinity.enabled {
            return wrong(
                "fleet.affinity_entries.enabled",
                "it needs fleet.affinity.enabled, within whose slack affinity entries are used",
            );
        }
        self.affinity_entries.check()
    }

    /// Where other members send to.
    pub fn reached_at(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// The offset of the own clock.
    pub fn offset(&self) -> Micros {
        self.clock_offset.0.saturating_mul(1000)
    }
}

/// A duration in microseconds.
pub fn micros(time: Time) -> Micros {
    Micros::try_from(time.0.as_micros()).unwrap_or(Micros::MAX / 4)
}

#[cfg(test)]
mod tests;
