//! The messages between the tasks of the sidecar, as plain data.

use crate::host_list::HostList;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Method, Uri};
use load_balancer::{AttemptIndex, EndpointId, LoadReport, Micros, NewRequest, Outcome, RequestId};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};

/// Longest body, of requests and of answers.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// What its client calls a request.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// How long the sender of a request will wait.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");

/// What the sockets tell the engine.
pub enum Input {
    /// A client's request.
    Request {
        /// As the decision module takes it.
        request: NewRequest,
        /// What is forwarded to endpoints.
        outgoing: Rc<Outgoing>,
        /// Where its answer goes.
        reply: oneshot::Sender<Answer>,
    },
    /// Its client has left, or its answer is overdue.
    Withdrawn(RequestId),
    /// An attempt ended.
    Ended(Ended),
    /// A health check of an endpoint ended.
    Probed {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took: Micros,
        /// The load report that came along.
        load: LoadReport,
    },
    /// Discovery answered.
    EndpointList(HostList),
    /// A call to discovery failed, for this reason.
    ListFailed(String),
    /// The metrics are read.
    #[cfg(feature = "product")]
    Summarize(oneshot::Sender<EngineSummary>),
    /// What was known of endpoints before a restart.
    #[cfg(feature = "product")]
    Restored(Vec<NamedEndpoint>),
    /// What is known of endpoints is to be stored.
    #[cfg(feature = "product")]
    Export(oneshot::Sender<Exported>),
    /// What other members' health observations come to has changed.
    #[cfg(feature = "product")]
    Ejections(Vec<load_balancer::EjectionUpdate>),
    /// A datagram from a peer.
    Peer {
        /// The peer's index.
        from: u32,
        /// Its content.
        bytes: Vec<u8>,
        /// Its place among the datagrams that wait.
        permit: OwnedSemaphorePermit,
    },
}

/// An attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Its attempt.
    pub attempt: AttemptIndex,
}

/// What is known of an endpoint, by its name; its number is only the engine's.
#[cfg(feature = "product")]
pub struct NamedEndpoint {
    /// Its name.
    pub name: String,
    /// What is known.
    pub known: load_balancer::RestoredEndpoint,
}

/// What is known of endpoints, to be stored.
#[cfg(feature = "product")]
pub struct Exported {
    /// How many are listed.
    pub listed: usize,
    /// Those of which anything is known.
    pub endpoints: Vec<NamedEndpoint>,
}

/// The one final answer to a request.
pub enum Answer {
    /// An endpoint's answer.
    Served(Served),
    /// Trying again is harmless, best after that time.
    Rejected(Micros),
    /// Nothing is promised.
    Failed,
}

/// Where inputs go. The channel has no bound of its own: bounded are the connections, attempts,
/// calls and datagrams whose news it carries, and a client's leaving must never be lost.
#[derive(Clone)]
pub struct Inputs(mpsc::UnboundedSender<Input>);

impl Inputs {
    /// A way to the engine, and its end there.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (sender, inputs) = mpsc::unbounded_channel();
        (Self(sender), inputs)
    }

    /// What the engine has in hand just now; `None` once it has ended.
    #[cfg(feature = "product")]
    pub async fn summarize(&self) -> Option<EngineSummary> {
        let (reply, summary) = oneshot::channel();
        self.send(Input::Summarize(reply));
        summary.await.ok()
    }

    /// How many endpoints are listed, and what the engine knows of them; `None` once it has ended.
    #[cfg(feature = "product")]
    pub async fn export(&self) -> Option<Exported> {
        let (reply, known) = oneshot::channel();
        self.send(Input::Export(reply));
        known.await.ok()
    }

    /// Hands over an input.
    pub fn send(&self, input: Input) {
        // The engine ends only with the process.
        let _ = self.0.send(input);
    }
}

/// What the engine has in hand.
#[cfg(feature = "product")]
pub struct EngineSummary {
    /// What the module tells.
    pub summary: load_balancer::BalancerSummary,
    /// Requests without their final answer.
    pub open: usize,
    /// Attempts that are out.
    pub attempts: usize,
}

/// What is sent to an endpoint, the same at each attempt but for the time left.
pub struct Outgoing {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The client has its final answer: nothing more goes out.
    pub settled: Cell<bool>,
}

#[cfg(feature = "product")]
impl Outgoing {
    /// The correlation id that its client gave it.
    pub fn id(&self) -> &str {
        self.headers
            .get(CORRELATION_ID)
            .and_then(|id| id.to_str().ok())
            .unwrap_or("")
    }
}

/// An endpoint's 200 answer.
pub struct Served {
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// How an attempt ended, as the engine is told.
pub struct Ended {
    /// The attempt.
    pub id: AttemptId,
    /// The outcome.
    pub outcome: Outcome,
    /// The answer, where it was served.
    pub served: Option<Served>,
    /// The load report that came along.
    pub load: LoadReport,
}
