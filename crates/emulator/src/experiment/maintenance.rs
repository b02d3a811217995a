//! The part of an experiment's file on maintenance: windows, who carries them out, the capacity
//! floor.

use load_balancer_common::units::Time;
use serde::{Deserialize, Serialize};

/// A wish for maintenance of servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// When it is asked for, since the first request; the earliest start too.
    pub at: Time,
    /// Its zone; all of them where this is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<usize>,
    /// How many servers, drawn from the seed; each server is in one window at most.
    pub servers: usize,
    /// So many windows alike, each with servers of its own.
    #[serde(default = "once")]
    pub times: usize,
    /// How long each is away, from its drain to its return.
    pub length: Time,
    /// How much longer it may be.
    #[serde(default = "none")]
    pub overrun: Time,
    /// Latest end, since the first request; the end of the load where this is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latest: Option<Time>,
    /// Higher goes first.
    #[serde(default)]
    pub priority: u8,
    /// Whether its servers may go in waves.
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

/// The capacity that was agreed to stay, as parts of what is there at the beginning.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agreed {
    /// Of all zones together.
    pub keep: f64,
    /// Of each zone by itself.
    #[serde(default)]
    pub keep_zone: f64,
    /// Servers away at once, by grant or dead.
    pub most_away: usize,
    /// How soon a death must be known and answered: the bound on observations and the time to act
    /// on it.
    #[serde(default = "answered_within")]
    pub answered_within: Time,
    /// Times in which nothing may be away by grant.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub blackout: Vec<Blackout>,
    /// Whether the overrun of a window may reach into one.
    #[serde(default)]
    pub overrun_may_enter_blackout: bool,
}

/// A time in which nothing may be away by grant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Blackout {
    /// Its beginning, since the first request.
    pub at: Time,
    /// How long it lasts.
    pub lasts: Time,
}

/// Five seconds that observations may be old, a second between two looks, and two to act.
fn answered_within() -> Time {
    Time::ms(8000)
}

/// Who carries windows out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Carried {
    /// Nobody: there is no maintenance.
    #[default]
    Not,
    /// A crew that drains all servers of a window at once when it is due, whatever else is away.
    Blind,
    /// A crew that has one server away at a time, over all windows.
    OneByOne,
    /// Coordinators, who are asked for each window.
    Asked,
}

/// The coordinators of a variant whose windows are asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Coordinators {
    /// How many.
    pub count: usize,
    /// More of the configuration of each, as the text of a file, beside addresses, files and the
    /// agreement.
    pub config: String,
    /// What goes wrong with them.
    pub fault: Vec<CoordinatorFault>,
    /// By how much the clock of each is off, the first one's first, in milliseconds; of the rest by
    /// nothing.
    pub clock_offset_ms: Vec<i64>,
    /// By how much each one's disk is slower, the first one's first; the rest are as they are.
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

/// Something that goes wrong with coordinators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinatorFault {
    /// What.
    pub kind: CoordinatorFaultKind,
    /// Whom it meets.
    pub who: Who,
    /// Earliest time, since the first request.
    pub at: Time,
    /// It waits from then on until a server's seat has come to that state: `booked`, `draining`,
    /// `clear`, `away`, `returning`, `closed`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub on: Option<String>,
    /// How long it lasts.
    pub lasts: Time,
}

/// Kinds of faults of coordinators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CoordinatorFaultKind {
    /// Killed, and started again when it ends.
    Kill,
    /// Stopped and continued (SIGSTOP, SIGCONT).
    Stop,
    /// Killed, its disk emptied, and started again when it ends.
    EmptyDisk,
    /// Killed, its largest file torn in the middle, and started again when it ends.
    TearDisk,
    /// Nothing can be written to any file while it lasts.
    FullDisk,
}

/// Which coordinators a fault meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Who {
    /// The one that leads at that moment.
    Leader,
    /// One that does not.
    Follower,
    /// More than half, the leader among them.
    Majority,
    /// All.
    All,
}
