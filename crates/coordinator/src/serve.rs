//! Serves the coordinator's HTTP connections within its limits.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// Delay after a failed accept: without free descriptors the next one would fail as well.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A complete request.
pub struct PageRequest {
    /// Its method.
    pub method: String,
    /// Its path.
    pub path: String,
    /// Name of the sending coordinator, if given.
    pub sender: Option<String>,
    /// Its body.
    pub content: Bytes,
}

/// An answer.
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its body; none for 204.
    pub content: Option<Value>,
}

impl Answer {
    /// Creates an answer with content.
    pub fn json(status: StatusCode, content: Value) -> Self {
        Self {
            status,
            content: Some(content),
        }
    }

    /// Creates an answer that describes an error, and the offending key if there is one.
    pub fn error(status: StatusCode, key: Option<&str>, reason: impl Into<String>) -> Self {
        let reason: String = reason.into();
        Self::json(
            status,
            match key {
                Some(key) => json!({"error": reason, "key": key}),
                None => json!({"error": reason}),
            },
        )
    }
}

/// What is known of a connection.
#[derive(Clone, Default)]
struct ConnectionState {
    /// It carried messages of a coordinator.
    from_coordinator: Rc<Cell<bool>>,
    /// A complete request waits for its answer.
    is_answering: Rc<Cell<bool>>,
}

/// An open connection.
struct OpenConnection {
    handle: AbortHandle,
    state: ConnectionState,
}

/// The connection to close for a new one: the oldest without a request to answer, or else the
/// oldest; never one of a coordinator. The connections are in the order in which they were accepted.
fn connection_to_close(connections: &VecDeque<OpenConnection>) -> Option<usize> {
    let oldest = |may_be_answering: bool| {
        connections.iter().position(|connection| {
            let state = &connection.state;
            !state.from_coordinator.get() && (may_be_answering || !state.is_answering.get())
        })
    };
    oldest(false).or_else(|| oldest(true))
}

/// Serves until the process ends. Above `max_connections` one is closed for each new one, so that
/// connections that are idle or stop in the middle of a request cannot block others.
pub async fn serve<F, P>(
    listener: TcpListener,
    max_connections: usize,
    time_limit: Duration,
    max_body_bytes: usize,
    pages: P,
) where
    P: Fn(PageRequest, Rc<Cell<bool>>) -> F + Clone + 'static,
    F: Future<Output = Answer> + 'static,
{
    let open_connections: Rc<RefCell<VecDeque<OpenConnection>>> = Rc::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut connections = open_connections.borrow_mut();
        connections.retain(|connection| !connection.handle.is_finished());
        if connections.len() >= max_connections {
            let Some(index) = connection_to_close(&connections) else {
                continue;
            };
            if let Some(closed) = connections.remove(index) {
                closed.handle.abort();
            }
        }
        let state = ConnectionState::default();
        let (pages, served) = (pages.clone(), state.clone());
        let service = service_fn(move |request| {
            answer(
                request,
                time_limit,
                max_body_bytes,
                pages.clone(),
                served.clone(),
            )
        });
        let task = spawn_local(async move {
            let mut builder = http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(time_limit);
            // Errors concern only the other end of the connection.
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
        connections.push_back(OpenConnection {
            handle: task.abort_handle(),
            state,
        });
    }
}

async fn answer<F, P>(
    request: Request<Incoming>,
    time_limit: Duration,
    max_body_bytes: usize,
    pages: P,
    state: ConnectionState,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    P: Fn(PageRequest, Rc<Cell<bool>>) -> F,
    F: Future<Output = Answer>,
{
    let (head, body) = request.into_parts();
    let content = match timeout(time_limit, Limited::new(body, max_body_bytes).collect()).await {
        Ok(Ok(content)) => content.to_bytes(),
        Ok(Err(e)) => {
            let message = format!("cannot read the request body: {e}");
            return Ok(response(Answer::error(
                StatusCode::PAYLOAD_TOO_LARGE,
                None,
                message,
            )));
        }
        Err(_) => {
            let message = "the request body was not received in time";
            return Ok(response(Answer::error(
                StatusCode::REQUEST_TIMEOUT,
                None,
                message,
            )));
        }
    };
    let from = head
        .headers
        .get(crate::peers::SENDER_HEADER)
        .and_then(|name| name.to_str().ok());
    let page_request = PageRequest {
        method: head.method.to_string(),
        path: head.uri.path().to_owned(),
        sender: from.map(str::to_owned),
        content,
    };
    state.is_answering.set(true);
    let answer = pages(page_request, Rc::clone(&state.from_coordinator)).await;
    state.is_answering.set(false);
    Ok(response(answer))
}

fn response(answer: Answer) -> Response<Full<Bytes>> {
    let text = answer
        .content
        .map(|content| content.to_string() + "\n")
        .unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = answer.status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

#[cfg(test)]
mod tests;
