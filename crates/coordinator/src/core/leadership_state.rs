//! What a leader remembers of its term: what it has proposed, and which actions are in progress.

use load_balancer_maintenance::{Action, Server, Step, Unclear};
use std::collections::BTreeMap;

/// Who made a proposal.
#[derive(Clone, Debug)]
pub(super) enum Proposer {
    /// A caller, who waits for its outcome.
    Caller(u64),
    /// The leader itself.
    Leader(LeaderProposal),
}

/// What the leader proposes by itself. Of each kind one at a time is on its way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LeaderProposal {
    DisruptionBudget,
    Calendar,
    Time,
    List,
    Observations,
    Result(ActionKey),
}

/// An action on a server, or the question whether it is drained of affinity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ActionKey {
    window: u64,
    server: String,
    /// None for the question.
    step: Option<Step>,
    token: u64,
}

impl ActionKey {
    pub(super) fn of(action: &Action) -> Self {
        Self {
            window: action.window,
            server: action.server.clone(),
            step: Some(action.step),
            token: action.token,
        }
    }

    pub(super) fn of_question(question: &Unclear) -> Self {
        Self {
            window: question.window,
            server: question.server.clone(),
            step: None,
            token: question.epoch,
        }
    }
}

/// The state of a leader in its term; nothing of it outlives the term.
#[derive(Debug, Default)]
pub(super) struct Leadership {
    pub(super) term: u64,
    /// Own proposals whose outcome is not known yet.
    pub(super) waits: Vec<LeaderProposal>,
    /// The platform's list as it was last seen, and as it was last proposed.
    pub(super) list: Option<Vec<Server>>,
    pub(super) offered: Option<Vec<Server>>,
    /// The platform and the fleet have been looked at in this term.
    pub(super) looked: bool,
    /// Actions in progress, and until when, on the monotonic clock.
    pub(super) in_progress: BTreeMap<ActionKey, u64>,
    /// The majority was asked whether this one leads: by which ticket, and when.
    pub(super) asked: Option<(u64, u64)>,
}
