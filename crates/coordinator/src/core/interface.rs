//! The inputs and outputs of a coordinator's core.

use crate::replicated_log::{Admission, Message, ReplicaStatus};
use load_balancer_maintenance::{
    Action, Answer, CapacityView, DisruptionBudget, DrainCheck, Event, Outcome, Server,
};
use load_balancer_maintenance::{ServerObservation, WindowView};
use serde::Serialize;

/// Both clocks of the host, read together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Milliseconds of Unix time; may jump.
    pub unix_ms: i64,
    /// Milliseconds of a monotonic clock.
    pub mono_ms: u64,
}

/// Settings of a coordinator's core.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Names of all coordinators.
    pub names: Vec<String>,
    /// The disruption budget in this coordinator's configuration. That of the leader applies.
    pub budget: DisruptionBudget,
    /// Delay before a failed action is retried, in milliseconds.
    pub retry_delay_ms: u64,
    /// Time after which an action or drain check without a result counts as lost, in milliseconds.
    pub action_timeout_ms: u64,
    /// How long after its request a majority's confirmation of the leadership is valid, in
    /// milliseconds: no longer than other coordinators wait before an election.
    pub confirmation_validity_ms: u64,
}

/// An input of a coordinator's core.
#[derive(Clone, Debug)]
pub enum Input {
    /// One heartbeat interval has passed.
    Tick,
    /// A message of another coordinator, with the name of the sender.
    Message(String, Message),
    /// A caller, identified by the number, proposes an event and waits for the outcome.
    Propose(u64, Event),
    /// A coordinator requests a vote: number of the caller, id of the disk, and its name.
    RequestVote(u64, u64, String),
    /// The server list of the platform.
    ServerList(Vec<Server>),
    /// Observations of a polling round, with ages as of this instant of the monotonic clock. They
    /// keep aging while they wait, or while the process is suspended.
    Observations(u64, Vec<ServerObservation>),
    /// The result of an action; `None` without an answer.
    ActionResult(Action, Option<Answer>),
    /// Whether a server is drained.
    DrainResult(DrainCheck, bool),
    /// Leadership is to be transferred.
    StepDown,
}

/// Work for the host, valid while the majority's confirmation of the leadership is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order<T> {
    /// The work.
    pub item: T,
    /// Not to be started after this instant of the monotonic clock.
    pub deadline_ms: u64,
}

/// Outputs of a coordinator's core.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages for other coordinators, by name; may be lost.
    pub messages: Vec<(String, Message)>,
    /// Replies, by the number of the caller.
    pub replies: Vec<(u64, Reply)>,
    /// Actions on servers. Each ends with [`Input::ActionResult`].
    pub actions: Vec<Order<Action>>,
    /// Processes to check for being drained. Each check ends with [`Input::DrainResult`].
    pub drain_checks: Vec<Order<DrainCheck>>,
    /// Log lines for on-call engineers.
    pub notes: Vec<String>,
}

/// A reply to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The event was committed, with this outcome.
    Committed(Outcome),
    /// State of the request for a vote.
    Admission(Admission),
    /// This coordinator does not lead.
    NotLeader,
    /// Too few coordinators have a vote yet.
    TooFewVoters,
    /// The leader has not polled the platform and the fleet yet.
    NotPolled,
    /// Too many proposals are pending.
    Busy,
    /// It is not known whether the event was committed; the caller may repeat it.
    OutcomeUnknown,
}

/// What status pages show of a coordinator.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct View {
    /// Its status in the replicated log.
    #[serde(flatten)]
    pub replica_status: ReplicaStatus,
    /// Whether it leads and has polled the platform and the fleet.
    pub looked: bool,
    /// All windows.
    pub windows: Vec<WindowView>,
    /// Available and unavailable capacity.
    pub capacity: Option<CapacityView>,
    /// Number of listed servers.
    pub servers: usize,
    /// The last fencing token.
    pub token: u64,
    /// Number of actions that are due.
    pub due: usize,
}
