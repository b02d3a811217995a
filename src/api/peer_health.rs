//! What an instance shares with other members, and what their health observations come to.

use super::ids::*;

/// What other members' observations make of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionStatus {
    /// Nothing: the instance decides alone.
    NotEjected,
    /// It gets nothing for now.
    Ejected,
    /// It is ejected, and this instance may send it a trial request on behalf of all members.
    TrialDue,
    /// It was ejected, and others that tried it were served.
    Recovered,
}

/// What other members' observations make of an endpoint, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectionUpdate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// What the observations come to.
    pub status: EjectionStatus,
    /// From then on they have no effect.
    pub expires: Timestamp,
}

/// What is shared with other members.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SharedKnowledge {
    /// Health observations are reported, and ejections are followed.
    pub peer_health: bool,
    /// Picks by which an endpoint may be ahead of or behind its weight for keys' sake; 0 is no
    /// affinity.
    pub affinity_slack: f64,
}
