//! The content of `GET /fleet`.

use crate::connectivity::{Connectivity, Direction};
use crate::effects::Counts;
use crate::membership_table::Departure;
use crate::observation_table::ObservedHealth;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What `GET /fleet` shows.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipSummary {
    /// The fleet.
    pub cluster: String,
    /// This member.
    pub me: MemberSummary,
    /// It finds most endpoints sick and says so to nobody.
    pub doubts_itself: bool,
    /// Where it stands.
    #[serde(rename = "standing")]
    pub connectivity: Connectivity,
    /// Zones that it is cut from, and which way.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub cut: BTreeMap<String, Direction>,
    /// All who are known, also those who left.
    #[serde(rename = "roster")]
    pub membership: Vec<MembershipEntrySummary>,
    /// The others that run.
    pub members: Vec<MemberSummary>,
    /// Endpoints that rest by other members' observations, and why.
    #[serde(rename = "rests")]
    pub ejections: Vec<EjectionSummary>,
    /// Observations held.
    #[serde(rename = "evidence")]
    pub observations: usize,
    /// What was dropped, by reason.
    pub dropped: BTreeMap<&'static str, u64>,
    /// What it has done so far.
    pub counts: Counts,
}

/// A member in it.
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
    /// For how long it is known to run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub known_for_s: Option<f64>,
}

/// An endpoint that is ejected.
#[derive(Clone, Debug, Serialize)]
pub struct EjectionSummary {
    /// Its name.
    pub endpoint: String,
    /// This member may try it now.
    pub trial: bool,
    /// For how long.
    #[serde(rename = "rests_for_s")]
    pub ejected_for_s: f64,
    /// When that ends, where nothing more is heard.
    #[serde(rename = "lapses_in_s")]
    pub expires_in_s: f64,
    /// Who said what.
    #[serde(rename = "evidence")]
    pub observations: Vec<ObservationSummary>,
}

/// What somebody said.
#[derive(Clone, Debug, Serialize)]
pub struct ObservationSummary {
    /// Who.
    pub member: String,
    /// What.
    #[serde(rename = "sign")]
    pub health: ObservedHealth,
    /// How long ago it was seen.
    pub age_s: f64,
}

/// Somebody who is known.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipEntrySummary {
    /// The name; empty where only the address of a seed is known.
    pub name: String,
    /// The zone.
    pub zone: String,
    /// The address.
    pub address: SocketAddr,
    /// The last incarnation that is known.
    pub incarnation: u64,
    /// The program's version, where it was told.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// How it left, if it did.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub left: Option<Departure>,
    /// Since when it runs, or has left.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub for_s: Option<f64>,
    /// Another process under its name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub twice: Option<SocketAddr>,
    /// How long its word does not count yet, as it fails again and again.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub quarantined_for_s: Option<f64>,
}

/// What `GET /fleet/servers` shows: what this member may tell the coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Servers {
    /// Its name.
    pub member: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its zone.
    pub zone: String,
    /// Where it stands.
    #[serde(rename = "standing")]
    pub connectivity: &'static str,
    /// Its standing lets it answer; if not, nothing of this counts.
    pub answers: bool,
    /// The endpoints of its list.
    pub servers: Vec<Server>,
}

/// How a server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum State {
    /// It has served somebody, within the bound, since anybody with enough reporters found it
    /// unhealthy.
    #[serde(rename = "well")]
    Healthy,
    /// Enough reporters found it unhealthy.
    #[serde(rename = "sick")]
    Unhealthy,
    /// Neither.
    #[serde(rename = "unknown")]
    Unknown,
}

/// A server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// When its process started, in milliseconds of Unix time; 0 where that is long ago.
    pub started_ms: i64,
    /// How it is.
    pub state: State,
    /// How long ago the newest of that was seen, in milliseconds; where nothing was, for how long
    /// this member runs.
    pub age_ms: i64,
}
