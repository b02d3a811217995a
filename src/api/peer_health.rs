//! What an instance shares with other members, and the ejections that follow from their health
//! observations.

use super::ids::*;

/// Status of an endpoint according to other members' observations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionStatus {
    /// No effect: the instance decides alone.
    NotEjected,
    /// The endpoint receives nothing for now.
    Ejected,
    /// It is ejected, and this instance may send a trial request on behalf of all members.
    TrialDue,
    /// It was ejected, and other members' trial requests were served.
    Recovered,
}

/// Status of an endpoint according to other members' observations, with its expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectionUpdate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The status.
    pub status: EjectionStatus,
    /// When the status ceases to have effect.
    pub expires: Timestamp,
}

/// What is shared with other members.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SharingOptions {
    /// Health observations are reported, and ejections are applied.
    pub peer_health: bool,
    /// Picks by which key affinity may move an endpoint ahead of its weight; 0 disables affinity.
    pub affinity_slack: f64,
}
