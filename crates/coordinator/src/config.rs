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

/// All sections of the file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sections {
    #[serde(alias = "steward")]
    pub coordinator: CoordinatorSection,
    /// Addresses of all coordinators by name, including this one.
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

/// Settings of this coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinatorSection {
    /// Its name, one of those under `[coordinators]`.
    pub name: String,
    /// Address to listen on.
    #[serde(default = "listen")]
    pub listen: SocketAddr,
    /// File that stores the replicated log.
    pub data: PathBuf,
    /// Interval between heartbeats of the leader.
    #[serde(default = "heartbeat")]
    pub heartbeat: Time,
    /// Heartbeats that may be missed before other coordinators start an election.
    #[serde(default = "patience")]
    pub patience: usize,
    /// Maximum number of open connections.
    #[serde(default = "connections")]
    pub connections: usize,
    /// Time limit of a reader, a caller or a request to another coordinator.
    #[serde(default = "timeout")]
    pub timeout: Time,
    /// Offset added to the clock in milliseconds; for experiments.
    #[serde(default)]
    pub clock_offset_ms: i64,
    /// Delay added to each commit; for experiments.
    #[serde(default = "no_delay")]
    pub disk_delay: Time,
}

fn no_delay() -> Time {
    Time::ms(0)
}

fn listen() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 9480))
}

/// Ten per second: an action waits for one, and a synced commit takes some milliseconds.
fn heartbeat() -> Time {
    Time::ms(100)
}

/// One second: longer than a busy machine or disk usually delays a process.
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
    /// Time limit of an action.
    #[serde(default = "act_timeout")]
    pub timeout: Time,
    /// Maximum number of concurrent actions.
    #[serde(default = "at_once")]
    pub at_once: usize,
}

/// Two actions fit into the time within which a failure must be answered.
fn act_timeout() -> Time {
    Time::ms(1000)
}

fn at_once() -> usize {
    16
}

/// Health observations of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObservationSection {
    /// Addresses of the sidecars' status pages, by zone.
    pub sidecars: BTreeMap<String, Vec<SocketAddr>>,
    /// Polling interval.
    pub period: Time,
    /// Sidecars polled per zone and round, chosen at random each time. At two requests per second
    /// over 30 servers a sidecar uses each server every 15 s, so polling more sidecars yields more
    /// recent observations.
    pub ask: usize,
    /// Minimum number of them that must agree; they must also be more than half of those with an
    /// observation.
    pub agree: usize,
    /// Time limit of one request.
    pub timeout: Time,
    /// Age, including clock skew, from which a process counts as warm unless sidecars report
    /// otherwise.
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

/// Whether sidecars must have drained their affinity entries before a server is taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AffinityDrainSection {
    /// Whether to ask sidecars; required if they use affinity entries.
    pub ask: bool,
    /// How long a drained server must have been idle.
    pub quiet: Time,
}

impl Default for AffinityDrainSection {
    fn default() -> Self {
        // The longest that a request, including its connection, may be in transit on a slow
        // network.
        Self {
            ask: false,
            quiet: Time::ms(500),
        }
    }
}
