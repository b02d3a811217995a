//! The content of `GET /fleet`.

use crate::effects::Counts;
use crate::evidence::Sign;
use crate::roster::Left;
use crate::standing::{Standing, Way};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What `GET /fleet` shows.
#[derive(Clone, Debug, Serialize)]
pub struct Census {
    /// The fleet.
    pub cluster: String,
    /// This member.
    pub me: MemberCensus,
    /// It finds most endpoints sick and says so to nobody.
    pub doubts_itself: bool,
    /// Where it stands.
    pub standing: Standing,
    /// Zones that it is cut from, and which way.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub cut: BTreeMap<String, Way>,
    /// All who are known, also those who left.
    pub roster: Vec<RosterCensus>,
    /// The others that run.
    pub members: Vec<MemberCensus>,
    /// Endpoints that rest by others' word, and why.
    pub rests: Vec<RestCensus>,
    /// Evidence held.
    pub evidence: usize,
    /// What was dropped, by reason.
    pub dropped: BTreeMap<&'static str, u64>,
    /// What it has done so far.
    pub counts: Counts,
}

/// A member in it.
#[derive(Clone, Debug, Serialize)]
pub struct MemberCensus {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its life.
    pub incarnation: u64,
    /// For how long it is known to run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub known_for_s: Option<f64>,
}

/// An endpoint that rests.
#[derive(Clone, Debug, Serialize)]
pub struct RestCensus {
    /// Its name.
    pub endpoint: String,
    /// This member may try it now.
    pub trial: bool,
    /// For how long.
    pub rests_for_s: f64,
    /// When that ends, where nothing more is heard.
    pub lapses_in_s: f64,
    /// Who said what.
    pub evidence: Vec<EvidenceCensus>,
}

/// What somebody said.
#[derive(Clone, Debug, Serialize)]
pub struct EvidenceCensus {
    /// Who.
    pub member: String,
    /// What.
    pub sign: Sign,
    /// How long ago it was seen.
    pub age_s: f64,
}

/// Somebody who is known.
#[derive(Clone, Debug, Serialize)]
pub struct RosterCensus {
    /// The name; empty where only the address of a seed is known.
    pub name: String,
    /// The zone.
    pub zone: String,
    /// The address.
    pub address: SocketAddr,
    /// The last life that is known.
    pub incarnation: u64,
    /// The program's version, where it was told.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// How it left, if it did.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub left: Option<Left>,
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

/// What `GET /fleet/servers` shows: what this member may tell the steward.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Servers {
    /// Its name.
    pub member: String,
    /// Its life.
    pub incarnation: u64,
    /// Its zone.
    pub zone: String,
    /// Where it stands.
    pub standing: &'static str,
    /// Its standing lets it answer; if not, nothing of this counts.
    pub answers: bool,
    /// The endpoints of its list.
    pub servers: Vec<Server>,
}

/// How a server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It has served somebody, within the bound, since anybody with enough witnesses found it sick.
    Well,
    /// Enough witnesses found it sick.
    Sick,
    /// Neither.
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
    /// How long ago the newest of that was seen, in milliseconds; where nothing was, for how long this member runs.
    pub age_ms: i64,
}
