//! One request of a client and its answer.

use crate::client::Client;
use crate::engine_handle::EngineHandle;
use crate::headers::{end_to_end, origin_form};
use crate::messages::{Answer, MAX_BODY_BYTES, Outgoing, Served};
use crate::request_headers::{RequestClasses, RequestHeaders};
use crate::shutdown::ShutdownStage;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode};
use load_balancer::NewRequest;
use std::cell::Cell;
use std::error::Error;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};

/// A body that has not wholly come this long after its head never will: the application is on this
/// machine.
const BODY_TIME: Duration = Duration::from_millis(500);

/// An answer as it is written.
pub type Reply = Response<Full<Bytes>>;

/// Why a request gets no answer: its connection is closed.
#[derive(Debug)]
pub enum Unanswered {
    /// Its body ended before its time or can't be read.
    Body(hyper::Error),
    /// Its client has left.
    Left,
}

impl fmt::Display for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Body(e) => write!(f, "the body of a request: {e}"),
            Self::Left => f.write_str("the client has left"),
        }
    }
}

impl Error for Unanswered {}

/// Answers one request.
pub async fn serve(
    lanes: Rc<RequestClasses>,
    handle: EngineHandle,
    request: Request<Incoming>,
    client: Rc<Client>,
    mut stop: watch::Receiver<ShutdownStage>,
) -> Result<Reply, Unanswered> {
    let mut reply = match request.uri().path() {
        "/up" if *stop.borrow() == ShutdownStage::No => plain(StatusCode::OK),
        "/up" => plain(StatusCode::SERVICE_UNAVAILABLE),
        path if path == "/api" || path.starts_with("/api/") => {
            api(&lanes, &handle, request, &client, &mut stop).await?
        }
        _ => plain(StatusCode::NOT_FOUND),
    };
    // During a stop an answer is the last one, unless something has come behind its request.
    if *stop.borrow() != ShutdownStage::No && !client.in_hand() && !client.unread() {
        close_after(&mut reply);
    }
    Ok(reply)
}

fn plain(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}

fn closing(status: StatusCode) -> Reply {
    let mut reply = plain(status);
    close_after(&mut reply);
    reply
}

fn close_after(reply: &mut Reply) {
    reply
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
}

async fn api(
    lanes: &RequestClasses,
    handle: &EngineHandle,
    request: Request<Incoming>,
    client: &Client,
    stop: &mut watch::Receiver<ShutdownStage>,
) -> Result<Reply, Unanswered> {
    let arrived = handle.now();
    let (head, body) = request.into_parts();
    let Some(facts) = RequestHeaders::read(lanes, &head.method, &head.headers) else {
        return Ok(closing(StatusCode::BAD_REQUEST));
    };
    let due = arrived.saturating_add(facts.time_left);
    let whole_by = handle.instant(due).min(Instant::now() + BODY_TIME);
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Ok(closing(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let whole = tokio::select! {
        biased;
        whole = timeout_at(whole_by, Limited::new(body, MAX_BODY_BYTES).collect()) => whole,
        _ = stop.wait_for(|s| *s == ShutdownStage::Now) => return Ok(closing(StatusCode::SERVICE_UNAVAILABLE)),
    };
    let body = match whole {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            return Ok(closing(StatusCode::PAYLOAD_TOO_LARGE));
        }
        Ok(Err(e)) => match e.downcast::<hyper::Error>() {
            Ok(e) => return Err(Unanswered::Body(*e)),
            Err(_) => return Ok(closing(StatusCode::BAD_REQUEST)),
        },
        Err(_) => return Ok(closing(StatusCode::REQUEST_TIMEOUT)),
    };
    let outgoing = Outgoing {
        method: head.method,
        uri: origin_form(&head.uri),
        headers: end_to_end(head.headers),
        body,
        settled: Cell::new(false),
    };
    let request = NewRequest {
        id: 0,
        class: facts.class,
        tenant: facts.tenant,
        key: facts.key,
        affinity_endpoints: Vec::new(),
        deadline: due,
        work: facts.work,
        is_retry: facts.repeat,
    };
    if client.has_left() {
        return Err(Unanswered::Left);
    }
    // There is no time left in which it could be answered: it must not be forwarded.
    if *stop.borrow() == ShutdownStage::Now {
        return Ok(closing(StatusCode::SERVICE_UNAVAILABLE));
    }
    let mut owed = handle.submit(request, outgoing);
    // The module answers in time by itself. These bound it from outside; each drops what is owed,
    // which tells the module that the request is over.
    let answer = tokio::select! {
        biased;
        answer = owed.answer() => answer,
        () = client.left() => return Err(Unanswered::Left),
        () = sleep_until(handle.instant(due)) => Answer::Failed,
        _ = stop.wait_for(|s| *s == ShutdownStage::Now) => Answer::Failed,
    };
    Ok(match answer {
        Answer::Served(Served { headers, body }) => {
            let mut reply = Response::new(Full::new(body));
            *reply.headers_mut() = end_to_end(headers);
            reply
        }
        Answer::Rejected(hold_off) => {
            let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE);
            if hold_off > 0
                && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", hold_off as f64 / 1e6))
            {
                reply.headers_mut().insert(header::RETRY_AFTER, value);
            }
            reply
        }
        // Neither 429 nor 503, which would promise that trying again is harmless.
        Answer::Failed => plain(StatusCode::BAD_GATEWAY),
    })
}
