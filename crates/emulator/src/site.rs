//! The site's figures, as its public page (BRIEF) and the settings state them.

use crate::{SECOND, Us};
use serde_json::{Value, json};
use std::ops::RangeInclusive;

/// What a repeat of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Nothing.
    Safe,
    /// Servers drop it for [`KEY_TIME`].
    Keyed,
    /// Harm.
    Never,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name on the wire.
    pub name: &'static str,
    /// Its part of all requests.
    pub share: f64,
    /// Range of the mean work of one, in microseconds on a core of speed 1.
    pub work: RangeInclusive<f64>,
    /// An answer within this time earns its worth.
    pub aim: Us,
    /// How long a client waits over all its tries.
    pub deadline: Us,
    /// What an answer in time is worth.
    pub worth: f64,
    /// What a repeat would do.
    pub repeat: Repeat,
}

/// The four classes.
pub const CLASSES: [Class; 4] = [
    Class {
        name: "statement",
        share: 0.32,
        work: 100e3..=180e3,
        aim: SECOND,
        deadline: 3 * SECOND,
        worth: 5.0,
        repeat: Repeat::Safe,
    },
    Class {
        name: "balance",
        share: 0.29,
        work: 47e3..=84e3,
        aim: SECOND / 2,
        deadline: 3 * SECOND / 2,
        worth: 2.0,
        repeat: Repeat::Safe,
    },
    Class {
        name: "entry",
        share: 0.26,
        work: 49e3..=88e3,
        aim: SECOND / 2,
        deadline: 5 * SECOND / 2,
        worth: 5.0,
        repeat: Repeat::Keyed,
    },
    Class {
        name: "close",
        share: 0.13,
        work: 84e3..=150e3,
        aim: 4 * SECOND / 5,
        deadline: 4 * SECOND,
        worth: 5.0,
        repeat: Repeat::Never,
    },
];

/// The time after which no client waits for a try any more, whatever its class.
pub fn longest_deadline() -> Us {
    CLASSES
        .iter()
        .map(|class| class.deadline)
        .max()
        .unwrap_or(0)
}

/// The sites, in the order of their numbers.
pub const ZONES: [&str; 3] = ["zagreb", "split", "rijeka"];

/// A kind of machine.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Its name in the list.
    pub name: &'static str,
    /// Its cores.
    pub cores: u32,
    /// Range of a core's speed.
    pub speed: RangeInclusive<f64>,
}

/// The three kinds, each about a third of the servers.
pub const KINDS: [Kind; 3] = [
    Kind {
        name: "fast",
        cores: 2,
        speed: 1.4..=1.8,
    },
    Kind {
        name: "standard",
        cores: 2,
        speed: 0.85..=1.1,
    },
    Kind {
        name: "small",
        cores: 2,
        speed: 0.51..=0.69,
    },
];

/// How long servers drop repeats of a key.
pub const KEY_TIME: Us = 5 * SECOND;
/// Attempts for one request.
pub const MAX_ATTEMPTS: usize = 3;
/// Retries of a client by itself.
pub const CLIENT_RETRIES: u32 = 2;
/// Part of the class's deadline after which a client gives up a try.
pub const CLIENT_PATIENCE: RangeInclusive<f64> = 0.4..=0.8;
/// Nothing new to a server later than this after being told that it drains or is gone.
pub const DRAIN_GRACE: Us = 300_000;
/// Slack of every time limit on sockets.
pub const SLACK: Us = 50_000;
/// Least share of its capacity with which a server starts, and the time until it is warm.
pub const COLD_SHARE: f64 = 0.31;
/// See [`COLD_SHARE`].
pub const WARM_WITHIN: Us = 7_400_000;
/// A cold server that is sent more than this multiple of what it can do at that moment ...
pub const OVERLOAD: f64 = 2.5;
/// ... for this long falls over.
pub const TIP_AFTER: Us = SECOND;
/// Slack for chance on that work: one long request must not push a server over by itself (BENCH,
/// "with a little slack for chance").
pub const COLD_SLACK: f64 = 1.1;
/// Part of its capacity to which a group is limited, where its servers share a limit.
pub const LIMITED_CAPACITY: RangeInclusive<f64> = 0.44..=0.67;
/// How long a server remembers an affinity key, in microseconds.
pub const KEY_MEMORY_US: RangeInclusive<f64> = 2.3e6..=12e6;
/// Part of a request's work that a remembered affinity key saves.
pub const KEY_SAVED_WORK: RangeInclusive<f64> = 0.27..=0.56;
/// How many times slower an overdriven server becomes.
pub const OVERDRIVEN_SLOWDOWN: RangeInclusive<f64> = 2.3..=3.4;
/// How long a server must be crowded before it is overdriven, in microseconds.
pub const OVERDRIVEN_AFTER_US: RangeInclusive<f64> = 1.5e6..=2.5e6;
/// How long an overdriven server must be mostly idle before it recovers, in microseconds.
pub const OVERDRIVEN_RECOVERY_US: RangeInclusive<f64> = 2.2e6..=4.9e6;
/// Work of a probe, in microseconds.
pub const PROBE_WORK_US: RangeInclusive<f64> = 92.0..=150.0;
/// Servers close a connection that has been idle for this long.
pub const IDLE_CLOSE: Us = 15 * SECOND;

/// The settings object that sidecar `index` of `sidecars` in that zone is given.
pub fn settings(sidecars: usize, index: usize, zone: usize) -> Value {
    let lanes: Vec<Value> = CLASSES
        .iter()
        .map(|class| {
            let effect = match class.repeat {
                Repeat::Safe => "pure",
                Repeat::Keyed => "token",
                Repeat::Never => "side_effect",
            };
            json!({"Name": class.name, "AimUs": class.aim, "DeadlineUs": class.deadline, "Effect": effect,
                "DedupScope": "all", "KeyTtlUs": KEY_TIME, "LateShare": 0.0, "Streaming": false,
                "Worth": class.worth})
        })
        .collect();
    json!({"Balancers": sidecars, "Index": index, "Lanes": lanes, "Clients": {"MarksRetry": true},
        "CountedBy": "request", "Discovery": "pushed",
        "Goal": {"Whole": 0.85, "WorstClass": 0.1, "WorstTenant": 0.0, "WorstWindow": 0.05},
        "Limits": {"DialTimeoutUs": 120_000, "IdleCloseUs": IDLE_CLOSE, "MaxAttempts": MAX_ATTEMPTS,
            "MaxRetryAfterUs": 2_000_000, "MayCancel": true, "MayDuplicate": true, "Peers": false, "Probes": true,
            "RetryAfter": true},
        "OverShareWorth": 0.1,
        "Prices": {"CrossZone": 0.1, "Handshake": 0.0, "LateFail": 0.08, "Probe": 0.0029, "Waste": 0.2},
        "Report": {"Source": "pull"},
        "Rules": {"AnswerSlackUs": 20_000, "AskWithinUs": 10_000_000, "ColdShare": COLD_SHARE,
            "OverloadFactor": OVERLOAD, "TipAfterUs": TIP_AFTER, "WarmWithinUs": WARM_WITHIN},
        "Tenants": [], "TickUs": 5000, "WeightSource": "nominal", "Zone": ZONES[zone % ZONES.len()], "Zones": ZONES})
}

#[cfg(test)]
mod tests;
