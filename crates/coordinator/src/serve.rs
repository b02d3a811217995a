//! Accepts the coordinator's connections within its limits.

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

/// Pause after a failed accept: with no descriptor to be had, the next one would fail as well.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A request that was read whole.
pub struct Asked {
    /// Its method.
    pub method: String,
    /// Its path.
    pub path: String,
    /// Whose messages it brings, if it says so.
    pub from: Option<String>,
    /// Its content.
    pub content: Bytes,
}

/// An answer.
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its content; none for 204.
    pub content: Option<Value>,
}

impl Answer {
    /// With content.
    pub fn of(status: StatusCode, content: Value) -> Self {
        Self {
            status,
            content: Some(content),
        }
    }

    /// What is wrong, with the key where one is.
    pub fn wrong(status: StatusCode, key: Option<&str>, reason: impl Into<String>) -> Self {
        let reason: String = reason.into();
        Self::of(
            status,
            match key {
                Some(key) => json!({"error": reason, "key": key}),
                None => json!({"error": reason}),
            },
        )
    }
}

/// A connection: how to end it, and whether a coordinator's messages came on it.
struct Open {
    handle: AbortHandle,
    coordinator: Rc<Cell<bool>>,
}

/// Serves until the process ends. Beyond `most` connections the oldest makes room, but none of a
/// coordinator's: readers who say nothing keep nobody out.
pub async fn serve<F, P>(
    listener: TcpListener,
    most: usize,
    within: Duration,
    longest: usize,
    pages: P,
) where
    P: Fn(Asked, Rc<Cell<bool>>) -> F + Clone + 'static,
    F: Future<Output = Answer> + 'static,
{
    let open: Rc<RefCell<VecDeque<Open>>> = Rc::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut all = open.borrow_mut();
        all.retain(|one| !one.handle.is_finished());
        if all.len() >= most {
            let Some(oldest) = all.iter().position(|one| !one.coordinator.get()) else {
                continue;
            };
            if let Some(oldest) = all.remove(oldest) {
                oldest.handle.abort();
            }
        }
        let coordinator = Rc::new(Cell::new(false));
        let (pages, mark) = (pages.clone(), Rc::clone(&coordinator));
        let service = service_fn(move |request| {
            answer(request, within, longest, pages.clone(), Rc::clone(&mark))
        });
        let task = spawn_local(async move {
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(within);
            // What is wrong with a connection concerns its other end alone.
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
        all.push_back(Open {
            handle: task.abort_handle(),
            coordinator,
        });
    }
}

async fn answer<F, P>(
    request: Request<Incoming>,
    within: Duration,
    longest: usize,
    pages: P,
    coordinator: Rc<Cell<bool>>,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    P: Fn(Asked, Rc<Cell<bool>>) -> F,
    F: Future<Output = Answer>,
{
    let (head, body) = request.into_parts();
    let content = match timeout(within, Limited::new(body, longest).collect()).await {
        Ok(Ok(content)) => content.to_bytes(),
        Ok(Err(e)) => {
            let what = format!("the content cannot be read: {e}");
            return Ok(written(Answer::wrong(
                StatusCode::PAYLOAD_TOO_LARGE,
                None,
                what,
            )));
        }
        Err(_) => {
            let what = "the content did not come in time";
            return Ok(written(Answer::wrong(
                StatusCode::REQUEST_TIMEOUT,
                None,
                what,
            )));
        }
    };
    let from = head
        .headers
        .get(crate::peers::FROM)
        .and_then(|name| name.to_str().ok());
    let asked = Asked {
        method: head.method.to_string(),
        path: head.uri.path().to_owned(),
        from: from.map(str::to_owned),
        content,
    };
    Ok(written(pages(asked, coordinator).await))
}

fn written(answer: Answer) -> Response<Full<Bytes>> {
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
