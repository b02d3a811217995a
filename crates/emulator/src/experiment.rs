//! The form of an experiment's file: topology, load, faults, variants, bounds; docs/emulator.md is
//! its reference.

mod check;
mod fault;
mod maintenance;
mod mix;

use crate::outcome::Measure;
pub use fault::{Fault, FaultKind, Way};
use load_balancer_common::units::Time;
pub use maintenance::{
    Agreed, Blackout, Carried, CoordinatorFault, CoordinatorFaultKind, Coordinators, Who, Window,
};
pub use mix::{Mix, Roll, Version};
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// One experiment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What it shows, in a sentence.
    pub about: String,
    /// Who is there.
    pub topology: Topology,
    /// What clients ask for.
    pub load: Load,
    /// The network when nothing is wrong.
    pub network: Network,
    /// What goes wrong, and when.
    pub fault: Vec<Fault>,
    /// Maintenance that is wanted.
    pub window: Vec<Window>,
    /// The capacity that was agreed to stay.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub agreement: Option<Agreed>,
    /// Who is asked for windows.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(alias = "stewards")]
    pub coordinators: Option<Coordinators>,
    /// What is compared; the first is what the others are held against.
    pub variant: Vec<Variant>,
    /// What has to hold.
    pub bounds: Bounds,
}

/// Who is there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Topology {
    /// Sidecars, each with an application of its own.
    pub sidecars: usize,
    /// Servers.
    pub servers: usize,
    /// Zones, over which both are spread in turn; 1 to 3.
    pub zones: usize,
    /// Servers in a group; a group lies in one zone.
    pub group: usize,
    /// Part of the groups that share a limit.
    pub limited: f64,
    /// Connections that a server holds.
    pub connections: usize,
}

/// What clients ask for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Requests a second of the mean sidecar.
    pub rate: f64,
    /// How unevenly they are spread over sidecars: 0 all alike; 1 a few have several times the
    /// mean.
    pub uneven: f64,
    /// How far each sidecar's rate wanders around its own mean, as a part of it.
    pub wander: f64,
    /// How long requests come.
    pub lasts: Time,
    /// Requests in this first time count for nothing.
    pub warmup: Time,
    /// Keys that requests carry, a few far more popular than the rest.
    pub keys: usize,
    /// Work of requests, as a multiple of the site's.
    pub work: f64,
}

/// The network when nothing is wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// One way inside a zone.
    pub inside: Time,
    /// One way between zones.
    pub between: Time,
    /// More, at most, drawn for each fragment.
    pub jitter: Time,
    /// How late changes of the list reach a sidecar, at least and at most.
    pub list_delay: [Time; 2],
}

/// A build or a configuration that is compared.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// The program of its sidecars; the one on the command line where this is left out.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub program: Option<PathBuf>,
    /// Its product configuration, as the text of a file.
    pub config: String,
    /// Who carries the experiment's windows out.
    pub windows: Carried,
    /// Which of its sidecars run an earlier version.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mix: Option<Mix>,
}

/// What has to hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// A run whose requests came later than this, one in a hundred, is void: the machine was too
    /// slow.
    pub lateness: Time,
    /// Bounds on single measures.
    pub measure: Vec<MeasureBound>,
}

/// A bound on a measure's mean over the runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeasureBound {
    /// The measure.
    pub measure: Measure,
    /// The variant; every one where this is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub variant: Option<String>,
    /// Held against that variant: the bounds are then on the quotient of the two means.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub against: Option<String>,
    /// At least this.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub least: Option<f64>,
    /// At most this.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub most: Option<f64>,
}

impl Default for Topology {
    fn default() -> Self {
        Self {
            sidecars: 6,
            servers: 12,
            zones: 3,
            group: 4,
            limited: 0.4,
            connections: 512,
        }
    }
}

impl Default for Load {
    fn default() -> Self {
        let (lasts, warmup) = (Time::ms(20_000), Time::ms(2000));
        Self {
            rate: 10.0,
            uneven: 0.5,
            wander: 0.2,
            lasts,
            warmup,
            keys: 500,
            work: 1.0,
        }
    }
}

impl Default for Network {
    fn default() -> Self {
        let [inside, between, jitter] =
            [200, 2000, 200].map(|us| Time(std::time::Duration::from_micros(us)));
        Self {
            inside,
            between,
            jitter,
            list_delay: [Time::ms(1000), Time::ms(3000)],
        }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            lateness: Time::ms(30),
            measure: Vec::new(),
        }
    }
}
