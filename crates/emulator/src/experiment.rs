//! The format of an experiment's file: topology, load, faults, variants, bounds; docs/emulator.md
//! is the reference.

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
    /// What it shows, in one sentence.
    pub about: String,
    /// Sidecars, servers and zones.
    pub topology: Topology,
    /// The clients' requests.
    pub load: Load,
    /// The network without faults.
    pub network: Network,
    /// The faults, and when they occur.
    pub fault: Vec<Fault>,
    /// The requested maintenance windows.
    pub window: Vec<Window>,
    /// The capacity floor.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub agreement: Option<Agreed>,
    /// The coordinators that are asked for windows.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(alias = "stewards")]
    pub coordinators: Option<Coordinators>,
    /// The variants that are compared; the first one is the reference.
    pub variant: Vec<Variant>,
    /// The bounds that must hold.
    pub bounds: Bounds,
}

/// Sidecars, servers and zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Topology {
    /// Number of sidecars, each with an application of its own.
    pub sidecars: usize,
    /// Number of servers.
    pub servers: usize,
    /// Number of zones, 1 to 3, to which sidecars and servers are assigned in turn.
    pub zones: usize,
    /// Servers per group; a group is in one zone.
    pub group: usize,
    /// Share of the groups that have a common limit.
    pub limited: f64,
    /// Most connections of a server.
    pub connections: usize,
}

/// The clients' requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Mean number of requests per second and sidecar.
    pub rate: f64,
    /// How unevenly they are distributed over the sidecars: 0 is even; at 1 a few have several
    /// times the mean.
    pub uneven: f64,
    /// How far each sidecar's rate varies around its own mean, as a share of it.
    pub wander: f64,
    /// How long requests are sent.
    pub lasts: Time,
    /// Requests in this first period are not counted.
    pub warmup: Time,
    /// Number of keys in requests; a few are far more popular than the rest.
    pub keys: usize,
    /// Work per request, as a multiple of the site's.
    pub work: f64,
}

/// The network without faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// One-way delay inside a zone.
    pub inside: Time,
    /// One-way delay between zones.
    pub between: Time,
    /// Largest additional delay, random for each segment.
    pub jitter: Time,
    /// Smallest and largest delay of list changes on their way to a sidecar.
    pub list_delay: [Time; 2],
}

/// A build or configuration that is compared.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// The program of its sidecars; by default the one given on the command line.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub program: Option<PathBuf>,
    /// Its product configuration, as the text of a file.
    pub config: String,
    /// How the experiment's windows are carried out.
    pub windows: Carried,
    /// Which of its sidecars run an earlier version.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mix: Option<Mix>,
}

/// The bounds that must hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// A run is invalid if one request in a hundred was sent later than this: the machine was too
    /// slow.
    pub lateness: Time,
    /// Bounds on measures.
    pub measure: Vec<MeasureBound>,
}

/// A bound on the mean of a measure over the runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeasureBound {
    /// The measure.
    pub measure: Measure,
    /// The variant; by default every one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub variant: Option<String>,
    /// The variant to compare with: the bounds then apply to the quotient of the two means.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub against: Option<String>,
    /// Lower bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub least: Option<f64>,
    /// Upper bound.
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
