//! The faults that an experiment can inject.

use load_balancer_common::units::Time;
use serde::{Deserialize, Serialize};

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// When it begins, since the first request.
    pub at: Time,
    /// How long it lasts.
    pub lasts: Time,
    /// The zone that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<usize>,
    /// The part of all (or of those in the zone) that it concerns, drawn from the seed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<f64>,
    /// How strong: times slower, share of errors or of resets, or more delay in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub size: Option<f64>,
    /// Cuts: one way only, and which.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub way: Option<Way>,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Servers' processes die; they come back cold when it ends.
    ServersDie,
    /// Servers take requests and answer none.
    ServersSilent,
    /// Servers are `size` times slower.
    ServersSlow,
    /// Servers answer a `size` share of requests with an error.
    ServersFail,
    /// Servers are replaced one after the other: each drains and leaves, and a cold one with
    /// another name comes.
    ServersReplace,
    /// Sidecars are told that servers leave; when it ends they drain, and are gone once they have
    /// had time for that.
    ServersLeave,
    /// Servers that a platform returns do not come back.
    ReturnsNever,
    /// They come back `size` milliseconds late.
    ReturnsLate,
    /// They come back, and a moment later once more, under another start.
    ReturnsTwice,
    /// Nothing passes between the zone and the others.
    ZoneCut,
    /// Everything between sidecars and servers takes `size` milliseconds longer.
    NetworkSlow,
    /// A `size` share of the fragments that pass break their connection.
    NetworkResets,
    /// Sidecars are killed at once; they start again when it ends.
    SidecarsKill,
    /// Sidecars are stopped by SIGTERM one after the other, and each starts again once it has
    /// ended.
    SidecarsRoll,
    /// Sidecars are stopped and continued (SIGSTOP, SIGCONT).
    SidecarsPause,
    /// Sidecars' clocks are off by `size` milliseconds, from their start on.
    SidecarsClock,
    /// Datagrams between sidecars: a `size` share is lost.
    DatagramsLost,
    /// Datagrams between sidecars: a `size` share comes twice.
    DatagramsRepeated,
    /// Datagrams between sidecars: a `size` share is held up, so that later ones come before.
    DatagramsLate,
    /// A member of the fleet in that zone, beside the sidecars, says of all servers that they are
    /// dead; with real processes only.
    MemberLies,
    /// Discovery says nothing.
    DiscoverySilent,
    /// Discovery answers nonsense.
    DiscoveryGarbled,
    /// Discovery answers with an empty whole list.
    DiscoveryEmpty,
}

/// Which way a cut lets nothing through.
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
    /// Whether it concerns sidecars rather than servers.
    pub fn of_sidecars(self) -> bool {
        matches!(
            self,
            Self::SidecarsKill | Self::SidecarsRoll | Self::SidecarsPause | Self::SidecarsClock
        )
    }
}
