//! The events of the state machine in their agreed order, and its answers.

use serde::{Deserialize, Serialize};

use crate::calendar::Span;
use crate::disruption_budget::DisruptionBudget;
use crate::invalid::Invalid;
use crate::request::Request;

/// One agreed event. The time it happened is given beside it, by the leader that proposed it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// Somebody asks for a window.
    Ask(Request),
    /// The asker takes a window back: what waits is closed, what drains is cancelled, what is away
    /// runs to its end.
    Cancel {
        /// The window's number.
        window: u64,
    },
    /// What the list or platform names now: all servers, in place of the last list.
    Servers(Vec<Server>),
    /// What the fleet knows of servers; of those not named the last observation stays, and ages.
    #[serde(rename = "evidence")]
    Observations(Vec<ServerObservation>),
    /// No replica picks by an affinity entry to this server any more, and none will before it has
    /// started anew.
    Clear {
        /// The window's number.
        window: u64,
        /// The server's name.
        server: String,
        /// The token of the drain that the clear answers, so that an earlier drain's clear is not
        /// taken for it.
        epoch: u64,
    },
    /// The work on a server that is away is finished before the window's end; it may return.
    Finished {
        /// The window's number.
        window: u64,
        /// The server's name.
        server: String,
    },
    /// What the thing acted on answered to an [`Action`](crate::Action).
    Acted {
        /// The window's number.
        window: u64,
        /// The server's name.
        server: String,
        /// The step that was tried.
        step: Step,
        /// The token that went with it.
        token: u64,
        /// The answer.
        result: Answer,
    },
    /// Time passed.
    Tick,
    /// A new disruption budget takes the place of the last. Blackouts count once a
    /// [`Event::Calendar`] gives their times; until then everything is blacked out.
    #[serde(rename = "agreement")]
    DisruptionBudget(DisruptionBudget),
    /// The disruption budget's blackouts as times, worked out by the leader (see
    /// [`Machine::calendar_due`]): replicas with another time zone database decide the same.
    ///
    /// [`Machine::calendar_due`]: crate::Machine::calendar_due
    Calendar {
        /// The disruption budget that they belong to, counted from the first one: for another one
        /// they say nothing.
        #[serde(rename = "agreement")]
        budget: u64,
        /// The time to which the spans are known, in milliseconds of Unix time. What lies beyond is
        /// blacked out.
        until_ms: i64,
        /// The blackouts' times, in order.
        spans: Vec<Span>,
    },
}

/// A server as the list or platform names it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its name, unique in the list.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its group.
    pub group: String,
    /// Its part of the capacity.
    pub weight: u32,
    /// When its process started, in the list's own unit; grows with each start.
    pub started: u64,
}

/// What the fleet knows of one server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerObservation {
    /// The server's name.
    pub server: String,
    /// Whether it serves.
    pub state: Health,
    /// Whether it is warm. Once seen warm, a process (name and start) counts as warm.
    pub warm: bool,
    /// The start of the process that was seen, in the list's unit.
    pub started: u64,
    /// How long ago it was seen, in milliseconds before the event.
    pub age_ms: u64,
    /// Whether enough members with full connectivity say so. If not, the observation counts as
    /// none.
    pub enough: bool,
}

/// Whether a server serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// It serves.
    #[serde(rename = "well")]
    Healthy,
    /// It is dead, or fails what it is asked.
    #[serde(rename = "sick")]
    Unhealthy,
    /// The members can't tell.
    Unknown,
}

/// A step that the thing acted on is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Give it no new work.
    Drain,
    /// Take it away.
    Take,
    /// Bring it back from away.
    Return,
    /// Give it work again; it was not taken.
    CallBack,
}

/// What the thing acted on answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// It is so; also if it was so already.
    Done {
        /// The start of the process that a return brought up, where the platform tells it.
        started: Option<u64>,
    },
    /// A cancellation came too late: the server was taken already.
    Taken,
    /// The token is lower than one seen.
    Refused {
        /// The highest token seen.
        seen: u64,
    },
    /// It could not be done now; it is tried again.
    Failed,
}

/// What [`Machine::apply`](crate::Machine::apply) answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request is accepted; the same name asked again gets the same answer.
    Booked {
        /// The window's number.
        window: u64,
        /// When each server goes, in milliseconds of Unix time, by the plan of this moment.
        times: Vec<Booking>,
    },
    /// The request can't be met as asked.
    Infeasible {
        /// The limit that stands against it, in words.
        reason: String,
        /// The earliest start that would be feasible if the latest end were later, in milliseconds
        /// of Unix time.
        earliest_ms: Option<i64>,
        /// The end of its last wave with overrun then, in milliseconds of Unix time.
        end_ms: Option<i64>,
    },
    /// The event is taken.
    Taken,
    /// The event says nothing new: repeated, late, or of another token.
    Ignored,
    /// The event can't be taken.
    Refused(Refusal),
}

/// When one server goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Booking {
    /// The server's name.
    pub server: String,
    /// Number of the wave within the window, from 0.
    pub wave: u32,
    /// Start of the drain, in milliseconds of Unix time; none while no time is found.
    pub start_ms: Option<i64>,
    /// End with overrun, in milliseconds of Unix time.
    pub end_ms: Option<i64>,
}

/// Why an event can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// A key of it is wrong.
    Invalid(Invalid),
    /// There is no such window or server in it.
    Unknown(String),
    /// A bound is reached.
    Full(String),
    /// No disruption budget was made yet.
    NoAgreement,
}
