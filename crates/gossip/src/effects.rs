//! Inputs and outputs of a member.

use crate::Micros;
use crate::connectivity::{Connectivity, Direction};
use crate::frame::DROP_REASONS;
use crate::health_status::EjectionStatus;
use serde::Serialize;
use std::net::SocketAddr;

/// An endpoint on the local list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedEndpoint {
    /// Its id at this member.
    pub endpoint: usize,
    /// Its name.
    pub name: String,
    /// When its process started, if not long ago.
    pub started: Option<Micros>,
    /// Whether it accepts requests.
    pub ready: bool,
}

/// A change of an ejection for the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectionUpdate {
    /// Id of the endpoint.
    pub endpoint: usize,
    /// Status that follows from all members' observations.
    pub status: EjectionStatus,
    /// When the status ceases to have effect.
    pub expires: Micros,
}

/// A fragment of another crate's data that was broadcast, or sent to this member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedFragment {
    /// Hash of the name of its origin.
    pub origin: u64,
    /// Incarnation of its origin.
    pub incarnation: u64,
    /// Its kind, in the range [`crate::fragments::FRAGMENT_KINDS`].
    pub kind: u8,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// An event for on-call engineers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// The connectivity state changed.
    Connectivity {
        /// The new connectivity.
        connectivity: Connectivity,
        /// Names of the unreachable zones.
        zones: Vec<(String, Direction)>,
    },
    /// Two processes run under the same name.
    DuplicateName {
        /// The name.
        name: String,
        /// Their addresses.
        addresses: [SocketAddr; 2],
    },
    /// A member fails repeatedly; its observations are ignored for now.
    Quarantined {
        /// Its name.
        name: String,
    },
}

/// Outputs of a member.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// Datagrams and their destinations.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Changed ejections for the decision module.
    pub ejections: Vec<EjectionUpdate>,
    /// Events for on-call engineers.
    pub notes: Vec<Note>,
    /// Fragments received for the host.
    pub fragments: Vec<ReceivedFragment>,
}

/// Counters since the start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Observations published by this member.
    #[serde(rename = "said")]
    pub published: u64,
    /// New observations received from others.
    #[serde(rename = "heard")]
    pub observations_received: u64,
    /// Fragments that this member sent.
    #[serde(rename = "carried")]
    pub fragments_sent: u64,
    /// Fragments received for the host.
    #[serde(rename = "handed_out")]
    pub fragments_received: u64,
    /// Trial requests assigned to this member.
    pub trials: u64,
    /// Ejections of endpoints.
    #[serde(rename = "rests")]
    pub ejections: u64,
    /// Dropped input by reason, in the order of [`DROP_REASONS`].
    #[serde(skip)]
    pub dropped: [u64; DROP_REASONS.len()],
}
