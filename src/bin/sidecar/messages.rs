//! The messages between the tasks of the sidecar.

use crate::host_list::HostList;
use crate::message_memory::Reservation;
use crate::repeat_guard::RepeatId;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Method, Uri};
use load_balancer::{AttemptIndex, EndpointId, LoadReport, Micros, NewRequest, Outcome, RequestId};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};

/// Longest body of requests and responses, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// The client's id of a request.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// How long the sender of a request will wait.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");

/// An input of the engine.
pub enum Input {
    /// A client's request.
    Request {
        /// The request for the decision module.
        request: NewRequest,
        /// The request to forward to endpoints.
        outgoing: Rc<OutgoingRequest>,
        /// Receives its answer.
        reply: oneshot::Sender<Answer>,
    },
    /// The request is no longer waited for.
    Withdrawn(RequestId, Withdrawal),
    /// An attempt ended.
    AttemptEnded(EndedAttempt),
    /// A health probe of an endpoint ended.
    ProbeEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// The outcome.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Micros,
        /// The load report that came with the response.
        load: LoadReport,
    },
    /// Discovery answered.
    EndpointList(HostList),
    /// A call to discovery failed, with the reason.
    ListFailed(String),
    /// Requests a summary for the metrics.
    #[cfg(feature = "product")]
    Summarize(oneshot::Sender<EngineSummary>),
    /// The endpoints' state from before a restart.
    #[cfg(feature = "product")]
    Restored(Vec<NamedEndpoint>),
    /// Requests the endpoints' state for storing.
    #[cfg(feature = "product")]
    Export(oneshot::Sender<ExportedEndpoints>),
    /// Ejections have changed by other members' health observations.
    #[cfg(feature = "product")]
    Ejections(Vec<load_balancer::EjectionUpdate>),
    /// A datagram from a peer.
    PeerDatagram {
        /// The peer's index.
        from: u32,
        /// Its content.
        bytes: Vec<u8>,
        /// Its place in the queue of datagrams.
        permit: OwnedSemaphorePermit,
    },
}

/// Why a request is no longer waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// Its client has left without an answer.
    ClientLeft,
    /// Its time is over, or the process is about to exit: its client was told that it has failed.
    Failed,
}

/// An attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The index of the attempt.
    pub attempt: AttemptIndex,
}

/// The module's state of an endpoint, by name; the id is only valid in this process.
#[cfg(feature = "product")]
pub struct NamedEndpoint {
    /// Its name.
    pub name: String,
    /// The module's state.
    pub known: load_balancer::RestoredEndpoint,
}

/// The endpoints' state for storing.
#[cfg(feature = "product")]
pub struct ExportedEndpoints {
    /// Number of listed endpoints.
    pub listed: usize,
    /// The endpoints for which there is any state.
    pub endpoints: Vec<NamedEndpoint>,
}

/// The final answer to a request.
pub enum Answer {
    /// An endpoint's response.
    Served(ServedAnswer),
    /// The request was not executed and may be retried, preferably after that time.
    Rejected(Micros),
    /// The request failed; it may have been executed.
    Failed,
}

/// Sends inputs to the engine. The channel itself is unbounded, as the connections, attempts, calls
/// and datagrams that cause inputs are bounded, and a client's disconnect must never be lost.
#[derive(Clone)]
pub struct InputSender(mpsc::UnboundedSender<Input>);

impl InputSender {
    /// Creates the channel to the engine.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (sender, inputs) = mpsc::unbounded_channel();
        (Self(sender), inputs)
    }

    /// A summary of the engine's state; `None` once it has ended.
    #[cfg(feature = "product")]
    pub async fn summarize(&self) -> Option<EngineSummary> {
        let (reply, summary) = oneshot::channel();
        self.send(Input::Summarize(reply));
        summary.await.ok()
    }

    /// The endpoints' state for storing; `None` once the engine has ended.
    #[cfg(feature = "product")]
    pub async fn export(&self) -> Option<ExportedEndpoints> {
        let (reply, known) = oneshot::channel();
        self.send(Input::Export(reply));
        known.await.ok()
    }

    /// Sends an input.
    pub fn send(&self, input: Input) {
        // The engine ends only with the process.
        let _ = self.0.send(input);
    }
}

/// A summary of the engine's state.
#[cfg(feature = "product")]
pub struct EngineSummary {
    /// The decision module's summary.
    pub summary: load_balancer::BalancerSummary,
    /// Requests without a final answer.
    pub open: usize,
    /// Attempts in flight.
    pub attempts: usize,
}

/// The request sent to an endpoint, the same in each attempt except for the time left.
pub struct OutgoingRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The forwarded headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The client has its final answer: nothing more is sent.
    pub is_answered: Cell<bool>,
    /// So much is unread behind the request that its client may have left unnoticed: no attempt
    /// begins.
    pub client_may_have_left: Cell<bool>,
    /// Identifies it if it must not run twice.
    pub repeat_id: Option<RepeatId>,
    /// The memory of head and body, unless they are small.
    pub _memory: Option<Reservation>,
}

#[cfg(feature = "product")]
impl OutgoingRequest {
    /// The correlation id given by the client.
    pub fn correlation_id(&self) -> &str {
        self.headers
            .get(CORRELATION_ID)
            .and_then(|id| id.to_str().ok())
            .unwrap_or("")
    }
}

/// An endpoint's successful response.
pub struct ServedAnswer {
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The memory of head and body, unless they are small.
    pub memory: Option<Reservation>,
}

/// The end of an attempt.
pub struct EndedAttempt {
    /// The attempt.
    pub id: AttemptId,
    /// The outcome.
    pub outcome: Outcome,
    /// The response, if it was successful.
    pub served: Option<ServedAnswer>,
    /// The load report that came with the response.
    pub load: LoadReport,
}
