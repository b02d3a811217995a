//! The part of an experiment's file on maintenance: windows, who carries them out, what was agreed. Changes with what
//! an experiment may ask of maintenance.

use linenproxy_common::units::Time;
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
    /// How soon a death must be known and answered: the bound on evidence and the time to act on it.
    #[serde(default = "answered_within")]
    pub answered_within: Time,
}

/// Five seconds that evidence may be old, a second between two looks, and two to act.
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
    /// Stewards, who are asked for each window.
    Asked,
}

/// The stewards of a variant whose windows are asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stewards {
    /// How many.
    pub count: usize,
    /// The configuration of each, as the text of a file; docs/lab.md has what stands for what in it.
    pub config: String,
}

impl Default for Stewards {
    fn default() -> Self {
        Self { count: 3, config: String::new() }
    }
}
