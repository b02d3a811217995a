//! The faults that an experiment can inject.

use load_balancer_common::units::Time;
use serde::{Deserialize, Serialize};

/// A fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind.
    pub kind: FaultKind,
    /// When it begins, from the first request.
    pub at: Time,
    /// How long it lasts.
    pub lasts: Time,
    /// The zone that it affects.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<usize>,
    /// The share of all targets (or of those in the zone) that it affects, chosen by the seed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<f64>,
    /// Its strength: factor of slowness, share of errors or resets, or additional delay in
    /// milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub size: Option<f64>,
    /// The direction of a partition.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub way: Option<Way>,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Server processes crash; they restart cold at the end.
    ServersDie,
    /// Servers accept requests and never answer.
    ServersSilent,
    /// Servers are `size` times slower.
    ServersSlow,
    /// Servers answer a `size` share of requests with an error.
    ServersFail,
    /// Servers are replaced one after the other: each drains and leaves, and a cold one with
    /// another name joins.
    ServersReplace,
    /// Servers are announced to leave; at the end they drain, and stop after the time for that.
    ServersLeave,
    /// Servers that the platform returns do not come back.
    ReturnsNever,
    /// They come back `size` milliseconds late.
    ReturnsLate,
    /// They come back, and shortly afterwards again with another start time.
    ReturnsTwice,
    /// The zone is partitioned from the others.
    ZoneCut,
    /// Delays between sidecars and servers are `size` milliseconds longer.
    NetworkSlow,
    /// A `size` share of the segments resets its connection.
    NetworkResets,
    /// Sidecars are killed at once and restarted at the end.
    SidecarsKill,
    /// Sidecars are shut down by SIGTERM one after the other, each restarting once it has exited.
    SidecarsRoll,
    /// Sidecars are suspended and resumed (SIGSTOP, SIGCONT).
    SidecarsPause,
    /// Sidecars' clocks are off by `size` milliseconds from their start on.
    SidecarsClock,
    /// A `size` share of the datagrams between sidecars is lost.
    DatagramsLost,
    /// A `size` share of the datagrams between sidecars is duplicated.
    DatagramsRepeated,
    /// A `size` share of the datagrams between sidecars is delayed and so reordered.
    DatagramsLate,
    /// A Byzantine member in that zone reports all servers as dead; only with real processes.
    MemberLies,
    /// Discovery does not answer.
    DiscoverySilent,
    /// Discovery sends invalid answers.
    DiscoveryGarbled,
    /// Discovery sends an empty whole list.
    DiscoveryEmpty,
}

/// The direction that a partition blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    /// Out of the zone.
    Out,
    /// Into the zone.
    In,
    /// Both.
    Both,
}

impl FaultKind {
    /// Whether it affects sidecars rather than servers.
    pub fn concerns_sidecars(self) -> bool {
        matches!(
            self,
            Self::SidecarsKill | Self::SidecarsRoll | Self::SidecarsPause | Self::SidecarsClock
        )
    }
}
