//! Serves one request of a client.

mod memory;

use crate::body::{BodyError, collect_body};
use crate::client::Client;
use crate::engine_handle::EngineHandle;
use crate::headers::{end_to_end, origin_form};
use crate::message_memory::Reservation;
use crate::message_size::MessageSize;
use crate::messages::{Answer, MAX_BODY_BYTES, OutgoingRequest, ServedAnswer};
use crate::refusal::Refusal;
use crate::request_headers::{RequestClasses, RequestHeaders};
use crate::shutdown::ShutdownStage;
use crate::turns::overdue_at;
use crate::unread::{may_have_left, wait_until_left};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode};
use load_balancer::NewRequest;
use memory::{reserve_request, reserved_body};
use std::cell::Cell;
use std::error::Error;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout_at};

/// Time after a request's head in which its body must be complete: the application is on this
/// machine.
const BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// A response to a client.
pub type Reply = Response<Full<Bytes>>;

/// Why a request gets no response: its connection is closed.
#[derive(Debug)]
pub enum Unanswered {
    /// Its body was incomplete or can't be read.
    Body(hyper::Error),
    /// Its client has disconnected.
    ClientLeft,
}

impl fmt::Display for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Body(e) => write!(f, "the body of a request: {e}"),
            Self::ClientLeft => f.write_str("the client has left"),
        }
    }
}

impl Error for Unanswered {}

/// Serves one request.
pub async fn serve(
    request_classes: Rc<RequestClasses>,
    handle: EngineHandle,
    request: Request<Incoming>,
    client: Rc<Client>,
    mut shutdown: watch::Receiver<ShutdownStage>,
) -> Result<Reply, Unanswered> {
    let mut reply = match request.uri().path() {
        "/up" if *shutdown.borrow() == ShutdownStage::Running => empty_reply(StatusCode::OK),
        "/up" => empty_reply(StatusCode::SERVICE_UNAVAILABLE),
        path if path == "/api" || path.starts_with("/api/") => {
            serve_api(&request_classes, &handle, request, &client, &mut shutdown).await?
        }
        _ => empty_reply(StatusCode::NOT_FOUND),
    };
    // During a shutdown a response closes the connection, unless another request has already
    // arrived.
    if *shutdown.borrow() != ShutdownStage::Running
        && !client.has_partial_request()
        && !client.has_unread_bytes()
    {
        close_after_reply(&mut reply);
    }
    // With the next request at hand, the connection would be served on and on before the runtime
    // looks at the sockets of others.
    if client.has_partial_request() {
        yield_now().await;
    }
    Ok(reply)
}

fn empty_reply(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}

/// The answer to a request that is refused, and the record of the reason.
fn refuse(handle: &EngineHandle, reason: Refusal) -> Reply {
    handle.record_refusal(reason);
    let mut reply = empty_reply(reason.status());
    if !reason.keeps_connection() {
        close_after_reply(&mut reply);
    }
    reply
}

fn close_after_reply(reply: &mut Reply) {
    reply
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
}

async fn serve_api(
    request_classes: &RequestClasses,
    handle: &EngineHandle,
    request: Request<Incoming>,
    client: &Client,
    shutdown: &mut watch::Receiver<ShutdownStage>,
) -> Result<Reply, Unanswered> {
    let arrived = handle.now();
    let (head, body) = request.into_parts();
    let Some(parsed) = RequestHeaders::parse(request_classes, &head.method, &head.headers) else {
        return Ok(refuse(handle, Refusal::Improper));
    };
    let deadline = arrived.saturating_add(parsed.time_left);
    let body_deadline = handle
        .instant(deadline)
        .min(Instant::now() + BODY_TIMEOUT)
        .min(client.request_deadline());
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Ok(refuse(handle, Refusal::TooLong));
    }
    client.set_awaiting_body(true);
    let size = MessageSize::of(&head.headers, &body.size_hint(), MAX_BODY_BYTES);
    let reserved = tokio::select! {
        biased;
        reserved = reserve_request(client, size, body_deadline) => reserved,
        _ = shutdown.wait_for(|s| *s == ShutdownStage::Immediate) => return Ok(refuse(handle, Refusal::ShutDown)),
    };
    let Ok(memory) = reserved else {
        return Ok(refuse(handle, Refusal::NoMemory));
    };
    let collected = tokio::select! {
        biased;
        whole = timeout_at(body_deadline, collect_body(body, MAX_BODY_BYTES, |_| {})) => whole,
        _ = shutdown.wait_for(|s| *s == ShutdownStage::Immediate) => return Ok(refuse(handle, Refusal::ShutDown)),
    };
    client.set_awaiting_body(false);
    let body = match collected {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLong)) => {
            return Ok(refuse(handle, Refusal::TooLong));
        }
        Ok(Err(BodyError::Unreadable(e))) => return Err(Unanswered::Body(e)),
        Err(_) => return Ok(refuse(handle, Refusal::Incomplete)),
    };
    if !body.is_empty() && !parsed.may_have_body {
        return Ok(refuse(handle, Refusal::Improper));
    }
    let memory = memory.map(|memory| memory.shrunk_to(size.head + body.len()));
    let outgoing = Rc::new(OutgoingRequest {
        method: head.method,
        uri: origin_form(&head.uri),
        headers: end_to_end(head.headers),
        body,
        is_answered: Cell::new(false),
        client_may_have_left: Cell::new(false),
        repeat_id: parsed.repeat_id,
        _memory: memory,
    });
    let request = NewRequest {
        id: 0,
        class: parsed.class,
        tenant: parsed.tenant,
        key: parsed.key,
        affinity_endpoints: Vec::new(),
        deadline,
        work: parsed.work,
        is_retry: parsed.is_retry,
    };
    if client.is_closed() {
        return Err(Unanswered::ClientLeft);
    }
    if may_have_left(client) {
        return Ok(refuse(handle, Refusal::ClientMayHaveLeft));
    }
    // There is no time left to answer it, so it must not be forwarded.
    if *shutdown.borrow() == ShutdownStage::Immediate {
        return Ok(refuse(handle, Refusal::ShutDown));
    }
    let mut pending = handle.submit(request, Rc::clone(&outgoing));
    // The module answers in time by itself. These limits are a safeguard; each drops the pending
    // answer, which withdraws the request.
    let answer = tokio::select! {
        biased;
        answer = pending.answer() => Some(answer),
        () = wait_until_left(client, &outgoing) => return Err(Unanswered::ClientLeft),
        () = overdue_at(handle.instant(deadline)) => None,
        _ = shutdown.wait_for(|s| *s == ShutdownStage::Immediate) => None,
    };
    let answer = answer.unwrap_or_else(|| pending.fail());
    Ok(final_reply(client, answer))
}

/// The response to a client whose request has got that answer.
fn final_reply(client: &Client, answer: Answer) -> Reply {
    match answer {
        Answer::Served(ServedAnswer {
            headers,
            body,
            memory,
        }) => {
            client.note_served();
            client.set_answer_memory(memory.as_ref().map_or(0, Reservation::bytes));
            let mut reply = Response::new(Full::new(reserved_body(body, memory)));
            *reply.headers_mut() = end_to_end(headers);
            reply
        }
        Answer::Rejected(retry_after) => {
            let mut reply = empty_reply(StatusCode::SERVICE_UNAVAILABLE);
            if retry_after > 0
                && let Ok(value) =
                    HeaderValue::from_str(&format!("{:.3}", retry_after as f64 / 1e6))
            {
                reply.headers_mut().insert(header::RETRY_AFTER, value);
            }
            reply
        }
        // Neither 429 nor 503, which would promise that a retry is harmless.
        Answer::Failed => empty_reply(StatusCode::BAD_GATEWAY),
    }
}
