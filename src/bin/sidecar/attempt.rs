//! One attempt at an endpoint: its destination, its time limits, and its result.

use crate::body::BodyError;
use crate::load_report::parse_load_report;
use crate::message_memory::Reservation;
use crate::messages::{OutgoingRequest, ServedAnswer, TIME_LEFT};
use crate::pool::{Endpoint, Target};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use load_balancer::{LoadReport, Outcome};
use std::rc::Rc;
use tokio::time::Instant;

const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
const BACKEND_LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// The result of an attempt.
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The answer to forward.
    pub served: Option<ServedAnswer>,
    /// The load report that came with the answer.
    pub load: LoadReport,
}

impl AttemptResult {
    /// A result without an answer to forward.
    pub fn without_answer(outcome: Outcome, load: LoadReport) -> Self {
        Self {
            outcome,
            served: None,
            load,
        }
    }
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self::without_answer(outcome, LoadReport::default())
    }
}

/// Interprets a response; its body is `None` if the connection ended before it was complete.
pub fn attempt_result(
    head: Parts,
    body: Option<Result<Bytes, BodyError>>,
    memory: Option<Reservation>,
) -> AttemptResult {
    let load = head
        .headers
        .get(BACKEND_LOAD)
        .map(parse_load_report)
        .unwrap_or_default();
    let is_unprocessed = head.headers.get(UNPROCESSED).is_some_and(|v| v == "1");
    let outcome = match (head.status, body) {
        (StatusCode::OK, Some(Ok(body))) => {
            let headers = head.headers;
            return AttemptResult {
                outcome: Outcome::Ok,
                served: Some(ServedAnswer {
                    headers,
                    body,
                    memory,
                }),
                load,
            };
        }
        (StatusCode::OK, Some(Err(BodyError::TooLong))) => Outcome::Error,
        (StatusCode::OK, _) => Outcome::Reset,
        // An incomplete response does not count as the rejection it claims to be.
        (StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT, Some(Ok(_)))
            if is_unprocessed =>
        {
            Outcome::Rejected
        }
        _ => Outcome::Error,
    };
    AttemptResult::without_answer(outcome, load)
}

/// The destination of an attempt: the process it was decided for, and the endpoint, which may move
/// or start draining in the meantime.
pub struct Destination {
    /// The process; none if nothing may be sent.
    pub target: Option<Target>,
    /// The endpoint.
    pub endpoint: Rc<Endpoint>,
}

impl Destination {
    /// The process that is currently at an endpoint.
    pub fn current(endpoint: Rc<Endpoint>) -> Self {
        Self {
            target: endpoint.target(),
            endpoint,
        }
    }
}

/// A process and its endpoint.
#[derive(Clone, Copy)]
pub struct AttemptTarget<'a> {
    /// The process.
    pub target: Target,
    /// The endpoint in its current state.
    pub endpoint: &'a Endpoint,
}

/// Time limits of an attempt.
#[derive(Clone, Copy)]
pub struct AttemptTimes {
    /// The request must be written completely by then; later nothing is written.
    pub write_by: Instant,
    /// The attempt is given up then, unless its answer is arriving.
    pub deadline: Instant,
    /// An answer is of no use later.
    pub answer_by: Instant,
}

/// The outcome of an attempt that must not start any more, because its request was answered, its
/// client may have left, the process it was decided for drains, moved or was replaced, or its time
/// is over.
pub fn prevented_outcome(
    to: AttemptTarget<'_>,
    outgoing: &OutgoingRequest,
    times: AttemptTimes,
) -> Option<Outcome> {
    let is_prevented = outgoing.is_answered.get()
        || outgoing.client_may_have_left.get()
        || to.endpoint.target() != Some(to.target);
    if is_prevented {
        return Some(Outcome::NotSent);
    }
    (Instant::now() >= times.write_by).then_some(Outcome::ConnectFailed)
}

impl OutgoingRequest {
    /// The request to an endpoint, with the time left until the deadline.
    pub fn request(&self, deadline: Instant) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        // At least 1: endpoints do not accept a time of zero.
        let time_left = deadline
            .saturating_duration_since(Instant::now())
            .as_micros()
            .max(1);
        request.headers_mut().insert(
            TIME_LEFT,
            HeaderValue::from_str(&format!("{time_left}u")).ok()?,
        );
        Some(request)
    }
}
