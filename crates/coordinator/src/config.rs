//! The coordinator's configuration file.

mod check;

use load_balancer_common::logging::LogSection;
use load_balancer_common::metering::MetricsSection;
use load_balancer_common::units::Time;
use load_balancer_maintenance::DisruptionBudget;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// All sections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sections {
    #[serde(alias = "steward")]
    pub coordinator: CoordinatorSection,
    /// Addresses of all coordinators by name, this one among them.
    #[serde(alias = "stewards")]
    pub coordinators: BTreeMap<String, SocketAddr>,
    pub platform: PlatformSection,
    #[serde(default, alias = "evidence")]
    pub observations: ObservationSection,
    #[serde(default, alias = "clear")]
    pub affinity_drain: AffinityDrainSection,
    #[serde(rename = "disruption_budget", alias = "agreement")]
    pub budget: DisruptionBudget,
    #[serde(default)]
    pub log: LogSection,
    #[serde(default)]
    pub metrics: MetricsSection,
}

/// This coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinatorSection {
    /// Its name, one of those under `[coordinators]`.
    pub name: String,
    /// Where it listens.
    #[serde(default = "listen")]
    pub listen: SocketAddr,
    /// The file in which it keeps what is agreed.
    pub data: PathBuf,
    /// Time between two heartbeats of a leader.
    #[serde(default = "heartbeat")]
    pub heartbeat: Time,
    /// Heartbeats that a leader may miss before others stand for election.
    #[serde(default = "patience")]
    pub patience: usize,
    /// Connections at once.
    #[serde(default = "connections")]
    pub connections: usize,
    /// How long one reader, caller or coordinator may take.
    #[serde(default = "timeout")]
    pub timeout: Time,
    /// For experiments: by how much its clock is taken to be off, in milliseconds.
    #[serde(default)]
    pub clock_offset_ms: i64,
    /// For experiments: how much longer each commit to its disk takes.
    #[serde(default = "no_delay")]
    pub disk_delay: Time,
}

fn no_delay() -> Time {
    Time::ms(0)
}

fn listen() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 9480))
}

/// Ten a second: an act waits for one, and a synced commit takes some milliseconds.
fn heartbeat() -> Time {
    Time::ms(100)
}

/// A second: longer than a busy machine or disk holds a process up as a rule.
fn patience() -> usize {
    10
}

fn connections() -> usize {
    64
}

fn timeout() -> Time {
    Time::ms(5000)
}

/// The platform that drains, takes and returns servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSection {
    pub address: SocketAddr,
    /// How long an act may take.
    #[serde(default = "act_timeout")]
    pub timeout: Time,
    /// Acts at once.
    #[serde(default = "at_once")]
    pub at_once: usize,
}

/// Two acts fit into the time in which a death is answered.
fn act_timeout() -> Time {
    Time::ms(1000)
}

fn at_once() -> usize {
    16
}

/// The fleet's observations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObservationSection {
    /// Addresses of sidecars' pages, by zone.
    pub sidecars: BTreeMap<String, Vec<SocketAddr>>,
    /// Time between two rounds.
    pub period: Time,
    /// Sidecars of a zone that are asked in a round, drawn anew each time. At two requests a second
    /// over 30 servers one of them sees a server each 15 s: the more are asked, the younger is what
    /// some of them know.
    pub ask: usize,
    /// How many of them must say the same at least, and more than half of those that can tell.
    pub agree: usize,
    /// How long one may take to answer.
    pub timeout: Time,
    /// Age from which a process counts as warm, unless sidecars say that it is not; the skew of
    /// clocks included.
    pub warm_after: Time,
}

impl Default for ObservationSection {
    fn default() -> Self {
        Self {
            sidecars: BTreeMap::new(),
            period: Time::ms(1000),
            ask: 10,
            agree: 2,
            timeout: Time::ms(500),
            warm_after: Time::ms(60_000),
        }
    }
}

/// Whether sidecars' affinity entries must be clear before a server is taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AffinityDrainSection {
    /// Whether sidecars are asked: they keep affinity entries.
    pub ask: bool,
    /// For how long nothing must have run at a drained server.
    pub quiet: Time,
}

impl Default for AffinityDrainSection {
    fn default() -> Self {
        // As long as a request may be on its way on a slow network, its connection included.
        Self {
            ask: false,
            quiet: Time::ms(500),
        }
    }
}
