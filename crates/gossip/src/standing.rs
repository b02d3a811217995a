//! The connectivity state of a member, and what each other part may do in it. docs/gossip.md has
//! the same table, and a test holds both equal.

use serde::Serialize;

/// Own standing, without its particulars. The earlier one goes first where several would hold, but for [`Kind::Whole`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// It hears all that it knows, and they know the same ones.
    #[default]
    Whole,
    /// Views differ for longer than news need.
    Disputed,
    /// A zone is not heard, or does not hear this one.
    Cut,
    /// Nobody is heard.
    Alone,
    /// Own timers are late: what seems to be wrong with others is doubtful.
    Unwell,
}

/// Words on endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdicts {
    /// It says what it sees, and heeds what others say.
    Shared,
    /// It says nothing; what it has heard holds to its bound.
    Heeded,
}

/// Trials of endpoints that rest by others' word.
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

/// Preference for endpoints at which a key is warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bindings {
    /// They are used, told and heard.
    Used,
    /// They are used until they run out by the own clock, and none is renewed by a use.
    RunOut,
    /// None is used.
    Idle,
}

/// Answers to the steward on servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    /// They count.
    Yes,
    /// They count from the side with more than half of all members.
    Larger,
    /// They do not.
    No,
}

/// What each part may do in a standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct May {
    /// Words on endpoints.
    pub verdicts: Verdicts,
    /// Trials.
    pub trials: Trials,
    /// Keys go down one list: it needs no word of others, but an order that all have.
    pub affinity: bool,
    /// Bindings.
    pub bindings: Bindings,
    /// Answers to the steward.
    pub answers: Answers,
}

/// The table.
pub const TABLE: [(Kind, May); 5] = [
    (
        Kind::Whole,
        may(
            Verdicts::Shared,
            Trials::Shared,
            Bindings::Used,
            Answers::Yes,
        ),
    ),
    (
        Kind::Disputed,
        may(
            Verdicts::Shared,
            Trials::Shared,
            Bindings::Used,
            Answers::Yes,
        ),
    ),
    (
        Kind::Cut,
        may(
            Verdicts::Shared,
            Trials::Side,
            Bindings::RunOut,
            Answers::Larger,
        ),
    ),
    (
        Kind::Alone,
        may(Verdicts::Heeded, Trials::Own, Bindings::RunOut, Answers::No),
    ),
    (
        Kind::Unwell,
        may(Verdicts::Heeded, Trials::None, Bindings::Idle, Answers::No),
    ),
];

const fn may(verdicts: Verdicts, trials: Trials, bindings: Bindings, answers: Answers) -> May {
    May {
        verdicts,
        trials,
        affinity: true,
        bindings,
        answers,
    }
}

impl Kind {
    /// What the parts may do.
    pub fn may(self) -> May {
        TABLE[self as usize].1
    }

    /// Its word on pages and in lines.
    pub fn word(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Disputed => "disputed",
            Self::Cut => "cut",
            Self::Alone => "alone",
            Self::Unwell => "unwell",
        }
    }
}

/// Which way nothing passes between this zone and another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    /// Neither, or nobody tells of the other one.
    Both,
    /// They hear this zone and are not heard.
    FromThem,
    /// They are heard and do not hear this zone.
    ToThem,
}

impl Way {
    /// Its words on pages and in lines.
    pub fn word(self) -> &'static str {
        match self {
            Self::Both => "both ways",
            Self::FromThem => "from them",
            Self::ToThem => "to them",
        }
    }
}

/// Own standing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Standing {
    /// Which.
    pub kind: Kind,
    /// Hashes of the zones that it is cut from, in their order, and which way; not those that died.
    #[serde(skip)]
    pub cut: Vec<(u64, Way)>,
    /// Where it is cut: whether this side has more than half of all members.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub larger: Option<bool>,
}

impl Standing {
    /// It may answer the steward.
    pub fn answers(&self) -> bool {
        match self.kind.may().answers {
            Answers::Yes => true,
            Answers::Larger => self.larger == Some(true),
            Answers::No => false,
        }
    }
}

#[cfg(test)]
mod tests;
