//! The inputs and outputs of a coordinator's core.

use crate::replicated_log::{Admission, Message, ReplicaStatus};
use load_balancer_maintenance::{
    Action, Answer, CapacityView, DisruptionBudget, Event, Outcome, Server, Unclear,
};
use load_balancer_maintenance::{ServerObservation, WindowView};
use serde::Serialize;

/// Both clocks of the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Milliseconds of Unix time; may jump.
    pub unix_ms: i64,
    /// Milliseconds since any moment; never goes back.
    pub mono_ms: u64,
}

/// What a coordinator is made with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Names of all coordinators.
    pub names: Vec<String>,
    /// What the operators have agreed on, by this coordinator's file. The leader's file holds.
    pub budget: DisruptionBudget,
    /// Pause before something that failed is tried again, in milliseconds.
    pub again_ms: u64,
    /// How long an act or a question may take until it counts as lost, in milliseconds.
    pub lost_ms: u64,
    /// For how long after it was asked for a majority's confirmation that this coordinator leads
    /// may be acted on, in milliseconds: no longer than others wait before they stand for election.
    pub confirmation_ms: u64,
}

/// What a host tells.
#[derive(Clone, Debug)]
pub enum Input {
    /// A heartbeat's time passed.
    Tick,
    /// Another coordinator's message, and its name.
    Message(String, Message),
    /// Somebody brings an event, and waits under this number for the answer.
    Bring(u64, Event),
    /// A coordinator asks for a vote: the caller's number, the disk's number, its name.
    Admit(u64, u64, String),
    /// What the platform lists.
    Listed(Vec<Server>),
    /// A round of polls of the fleet is over: what it came to, with ages at this moment of the
    /// monotonic clock. What waits, or is held up with the process, grows older meanwhile.
    Observations(u64, Vec<ServerObservation>),
    /// What an act came to; none if nothing was answered.
    Acted(Action, Option<Answer>),
    /// Whether a server is clear.
    Cleared(Unclear, bool),
    /// The lead is to be handed over.
    StepDown,
}

/// Something to do, for as long as the majority's confirmation that it depends on may be acted on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order<T> {
    /// What.
    pub what: T,
    /// Not to be begun after this moment, by the monotonic clock.
    pub until_ms: u64,
}

/// What is to be done after a step.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages for other coordinators, by their name, best effort.
    pub messages: Vec<(String, Message)>,
    /// Answers by the caller's number.
    pub replies: Vec<(u64, Reply)>,
    /// Acts on servers. Each ends with [`Input::Acted`].
    pub acts: Vec<Order<Action>>,
    /// Servers of which to ask whether they are clear. Each ends with [`Input::Cleared`].
    pub questions: Vec<Order<Unclear>>,
    /// What on-call should read.
    pub notes: Vec<String>,
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The event was agreed on, and came to this.
    Agreed(Outcome),
    /// Where the request for a vote stands.
    Admission(Admission),
    /// This coordinator does not lead.
    NotLeader,
    /// Too few coordinators have a vote yet.
    Founding,
    /// The leader has not looked at servers and fleet yet.
    Looking,
    /// Too much waits.
    Busy,
    /// Whether the event is agreed on is not known: ask again.
    Lost,
}

/// Where a coordinator stands and what it knows, for people.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct View {
    /// Its status in the replicated log.
    #[serde(flatten)]
    pub replica_status: ReplicaStatus,
    /// Whether it leads and has looked at servers and fleet.
    pub looked: bool,
    /// All windows.
    pub windows: Vec<WindowView>,
    /// What is there and what is not.
    pub capacity: Option<CapacityView>,
    /// How many servers are listed.
    pub servers: usize,
    /// The last token.
    pub token: u64,
    /// Drains, takes, returns and call-backs that are due.
    pub due: usize,
}
