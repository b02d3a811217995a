//! State of a leader within its term: its proposals, and the actions in progress.

use load_balancer_maintenance::{Action, DrainCheck, Server, Step};
use std::collections::BTreeMap;

/// The origin of a proposal.
#[derive(Clone, Debug)]
pub(super) enum Proposer {
    /// A caller that waits for the outcome.
    Caller(u64),
    /// The leader itself.
    Leader(LeaderProposal),
}

/// A proposal of the leader. At most one of each kind is pending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LeaderProposal {
    DisruptionBudget,
    Calendar,
    Time,
    List,
    Observations,
    Result(ActionKey),
}

/// Identifies an action on a server, or the check whether it is drained.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ActionKey {
    window: u64,
    server: String,
    /// `None` for a drain check.
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

    pub(super) fn of_drain_check(check: &DrainCheck) -> Self {
        Self {
            window: check.window,
            server: check.server.clone(),
            step: None,
            token: check.epoch,
        }
    }
}

/// State of a leader; reset with each term.
#[derive(Debug, Default)]
pub(super) struct Leadership {
    pub(super) term: u64,
    /// Own proposals without an outcome yet.
    pub(super) pending: Vec<LeaderProposal>,
    /// The server list as last committed, and as last proposed.
    pub(super) committed_list: Option<Vec<Server>>,
    pub(super) proposed_list: Option<Vec<Server>>,
    /// Whether the platform and the fleet have been polled in this term.
    pub(super) has_polled: bool,
    /// Actions in progress, and until when, by the monotonic clock.
    pub(super) in_progress: BTreeMap<ActionKey, u64>,
    /// The pending request for a majority's confirmation: its ticket, and when it was made.
    pub(super) confirmation: Option<(u64, u64)>,
}
