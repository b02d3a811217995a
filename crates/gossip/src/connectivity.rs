//! The connectivity state of a member, and what each subsystem may do in it. docs/gossip.md
//! contains the same table; a test compares the two.

use serde::Serialize;

/// The connectivity state, without details. If several apply, the one listed first takes
/// precedence, except for [`ConnectivityState::Connected`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum ConnectivityState {
    /// All known members can be heard, and they know the same members.
    #[default]
    #[serde(rename = "whole")]
    Connected,
    /// Membership views have differed for longer than updates take to propagate.
    #[serde(rename = "disputed")]
    Divergent,
    /// A zone cannot be heard, or cannot hear this one.
    #[serde(rename = "cut")]
    Partitioned,
    /// No member can be heard.
    #[serde(rename = "alone")]
    Isolated,
    /// The timers of this member run late, so its own observations are unreliable.
    #[serde(rename = "unwell")]
    Degraded,
}

/// Exchange of health observations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observations {
    /// Observations are published, and those of others are applied.
    Shared,
    /// None are published; those received have effect until their maximum staleness.
    Followed,
}

/// Assignment of trial requests to ejected endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trials {
    /// One member of the whole fleet is assigned to each trial request.
    Shared,
    /// One of the reachable members is assigned.
    ReachableOnly,
    /// The member makes its own trial requests.
    Independent,
    /// The member makes none.
    None,
}

/// Preference for endpoints where a key is cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AffinityEntries {
    /// Entries are used, published and received.
    Used,
    /// Entries are used until they expire by the local clock; uses do not renew them.
    Expiring,
    /// Entries are not used.
    Unused,
}

/// Whether answers to a coordinator about servers are valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoordinatorAnswers {
    /// Valid.
    Always,
    /// Valid only on the side with more than half of all members.
    LargerSideOnly,
    /// Not valid.
    Never,
}

/// What each subsystem may do in a connectivity state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permissions {
    /// Exchange of health observations.
    pub observations: Observations,
    /// Trial requests.
    pub trials: Trials,
    /// Key affinity without entries: it uses the same order of endpoints on all members, without
    /// messages.
    pub affinity: bool,
    /// Affinity entries.
    pub affinity_entries: AffinityEntries,
    /// Answers to a coordinator.
    pub answers: CoordinatorAnswers,
}

/// The permissions of each state.
pub const PERMISSIONS_BY_STATE: [(ConnectivityState, Permissions); 5] = [
    (
        ConnectivityState::Connected,
        permissions(
            Observations::Shared,
            Trials::Shared,
            AffinityEntries::Used,
            CoordinatorAnswers::Always,
        ),
    ),
    (
        ConnectivityState::Divergent,
        permissions(
            Observations::Shared,
            Trials::Shared,
            AffinityEntries::Used,
            CoordinatorAnswers::Always,
        ),
    ),
    (
        ConnectivityState::Partitioned,
        permissions(
            Observations::Shared,
            Trials::ReachableOnly,
            AffinityEntries::Expiring,
            CoordinatorAnswers::LargerSideOnly,
        ),
    ),
    (
        ConnectivityState::Isolated,
        permissions(
            Observations::Followed,
            Trials::Independent,
            AffinityEntries::Expiring,
            CoordinatorAnswers::Never,
        ),
    ),
    (
        ConnectivityState::Degraded,
        permissions(
            Observations::Followed,
            Trials::None,
            AffinityEntries::Unused,
            CoordinatorAnswers::Never,
        ),
    ),
];

const fn permissions(
    observations: Observations,
    trials: Trials,
    affinity_entries: AffinityEntries,
    answers: CoordinatorAnswers,
) -> Permissions {
    Permissions {
        observations,
        trials,
        affinity: true,
        affinity_entries,
        answers,
    }
}

impl ConnectivityState {
    /// Returns the permissions in this state.
    pub fn permissions(self) -> Permissions {
        PERMISSIONS_BY_STATE[self as usize].1
    }

    /// Returns the name in log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Connected => "connected",
            Self::Divergent => "divergent",
            Self::Partitioned => "partitioned",
            Self::Isolated => "isolated",
            Self::Degraded => "degraded",
        }
    }

    /// Returns the name in status pages, which use earlier terms.
    pub fn page_name(self) -> &'static str {
        match self {
            Self::Connected => "whole",
            Self::Divergent => "disputed",
            Self::Partitioned => "cut",
            Self::Isolated => "alone",
            Self::Degraded => "unwell",
        }
    }
}

/// In which direction nothing passes between this zone and another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// Neither direction works, or it is not known that one does.
    Both,
    /// This zone cannot hear the other.
    FromThem,
    /// The other zone cannot hear this one.
    ToThem,
}

impl Direction {
    /// Returns the name in log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Both => "both ways",
            Self::FromThem => "from them",
            Self::ToThem => "to them",
        }
    }
}

/// The connectivity of this member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Connectivity {
    /// The state.
    #[serde(rename = "kind")]
    pub state: ConnectivityState,
    /// Hashes of the names of the unreachable zones, in the order of the zones, with the direction;
    /// zones that have failed are not included.
    #[serde(skip)]
    pub unreachable_zones: Vec<(u64, Direction)>,
    /// If partitioned: whether this side has more than half of all members.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "larger")]
    pub on_larger_side: Option<bool>,
}

impl Connectivity {
    /// Returns whether this member may answer a coordinator.
    pub fn may_answer_coordinator(&self) -> bool {
        match self.state.permissions().answers {
            CoordinatorAnswers::Always => true,
            CoordinatorAnswers::LargerSideOnly => self.on_larger_side == Some(true),
            CoordinatorAnswers::Never => false,
        }
    }
}

#[cfg(test)]
mod tests;
