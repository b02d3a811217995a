//! The interface of the decision module: its inputs ([`Settings`], [`Event`]) and its outputs
//! ([`Action`]).
//!
//! Times are whole microseconds on one monotonic clock. Ids are small numbers that the embedding
//! program assigns and that have no meaning of their own.

mod ids;
mod list;
mod peer_health;
mod request;
mod restored;
mod settings;
mod settings_check;

pub use ids::*;
pub use list::*;
pub use peer_health::*;
pub use request::*;
pub use restored::*;
pub use settings::*;
pub use settings_check::*;

/// An input of an instance.
#[derive(Clone, Debug)]
pub enum Event {
    /// Changed ejections that follow from other members' health observations.
    Ejections(Vec<EjectionUpdate>),
    /// State of endpoints from before a restart; sent once, after the first list and before any
    /// request.
    Restored(Vec<RestoredEndpoint>),
    /// The endpoint list, or a change to it.
    Endpoints(ListUpdate),
    /// A client's request, which must get exactly one final answer.
    Request(NewRequest),
    /// The answer to an attempt has begun to stream to the client.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
    },
    /// An attempt ended; one event for each [`Action::Send`].
    AttemptEnded(AttemptEnd),
    /// A health check ended.
    ProbeEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its outcome.
        outcome: Outcome,
        /// Time since the health check was sent.
        elapsed: Micros,
        /// Load report that came with the result.
        load: LoadReport,
    },
    /// The client disconnected, or its answer is overdue; no answer is sent any more.
    Abandoned(RequestId),
    /// A message from another instance.
    PeerMessage {
        /// Index of the sender.
        from: u32,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// A timer set with [`Action::SetTimer`] fired.
    Timer(u64),
}

/// Figures of an instance for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BalancerSummary {
    /// Endpoints on the list.
    pub listed: usize,
    /// Listed endpoints that accept requests.
    pub ready: usize,
    /// Listed endpoints whose circuit is open.
    pub circuits_open: usize,
    /// Listed endpoints that are ejected because of other members' observations.
    pub ejected: usize,
    /// Requests that wait for an endpoint with capacity.
    pub queued: usize,
    /// Pending timers, those of ended requests included.
    pub timers: usize,
    /// Requests given up since the start: shed, waiting, failing.
    pub given_up: [u64; 3],
}

/// An output of an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Its timeout.
        timeout: Micros,
        /// When its last byte must be written; a repeat written later might run a second time.
        write_by: Timestamp,
    },
    /// Final answer: the request did not run, or may safely be repeated.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should stay away; 0 sends no Retry-After.
        retry_after: Micros,
    },
    /// Final answer: failed; the request may have run.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
    },
    /// Send a health check to an endpoint.
    Probe(EndpointId),
    /// Fire a timer in `after` with `token`.
    SetTimer {
        /// Time from now.
        after: Micros,
        /// Returned in [`Event::Timer`].
        token: u64,
    },
    /// Subscribe to changes of the endpoint list, or unsubscribe.
    Subscribe(bool),
    /// Fetch the whole list once.
    FetchList,
    /// Close idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Send a message of at most 256 bytes to one peer or to all.
    SendToPeer {
        /// Index of the peer; `None` for all.
        to: Option<u32>,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// Report to other members whether an attempt at an endpoint was served.
    ReportHealth {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it was served.
        served: bool,
    },
    /// Write a log line for on-call engineers.
    Log(String),
}
