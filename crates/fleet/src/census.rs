//! What `GET /fleet` shows. Changes with what on-call wants to see.

use crate::effects::Counts;
use crate::evidence::Sign;
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
