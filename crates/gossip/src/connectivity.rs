//! The connectivity state of a member, and what each other part may do in it. docs/gossip.md has
//! the same table, and a test holds both equal.

use serde::Serialize;

/// The connectivity state without its particulars. The earlier one goes first where several would
/// hold, but for [`ConnectivityState::Connected`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum ConnectivityState {
    /// It hears all that it knows, and they know the same ones.
    #[default]
    #[serde(rename = "whole")]
    Connected,
    /// Views differ for longer than news need.
    #[serde(rename = "disputed")]
    Divergent,
    /// A zone is not heard, or does not hear this one.
    #[serde(rename = "cut")]
    Partitioned,
    /// Nobody is heard.
    #[serde(rename = "alone")]
    Isolated,
    /// Own timers are late: what seems to be wrong with others is doubtful.
    #[serde(rename = "unwell")]
    Degraded,
}

/// Health observations of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observations {
    /// It publishes its own, and follows those of others.
    Shared,
    /// It publishes none; what it has received has effect up to its maximum staleness.
    Followed,
}

/// Trials of ejected endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trials {
    /// One member of all concerned makes each.
    Shared,
    /// One of those that are heard.
    Side,
    /// Each is its own.
    Own,
    /// It makes none.
    None,
}

/// Preference for endpoints at which a key is cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AffinityEntries {
    /// They are used, told and heard.
    Used,
    /// They are used until they run out by the own clock, and none is renewed by a use.
    RunOut,
    /// None is used.
    Idle,
}

/// Answers to a coordinator on servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    /// They count.
    Yes,
    /// They count from the side with more than half of all members.
    Larger,
    /// They do not.
    No,
}

/// What each part may do in a connectivity state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permissions {
    /// Health observations of endpoints.
    pub observations: Observations,
    /// Trials.
    pub trials: Trials,
    /// Keys go down one list: it needs no word of others, but an order that all have.
    pub affinity: bool,
    /// Affinity entries.
    pub affinity_entries: AffinityEntries,
    /// Answers to a coordinator.
    pub answers: Answers,
}

/// The table.
pub const TABLE: [(ConnectivityState, Permissions); 5] = [
    (
        ConnectivityState::Connected,
        permissions(
            Observations::Shared,
            Trials::Shared,
            AffinityEntries::Used,
            Answers::Yes,
        ),
    ),
    (
        ConnectivityState::Divergent,
        permissions(
            Observations::Shared,
            Trials::Shared,
            AffinityEntries::Used,
            Answers::Yes,
        ),
    ),
    (
        ConnectivityState::Partitioned,
        permissions(
            Observations::Shared,
            Trials::Side,
            AffinityEntries::RunOut,
            Answers::Larger,
        ),
    ),
    (
        ConnectivityState::Isolated,
        permissions(
            Observations::Followed,
            Trials::Own,
            AffinityEntries::RunOut,
            Answers::No,
        ),
    ),
    (
        ConnectivityState::Degraded,
        permissions(
            Observations::Followed,
            Trials::None,
            AffinityEntries::Idle,
            Answers::No,
        ),
    ),
];

const fn permissions(
    observations: Observations,
    trials: Trials,
    affinity_entries: AffinityEntries,
    answers: Answers,
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
    /// What the parts may do.
    pub fn permissions(self) -> Permissions {
        TABLE[self as usize].1
    }

    /// Its name in log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Connected => "connected",
            Self::Divergent => "divergent",
            Self::Partitioned => "partitioned",
            Self::Isolated => "isolated",
            Self::Degraded => "degraded",
        }
    }

    /// Its name on pages, which have the earlier terms.
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

/// Which way nothing passes between this zone and another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// Neither, or nobody tells of the other one.
    Both,
    /// They hear this zone and are not heard.
    FromThem,
    /// They are heard and do not hear this zone.
    ToThem,
}

impl Direction {
    /// Its name in log lines.
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
    /// Which.
    pub kind: ConnectivityState,
    /// Hashes of the zones that it is cut from, in their order, and which way; not those that died.
    #[serde(skip)]
    pub cut: Vec<(u64, Direction)>,
    /// Where it is cut: whether this side has more than half of all members.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub larger: Option<bool>,
}

impl Connectivity {
    /// It may answer a coordinator.
    pub fn answers(&self) -> bool {
        match self.kind.permissions().answers {
            Answers::Yes => true,
            Answers::Larger => self.larger == Some(true),
            Answers::No => false,
        }
    }
}

#[cfg(test)]
mod tests;
