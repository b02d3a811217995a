//! The part of an experiment's file on maintenance: windows, how they are carried out, and the
//! capacity floor.

use load_balancer_common::units::Time;
use serde::{Deserialize, Serialize};

/// A request for maintenance of servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// When it is requested, from the first request on; also the earliest start.
    pub at: Time,
    /// The zone of its servers; by default all zones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<usize>,
    /// Number of servers, chosen by the seed; each server is in at most one window.
    pub servers: usize,
    /// Number of such windows, each with servers of its own.
    #[serde(default = "once")]
    pub times: usize,
    /// How long each server is away, from its drain to its return.
    pub length: Time,
    /// How much longer it may take.
    #[serde(default = "none")]
    pub overrun: Time,
    /// Latest end, from the first request on; by default the end of the load.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latest: Option<Time>,
    /// Windows of a higher priority go first.
    #[serde(default)]
    pub priority: u8,
    /// Whether its servers may be split into waves.
    #[serde(default = "split")]
    pub split: bool,
}

fn once() -> usize {
    1
}

fn none() -> Time {
    Time::ms(0)
}

fn split() -> bool {
    true
}

/// The capacity floor, as shares of the initial capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agreed {
    /// For all zones together.
    pub keep: f64,
    /// For each zone.
    #[serde(default)]
    pub keep_zone: f64,
    /// Most servers away at once, whether admitted or dead.
    pub most_away: usize,
    /// Time within which a death must be detected and acted on: the maximum age of observations,
    /// and the time to act.
    #[serde(default = "answered_within")]
    pub answered_within: Time,
    /// Times during which no server may be away for maintenance.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub blackout: Vec<Blackout>,
    /// Whether the overrun of a window may overlap a blackout.
    #[serde(default)]
    pub overrun_may_enter_blackout: bool,
}

/// A time during which no server may be away for maintenance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Blackout {
    /// Its start, from the first request on.
    pub at: Time,
    /// Its length.
    pub lasts: Time,
}

/// Five seconds for the maximum age of observations, one between two polls, and two to act.
fn answered_within() -> Time {
    Time::ms(8000)
}

/// How windows are carried out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Carried {
    /// Not at all: there is no maintenance.
    #[default]
    Not,
    /// All servers of a window are drained at once when it is due, whatever else is away.
    Blind,
    /// One server at a time is away, over all windows.
    OneByOne,
    /// Coordinators are asked for each window.
    Asked,
}

/// The coordinators of a variant whose windows are requested.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Coordinators {
    /// Number of coordinators.
    pub count: usize,
    /// Further configuration of each, as the text of a file, besides addresses, files and the
    /// disruption budget.
    pub config: String,
    /// The faults of coordinators.
    pub fault: Vec<CoordinatorFault>,
    /// Clock offset of each, in milliseconds, in order; 0 for the rest.
    pub clock_offset_ms: Vec<i64>,
    /// Additional delay of each one's disk, in order; none for the rest.
    pub disk_delay: Vec<Time>,
}

impl Default for Coordinators {
    fn default() -> Self {
        let (config, fault) = (String::new(), Vec::new());
        Self {
            count: 3,
            config,
            fault,
            clock_offset_ms: Vec::new(),
            disk_delay: Vec::new(),
        }
    }
}

/// A fault of coordinators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinatorFault {
    /// The kind.
    pub kind: CoordinatorFaultKind,
    /// The affected coordinators.
    pub who: Who,
    /// The earliest time, from the first request on.
    pub at: Time,
    /// The state of a server's slot that it then waits for: `booked`, `draining`, `clear`, `away`,
    /// `returning`, `closed`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub on: Option<String>,
    /// How long it lasts.
    pub lasts: Time,
}

/// Kinds of faults of coordinators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CoordinatorFaultKind {
    /// Killed, and restarted at the end.
    Kill,
    /// Suspended and resumed (SIGSTOP, SIGCONT).
    Stop,
    /// Killed, its disk erased, and restarted at the end.
    EmptyDisk,
    /// Killed, its largest file truncated in the middle, and restarted at the end.
    TearDisk,
    /// No file can be written during the fault.
    FullDisk,
}

/// The coordinators affected by a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Who {
    /// The leader at that time.
    Leader,
    /// One that is not the leader.
    Follower,
    /// More than half, including the leader.
    Majority,
    /// All.
    All,
}
