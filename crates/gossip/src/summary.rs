//! The content of `GET /fleet` and `GET /fleet/servers`.

use crate::connectivity::{Connectivity, Direction};
use crate::effects::Counts;
use crate::membership_table::Departure;
use crate::observation_table::ObservedHealth;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The content of `GET /fleet`.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipSummary {
    /// Name of the cluster.
    pub cluster: String,
    /// This member.
    pub me: MemberSummary,
    /// Whether it finds most endpoints unhealthy and therefore does not publish that.
    pub doubts_itself: bool,
    /// Its connectivity.
    #[serde(rename = "standing")]
    pub connectivity: Connectivity,
    /// Unreachable zones, and the direction.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub cut: BTreeMap<String, Direction>,
    /// All known members, including departed ones.
    #[serde(rename = "roster")]
    pub membership: Vec<MembershipEntrySummary>,
    /// The other running members.
    pub members: Vec<MemberSummary>,
    /// Endpoints ejected because of all members' observations.
    #[serde(rename = "rests")]
    pub ejections: Vec<EjectionSummary>,
    /// Number of observations held.
    #[serde(rename = "evidence")]
    pub observations: usize,
    /// Dropped input by reason.
    pub dropped: BTreeMap<&'static str, u64>,
    /// Counters since the start.
    pub counts: Counts,
}

/// A running member.
#[derive(Clone, Debug, Serialize)]
pub struct MemberSummary {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
    /// For how long it has been known to run, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub known_for_s: Option<f64>,
}

/// An ejected endpoint.
#[derive(Clone, Debug, Serialize)]
pub struct EjectionSummary {
    /// Its name.
    pub endpoint: String,
    /// Whether this member may send a trial request now.
    pub trial: bool,
    /// For how long it has been ejected, in seconds.
    #[serde(rename = "rests_for_s")]
    pub ejected_for_s: f64,
    /// When the ejection ends without further observations, in seconds.
    #[serde(rename = "lapses_in_s")]
    pub expires_in_s: f64,
    /// The observations.
    #[serde(rename = "evidence")]
    pub observations: Vec<ObservationSummary>,
}

/// An observation.
#[derive(Clone, Debug, Serialize)]
pub struct ObservationSummary {
    /// Name of the observing member.
    pub member: String,
    /// The observed health.
    #[serde(rename = "sign")]
    pub health: ObservedHealth,
    /// Its age in seconds.
    pub age_s: f64,
}

/// A known member.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipEntrySummary {
    /// Its name; empty if only the address of a seed is known.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its latest known incarnation.
    pub incarnation: u64,
    /// Its program version, if reported.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// How it departed, if it did.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub left: Option<Departure>,
    /// For how long it has been running, or since its departure, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub for_s: Option<f64>,
    /// Address of another process with the same name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub twice: Option<SocketAddr>,
    /// For how long its observations are still ignored because it flaps, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub quarantined_for_s: Option<f64>,
}

/// The content of `GET /fleet/servers`: what this member reports to the coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServerReports {
    /// Its name.
    pub member: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its zone.
    pub zone: String,
    /// Its connectivity state.
    #[serde(rename = "standing")]
    pub connectivity: &'static str,
    /// Whether the connectivity state permits an answer; otherwise the report is invalid.
    pub answers: bool,
    /// The endpoints on its list.
    pub servers: Vec<ServerReport>,
}

/// Health of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ServerHealth {
    /// It has served a member within the maximum staleness, and after the last time that enough
    /// reporters found it unhealthy.
    #[serde(rename = "well")]
    Healthy,
    /// Enough reporters found it unhealthy.
    #[serde(rename = "sick")]
    Unhealthy,
    /// Neither is known.
    #[serde(rename = "unknown")]
    Unknown,
}

/// Report on one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServerReport {
    /// Its name.
    pub name: String,
    /// Start time of its process in milliseconds of Unix time; 0 if long ago.
    pub started_ms: i64,
    /// Its health.
    pub state: ServerHealth,
    /// Age of the newest observation in milliseconds; without one, for how long this member has
    /// been running.
    pub age_ms: i64,
}
