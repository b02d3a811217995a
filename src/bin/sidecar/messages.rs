//! What the tasks of the sidecar tell each other, as plain data. Changes when one of them has something new to say.

use crate::hosts::HostList;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Method, Uri};
use load_balancer::{AttemptNo, Load, Micros, NewRequest, Outcome, RequestId};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};

/// Longest body, of requests and of answers.
pub const LONGEST_BODY: usize = 64 << 10;
/// What its client calls a request.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// How long the sender of a request will wait.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");

/// What the sockets tell the engine.
pub enum Input {
    /// A client's request, what goes on to endpoints, and where its answer goes.
    Request(NewRequest, Rc<Outgoing>, oneshot::Sender<Answer>),
    /// Its client has left, or its answer is overdue.
    Withdrawn(RequestId),
    /// An attempt ended.
    Ended(Ended),
    /// A probe of an endpoint ended.
    Probed(usize, Outcome, Micros, Load),
    /// Discovery answered.
    Hosts(HostList),
    /// A call to discovery failed, for this reason.
    HostsFailed(String),
    /// Somebody measures.
    #[cfg(feature = "product")]
    Survey(oneshot::Sender<Survey>),
    /// What a life before knew of endpoints.
    #[cfg(feature = "product")]
    Recalled(Vec<Named>),
    /// Somebody keeps what is known of endpoints, and counts how many are listed.
    #[cfg(feature = "product")]
    Recollect(oneshot::Sender<(usize, Vec<Named>)>),
    /// The fleet's words have changed.
    #[cfg(feature = "product")]
    Ejections(Vec<load_balancer::EjectionUpdate>),
    /// A datagram from a peer.
    Peer(u32, Vec<u8>, OwnedSemaphorePermit),
}

/// What is known of an endpoint, by its name; its number is only the engine's.
#[cfg(feature = "product")]
pub type Named = (String, load_balancer::RestoredEndpoint);

/// The one final answer to a request.
pub enum Answer {
    /// An endpoint's answer.
    Served(Served),
    /// Trying again is harmless, best after that time.
    Refused(Micros),
    /// Nothing is promised.
    Failed,
}

/// Where inputs go. The channel has no bound of its own: bounded are the connections, attempts, calls and
/// datagrams whose news it carries, and a client's leaving must never be lost.
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
    pub async fn survey(&self) -> Option<Survey> {
        let (reply, survey) = oneshot::channel();
        self.send(Input::Survey(reply));
        survey.await.ok()
    }

    /// How many endpoints are listed, and what the engine knows of them; `None` once it has ended.
    #[cfg(feature = "product")]
    pub async fn recollect(&self) -> Option<(usize, Vec<Named>)> {
        let (reply, known) = oneshot::channel();
        self.send(Input::Recollect(reply));
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
pub struct Survey {
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
    /// The request.
    pub request: RequestId,
    /// Its attempt.
    pub attempt: AttemptNo,
    /// The outcome.
    pub outcome: Outcome,
    /// The answer, where it was served.
    pub served: Option<Served>,
    /// The load report that came along.
    pub load: Load,
}
