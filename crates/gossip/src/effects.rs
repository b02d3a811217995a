//! The inputs and outputs of a member.

use crate::Micros;
use crate::connectivity::{Connectivity, Direction};
use crate::frame::REASONS;
use crate::health_status::EjectionStatus;
use serde::Serialize;
use std::net::SocketAddr;

/// An endpoint of the own list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Its number at this member.
    pub endpoint: usize,
    /// Its name.
    pub name: String,
    /// When its process started, where that is not long ago.
    pub started: Option<Micros>,
    /// It takes requests.
    pub ready: bool,
}

/// What the decision module is told of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectionUpdate {
    /// Its number.
    pub endpoint: usize,
    /// What other members' observations makes of it.
    pub status: EjectionStatus,
    /// From then on it counts as never heard.
    pub expires: Micros,
}

/// A fragment of other crates' data that a member has spread, or sent to this one alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CarriedFragment {
    /// Hash of the name of who said it.
    pub origin: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// What it is, in the range [`crate::fragments::CARRIED`].
    pub kind: u8,
    /// Its own form.
    pub bytes: Vec<u8>,
}

/// Something that people should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// The own connectivity state is another.
    Connectivity {
        /// Which.
        connectivity: Connectivity,
        /// The zones that it is cut from, by name.
        zones: Vec<(String, Direction)>,
    },
    /// Two processes run under one name.
    Twice {
        /// The name.
        name: String,
        /// Where they are.
        addresses: [SocketAddr; 2],
    },
    /// A member fails again and again; its word does not count for now.
    Quarantined {
        /// Its name.
        name: String,
    },
}

/// What is to be done.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// Datagrams, and where they go.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// What is new for the decision module.
    pub ejections: Vec<EjectionUpdate>,
    /// What people should know.
    pub notes: Vec<Note>,
    /// What others carried here for the host.
    pub carried: Vec<CarriedFragment>,
}

/// What it has done so far.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Datagrams sent, and their bytes.
    pub sent: u64,
    /// See `sent`.
    pub sent_bytes: u64,
    /// Datagrams that came.
    pub received: u64,
    /// Observations given by this member.
    pub said: u64,
    /// Observations of others that was new.
    pub heard: u64,
    /// Pieces of others' data that this member gave to be carried, and that came.
    pub carried: u64,
    /// See `carried`.
    pub handed_out: u64,
    /// Trials that fell to this member.
    pub trials: u64,
    /// Ejections that sent an endpoint to rest.
    pub rests: u64,
    /// What was dropped, by reason, in the order of [`REASONS`]; the summary names them.
    #[serde(skip)]
    pub dropped: [u64; REASONS.len()],
}
