//! The events of the state machine, and their outcomes.

use serde::{Deserialize, Serialize};

use crate::calendar::Span;
use crate::disruption_budget::DisruptionBudget;
use crate::invalid::Invalid;
use crate::request::Request;

/// One event of the replicated log. The leader that proposes it adds the time at which it happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A request for a window.
    Ask(Request),
    /// The requester cancels a window: what waits is closed, what drains is cancelled, what is away
    /// runs to its end.
    Cancel {
        /// The window's number.
        window: u64,
    },
    /// The servers that the list or platform names now; replaces the last list.
    Servers(Vec<Server>),
    /// Health observations of servers; servers not named keep their last observation, which ages.
    #[serde(rename = "evidence")]
    Observations(Vec<ServerObservation>),
    /// No sidecar routes to this server by an affinity entry any more, and none will until it is
    /// restarted.
    Clear {
        /// The window's number.
        window: u64,
        /// The server's name.
        server: String,
        /// The token of the drain that was checked, so that a clear for an earlier drain does not
        /// count.
        epoch: u64,
    },
    /// The work on a taken server is finished before the window's end; the server may return.
    Finished {
        /// The window's number.
        window: u64,
        /// The server's name.
        server: String,
    },
    /// The answer to an [`Action`](crate::Action).
    Acted {
        /// The window's number.
        window: u64,
        /// The server's name.
        server: String,
        /// The step that was performed.
        step: Step,
        /// The token of the action.
        token: u64,
        /// The answer.
        result: Answer,
    },
    /// Time has passed.
    Tick,
    /// A new disruption budget replaces the last. Its blackouts take effect with the next
    /// [`Event::Calendar`]; until then all times count as blackouts.
    #[serde(rename = "agreement")]
    DisruptionBudget(DisruptionBudget),
    /// The disruption budget's blackouts as time spans, computed by the leader (see
    /// [`Machine::calendar_due`]) so that replicas with another time zone database agree on them.
    ///
    /// [`Machine::calendar_due`]: crate::Machine::calendar_due
    Calendar {
        /// The number of the disruption budget they belong to; ignored if that is not the current
        /// one.
        #[serde(rename = "agreement")]
        budget: u64,
        /// The time up to which the spans are known, in milliseconds of Unix time. Later times
        /// count as blackouts.
        until_ms: i64,
        /// The blackouts' spans, in order.
        spans: Vec<Span>,
    },
}

/// A server of the list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its name, unique in the list.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its group.
    pub group: String,
    /// Its share of the capacity.
    pub weight: u32,
    /// When its process started, in the list's own unit; increases with each start.
    pub started: u64,
}

/// A health observation of one server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerObservation {
    /// Its health.
    pub server: String,
    /// Whether it serves.
    pub state: Health,
    /// Whether it is warm. A process (name and start) once observed warm counts as warm.
    pub warm: bool,
    /// The start of the observed process, in the list's unit.
    pub started: u64,
    /// The age of the observation, in milliseconds before the event.
    pub age_ms: u64,
    /// Whether enough members with full connectivity report it. Otherwise the observation does not
    /// count.
    pub enough: bool,
}

/// The health of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// It serves.
    #[serde(rename = "well")]
    Healthy,
    /// It is dead, or its requests fail.
    #[serde(rename = "sick")]
    Unhealthy,
    /// The members can't tell.
    Unknown,
}

/// A step of maintenance on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Assign it no new requests.
    Drain,
    /// Take it out of service.
    Take,
    /// Bring it back after it was taken.
    Return,
    /// Assign it requests again; it was not taken.
    CallBack,
}

/// The answer to an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The step is done, or was already.
    Done {
        /// The start of the process that a return started, if the platform reports it.
        started: Option<u64>,
    },
    /// A cancellation came too late: the server was already taken.
    Taken,
    /// The token is lower than one seen before.
    Refused {
        /// The highest token seen.
        seen: u64,
    },
    /// It could not be done now and will be tried again.
    Failed,
}

/// The result of [`Machine::apply`](crate::Machine::apply).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request is accepted; a repeated request gets the same answer.
    Booked {
        /// The window's number.
        window: u64,
        /// The currently planned times of the servers.
        times: Vec<Booking>,
    },
    /// The request can't be satisfied.
    Infeasible {
        /// The limit that prevents it, as text.
        reason: String,
        /// The earliest possible start if the latest end were later, in milliseconds of Unix time.
        earliest_ms: Option<i64>,
        /// The end of its last wave, with overrun, in that case, in milliseconds of Unix time.
        end_ms: Option<i64>,
    },
    /// The event was applied.
    Taken,
    /// The event changes nothing: it is repeated, late, or for another token.
    Ignored,
    /// The event was rejected.
    Refused(Refusal),
}

/// The planned time of one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Booking {
    /// The server's name.
    pub server: String,
    /// Number of the wave within the window, from 0.
    pub wave: u32,
    /// Start of the drain, in milliseconds of Unix time; none if no time was found.
    pub start_ms: Option<i64>,
    /// End with overrun, in milliseconds of Unix time.
    pub end_ms: Option<i64>,
}

/// Why an event was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// One of its fields is invalid.
    Invalid(Invalid),
    /// There is no such window or server.
    Unknown(String),
    /// A limit is reached.
    Full(String),
    /// No disruption budget has been set yet.
    NoAgreement,
}
