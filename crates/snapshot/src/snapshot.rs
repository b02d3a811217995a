//! What is stored of one sidecar; `form.rs` holds its encoding.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An entry of the list, as discovery told it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The endpoint's name.
    pub name: String,
    /// Where this sidecar reaches it.
    pub address: Option<SocketAddr>,
    /// Its zone.
    pub zone: Option<String>,
    /// Its kind of machine.
    pub kind: Option<String>,
    /// Its group.
    pub group: u64,
    /// It finishes what it has.
    pub leaving: bool,
    /// Its size.
    pub weight: f64,
    /// Unix time in milliseconds of its last start; 0 is long ago.
    pub since_ms: i64,
}

/// The list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Its version.
    pub index: u64,
    /// When discovery last said so, or that nothing has changed.
    pub seen: Micros,
    /// Its entries.
    pub entries: Vec<Entry>,
}

/// What was known of an endpoint process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Process {
    /// Its endpoint's name.
    pub name: String,
    /// When it started; nothing is long ago.
    pub started: Option<Micros>,
    /// When it was last heard of.
    pub seen: Micros,
    /// Its circuit was open.
    pub open: bool,
    /// Times that it has opened since it was last well.
    pub openings: u32,
    /// Time that it takes for a unit of work, in such units.
    pub slow: f64,
    /// Requests that it might have in flight.
    pub cap: f64,
}

/// What was known of all of them at one time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Processes {
    /// When.
    pub seen: Micros,
    /// Endpoints on the list then.
    pub listed: u32,
    /// Those that something was known of.
    pub all: Vec<Process>,
}

/// An incarnation of the sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationRecord {
    /// Its incarnation.
    pub incarnation: u64,
    /// When it began.
    pub began: Micros,
    /// When it was told to stop: the mark of a clean end. One that crashed has none.
    pub ended: Option<Micros>,
}

/// All that is kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The list as last told.
    pub list: Option<List>,
    /// Ejections and latency ratios.
    pub processes: Option<Processes>,
    /// The product configuration that the last incarnation ran with, as it would be written.
    pub configuration: Option<String>,
    /// The last incarnation.
    pub incarnation_record: Option<IncarnationRecord>,
}

/// What is to be kept anew; nothing leaves what is kept as it is. A later one takes the place of an
/// earlier one, part by part, so that what waits for a slow disk does not grow.
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
    /// Takes in later ones.
    pub fn then(&mut self, later: Self) {
        fn over<T>(mine: &mut Option<T>, later: Option<T>) {
            if later.is_some() {
                *mine = later;
            }
        }
        over(&mut self.list, later.list);
        over(&mut self.processes, later.processes);
        over(&mut self.configuration, later.configuration);
        over(&mut self.incarnation_record, later.incarnation_record);
    }

    /// Whether there is nothing to keep.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
