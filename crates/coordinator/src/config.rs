//! The coordinator's configuration file.

use load_balancer_common::config::{Configuration, Contradiction};
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

/// Most coordinators: five bear two failures, more only make each agreement slower.
const MAX_COORDINATORS: usize = 7;
/// Longest name of a coordinator, in bytes.
const MAX_NAME_BYTES: usize = 64;

impl Configuration for Sections {
    fn check(&self) -> Result<(), Contradiction> {
        self.log.check()?;
        self.metrics.check()?;
        let wrong = |key: &str, what: String| Err(Contradiction::new(key, what));
        let name = &self.coordinator.name;
        if name.is_empty()
            || name.len() > MAX_NAME_BYTES
            || !name.bytes().all(|b| b.is_ascii_graphic())
        {
            return wrong(
                "coordinator.name",
                format!("must have 1 to {MAX_NAME_BYTES} characters without spaces"),
            );
        }
        if !self.coordinators.contains_key(name) {
            return wrong(
                "coordinator.name",
                format!("{name:?} is not one of [coordinators]"),
            );
        }
        if self.coordinators.len() > MAX_COORDINATORS {
            return wrong("coordinators", format!("are more than {MAX_COORDINATORS}"));
        }
        if self.coordinator.heartbeat < Time::ms(10)
            || self.coordinator.heartbeat > Time::ms(10_000)
        {
            return wrong(
                "coordinator.heartbeat",
                "must be from 10ms to 10s".to_owned(),
            );
        }
        if !(3..=1_000).contains(&self.coordinator.patience) {
            return wrong(
                "coordinator.patience",
                "must be from 3 to 1000 heartbeats".to_owned(),
            );
        }
        if !(8..=4_096).contains(&self.coordinator.connections) {
            return wrong(
                "coordinator.connections",
                "must be from 8 to 4096".to_owned(),
            );
        }
        if !(1..=256).contains(&self.platform.at_once) {
            return wrong("platform.at_once", "must be from 1 to 256".to_owned());
        }
        for (key, time) in [
            ("coordinator.timeout", self.coordinator.timeout),
            ("platform.timeout", self.platform.timeout),
            ("observations.period", self.observations.period),
            ("observations.timeout", self.observations.timeout),
        ] {
            if time < Time::ms(10) || time > Time::ms(60_000) {
                return wrong(key, "must be from 10ms to 1m".to_owned());
            }
        }
        if self.observations.agree == 0 || self.observations.agree > self.observations.ask {
            return wrong(
                "observations.agree",
                format!(
                    "must be from 1 to observations.ask, {}",
                    self.observations.ask
                ),
            );
        }
        if self.affinity_drain.quiet > Time::ms(60_000) {
            return wrong("clear.quiet", "must be at most 1m".to_owned());
        }
        let period = i64::try_from(self.observations.period.0.as_millis()).unwrap_or(i64::MAX);
        if period >= self.budget.evidence_bound_ms {
            let bound = self.budget.evidence_bound_ms;
            return wrong(
                "observations.period",
                format!("evidence would be older than its bound, {bound} ms"),
            );
        }
        self.budget
            .check()
            .map_err(|e| Contradiction::new(&format!("disruption_budget.{}", e.key), e.reason))
    }
}
