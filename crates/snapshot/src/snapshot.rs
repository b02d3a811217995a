//! The stored state of a sidecar; `encoding.rs` has its encoding.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The endpoint's name.
    pub name: String,
    /// The address at which this sidecar reaches it.
    pub address: Option<SocketAddr>,
    /// Its zone.
    pub zone: Option<String>,
    /// Its machine type.
    pub kind: Option<String>,
    /// Its group.
    pub group: u64,
    /// Whether it drains.
    pub leaving: bool,
    /// Its capacity weight.
    pub weight: f64,
    /// When its process started, in milliseconds of Unix time; 0 if long ago.
    pub since_ms: i64,
}

/// The endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Its version.
    pub index: u64,
    /// When discovery last confirmed it.
    pub seen: Micros,
    /// Its entries.
    pub entries: Vec<Entry>,
}

/// The state of an endpoint process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Process {
    /// Its endpoint's name.
    pub name: String,
    /// When it started; none if long ago.
    pub started: Option<Micros>,
    /// When it last had an outcome.
    pub seen: Micros,
    /// Whether its circuit was open.
    pub open: bool,
    /// How often the circuit has opened since the process was last healthy.
    pub openings: u32,
    /// Its latency per unit of work, relative to that unit.
    pub slow: f64,
    /// Its concurrency limit.
    pub cap: f64,
}

/// The state of all endpoint processes at one time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Processes {
    /// The time.
    pub seen: Micros,
    /// Number of listed endpoints at that time.
    pub listed: u32,
    /// The processes with any state.
    pub all: Vec<Process>,
}

/// An incarnation of the sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationRecord {
    /// Its number.
    pub incarnation: u64,
    /// When it began.
    pub began: Micros,
    /// When it was told to shut down, which marks a clean end; none after a crash.
    pub ended: Option<Micros>,
}

/// The stored state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The latest endpoint list.
    pub list: Option<List>,
    /// Circuits and latency ratios.
    pub processes: Option<Processes>,
    /// The product configuration of the last incarnation, as TOML.
    pub configuration: Option<String>,
    /// The last incarnation.
    pub incarnation_record: Option<IncarnationRecord>,
}

/// Changes to store; absent parts stay as they are. A later change replaces an earlier one part by
/// part, so that the queue for a slow disk does not grow.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// See [`Snapshot`].
    pub list: Option<List>,
    /// See [`Snapshot`].
    pub processes: Option<Processes>,
    /// See [`Snapshot`].
    pub configuration: Option<String>,
    /// See [`Snapshot`].
    pub incarnation_record: Option<IncarnationRecord>,
}

impl Changes {
    /// Merges later changes.
    pub fn merge(&mut self, later: Self) {
        fn replace<T>(current: &mut Option<T>, later: Option<T>) {
            if later.is_some() {
                *current = later;
            }
        }
        replace(&mut self.list, later.list);
        replace(&mut self.processes, later.processes);
        replace(&mut self.configuration, later.configuration);
        replace(&mut self.incarnation_record, later.incarnation_record);
    }

    /// Whether there is nothing to store.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
