//! The `[fleet]` section of a product configuration; its reference is docs/configuration.md.

use crate::Micros;
use ipnet::{IpNet, Ipv4Net};
use load_balancer_affinity::section::AffinityEntriesSection;
use load_balancer_common::config::InvalidSetting;
use load_balancer_common::units::Time;
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The section.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetSection {
    /// Whether this sidecar is a member of a fleet.
    pub enabled: bool,
    /// Name of the cluster; datagrams of other clusters are dropped.
    pub cluster: String,
    /// Address to receive datagrams at.
    pub listen: SocketAddr,
    /// Address that other members send to, if different.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// Members to contact at the start.
    pub seeds: Vec<SocketAddr>,
    /// Networks from which datagrams are accepted, in addition to the addresses of the seeds.
    pub networks: Vec<IpNet>,
    /// Maximum difference to the clocks of other members.
    pub skew: Time,
    /// Added to the clock of this member; for experiments with clock skew.
    #[serde(skip_serializing_if = "ClockOffset::is_none")]
    pub clock_offset: ClockOffset,
    /// Expected maximum number of members; determines how often membership updates are repeated.
    pub members: u32,
    /// Ejection of endpoints because of all members' health observations.
    #[serde(alias = "verdicts")]
    pub ejection: EjectionSection,
    /// Key affinity.
    pub affinity: AffinitySection,
    /// The connectivity state of this member.
    #[serde(alias = "standing")]
    pub connectivity: ConnectivitySection,
    /// Affinity entries shared by all members; used by the host.
    #[serde(alias = "bindings")]
    pub affinity_entries: AffinityEntriesSection,
}

/// The connectivity state of a member.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConnectivitySection {
    /// Whether it is tracked; otherwise the member always counts as connected.
    pub enabled: bool,
}

/// Default network of members: the local machine.
const LOOPBACK: Ipv4Net = Ipv4Net::new_assert(Ipv4Addr::new(127, 0, 0, 0), 8);

/// A clock offset in milliseconds, positive or negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClockOffset(pub i64);

impl ClockOffset {
    fn is_none(&self) -> bool {
        self.0 == 0
    }
}

/// Ejection of endpoints because of all members' health observations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EjectionSection {
    /// Whether observations are published and applied.
    pub enabled: bool,
    /// Age from which on an observation has no effect.
    #[serde(alias = "bound")]
    pub max_staleness: Time,
    /// Members that must have found an endpoint unhealthy.
    #[serde(alias = "witnesses")]
    pub min_reporters: usize,
    /// Maximum fraction of the ready endpoints that may be ejected.
    #[serde(alias = "most_out")]
    pub max_ejected: f64,
    /// Time between an ejection and its first trial request; later intervals are 3 and 6 times as
    /// long.
    #[serde(alias = "rest")]
    pub ejection_time: Time,
}

/// Key affinity: requests with a key prefer an endpoint that has served the key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AffinitySection {
    /// Whether it is enabled.
    pub enabled: bool,
    /// Picks by which an endpoint may be ahead of its weight because of affinity; it may be behind
    /// by eight times as many.
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
            affinity: AffinitySection::default(),
            connectivity: ConnectivitySection::default(),
            affinity_entries: AffinityEntriesSection::default(),
        }
    }
}

impl Default for EjectionSection {
    fn default() -> Self {
        // Three times the longest deadline of the platform (4 s), and its longest latency objective
        // (1 s).
        Self {
            enabled: true,
            max_staleness: Time::ms(12_000),
            min_reporters: 3,
            max_ejected: 0.5,
            ejection_time: Time::ms(1000),
        }
    }
}

impl Default for AffinitySection {
    fn default() -> Self {
        Self {
            enabled: false,
            max_ahead: 4.0,
        }
    }
}

/// Maximum length of a cluster name in bytes.
const MAX_NAME_BYTES: usize = 32;
/// Largest supported fleet.
const MAX_MEMBERS: u32 = 10_000;

impl FleetSection {
    /// Validates the section.
    ///
    /// # Errors
    /// Returns the first invalid value.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        let contradiction = |key: &str, reason: &str| Err(InvalidSetting::new(key, reason));
        if self.cluster.is_empty() || self.cluster.len() > MAX_NAME_BYTES {
            return contradiction("fleet.cluster", "1 to 32 bytes");
        }
        if !(1..=MAX_MEMBERS).contains(&self.members) {
            return contradiction("fleet.members", "1 to 10000");
        }
        if self.advertise.is_none() && self.listen.ip().is_unspecified() {
            return contradiction(
                "fleet.advertise",
                "needed where fleet.listen is no single address",
            );
        }
        if self.ejection.min_reporters < 2 {
            return contradiction(
                "fleet.ejection.min_reporters",
                "at least 2: one alone may be what is wrong",
            );
        }
        if !(0.0..=0.9).contains(&self.ejection.max_ejected) {
            return contradiction("fleet.ejection.max_ejected", "0 to 0.9");
        }
        if self.ejection.ejection_time.0.is_zero()
            || self.ejection.max_staleness.0 < self.ejection.ejection_time.0 * 4
        {
            return contradiction(
                "fleet.ejection.max_staleness",
                "at least 4 times fleet.ejection.ejection_time, or ejections expire between two trials",
            );
        }
        if !(0.0..=100.0).contains(&self.affinity.max_ahead) {
            return contradiction("fleet.affinity.max_ahead", "0 to 100 turns");
        }
        if self.affinity_entries.enabled && !self.affinity.enabled {
            return contradiction(
                "fleet.affinity_entries.enabled",
                "it needs fleet.affinity.enabled, within whose slack affinity entries are used",
            );
        }
        self.affinity_entries.check()
    }

    /// Returns the address that other members send to.
    pub fn advertised_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// Returns the clock offset in microseconds.
    pub fn clock_offset_micros(&self) -> Micros {
        self.clock_offset.0.saturating_mul(1000)
    }
}

/// Converts a duration to microseconds.
pub fn micros(time: Time) -> Micros {
    Micros::try_from(time.0.as_micros()).unwrap_or(Micros::MAX / 4)
}

#[cfg(test)]
mod tests;
