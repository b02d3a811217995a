//! The `[fleet]` section of a product configuration; docs/configuration.md is its reference.

use crate::Micros;
use ipnet::{IpNet, Ipv4Net};
use load_balancer_affinity::section::BindingsSection;
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
    /// Others' word on endpoints.
    pub verdicts: Verdicts,
    /// Requests with a key prefer an endpoint that has met it.
    pub affinity: Affinity,
    /// Where this member stands, and what follows.
    pub standing: StandingSection,
    /// Which key is warm where, for all members; the host has it.
    pub bindings: BindingsSection,
}

/// Where a member stands, and what follows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StandingSection {
    /// Whether it is found out; else it is whole, always.
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

/// Others' word on endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Verdicts {
    /// Whether it is said and listened to.
    pub enabled: bool,
    /// The age from which evidence counts as never heard.
    pub bound: Time,
    /// Members of the own zone that must have found an endpoint sick.
    pub witnesses: usize,
    /// Part of the ready endpoints that may rest by others' word.
    pub most_out: f64,
    /// How long an endpoint rests before it is tried again; twice and four times that later on.
    pub rest: Time,
}

/// Requests with a key prefer an endpoint that has met it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Affinity {
    /// Whether they do.
    pub enabled: bool,
    /// Turns that an endpoint may be ahead of or behind its weight for that.
    pub ahead: f64,
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
            verdicts: Verdicts::default(),
            affinity: Affinity::default(),
            standing: StandingSection::default(),
            bindings: BindingsSection::default(),
        }
    }
}

impl Default for Verdicts {
    fn default() -> Self {
        // Three of the longest deadlines that the platform knows (4 s); the longest aim (1 s).
        Self {
            enabled: true,
            bound: Time::ms(12_000),
            witnesses: 3,
            most_out: 0.5,
            rest: Time::ms(1000),
        }
    }
}

impl Default for Affinity {
    fn default() -> Self {
        Self {
            enabled: false,
            ahead: 4.0,
        }
    }
}

/// Longest name of a cluster, in bytes.
const LONGEST_NAME: usize = 32;
/// Most members that a fleet is sized for.
const MOST_MEMBERS: u32 = 10_000;

impl FleetSection {
    /// Finds what nothing could work with.
    ///
    /// # Errors
    /// The first such value.
    pub fn check(&self) -> Result<(), Contradiction> {
        let wrong = |key: &str, what: &str| Err(Contradiction::new(key, what));
        if self.cluster.is_empty() || self.cluster.len() > LONGEST_NAME {
            return wrong("fleet.cluster", "1 to 32 bytes");
        }
        if !(1..=MOST_MEMBERS).contains(&self.members) {
            return wrong("fleet.members", "1 to 10000");
        }
        if self.advertise.is_none() && self.listen.ip().is_unspecified() {
            return wrong(
                "fleet.advertise",
                "needed where fleet.listen is no single address",
            );
        }
        if self.verdicts.witnesses < 2 {
            return wrong(
                "fleet.verdicts.witnesses",
                "at least 2: one alone may be what is wrong",
            );
        }
        if !(0.0..=0.9).contains(&self.verdicts.most_out) {
            return wrong("fleet.verdicts.most_out", "0 to 0.9");
        }
        if self.verdicts.rest.0.is_zero() || self.verdicts.bound.0 < self.verdicts.rest.0 * 4 {
            return wrong(
                "fleet.verdicts.bound",
                "at least 4 times fleet.verdicts.rest, or verdicts lapse between two trials",
            );
        }
        if !(0.0..=100.0).contains(&self.affinity.ahead) {
            return wrong("fleet.affinity.ahead", "0 to 100 turns");
        }
        if self.bindings.enabled && !self.affinity.enabled {
            return wrong(
                "fleet.bindings.enabled",
                "it needs fleet.affinity.enabled, within whose turns bindings are used",
            );
        }
        self.bindings.check()
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
