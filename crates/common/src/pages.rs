//! Serves the HTTP pages at the metrics address.

use crate::metering::MetricsSection;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Delay after a failed accept: without a free descriptor the next one would fail as well.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 10;

/// The request for a page.
pub struct PageRequest {
    /// The path.
    pub path: String,
    /// The body of a POST request.
    pub body: Option<Bytes>,
}

/// A page served at the metrics address.
pub struct Page {
    /// The HTTP status.
    pub status: StatusCode,
    /// Its media type.
    pub media_type: &'static str,
    /// The text.
    pub text: String,
}

impl Page {
    /// Metrics in the Prometheus text format.
    pub fn metrics(text: String) -> Self {
        let media_type = "text/plain; version=0.0.4; charset=utf-8";
        Self {
            status: StatusCode::OK,
            media_type,
            text,
        }
    }

    /// A value as JSON; none if it can't be serialized.
    pub fn json(status: StatusCode, value: &impl Serialize) -> Option<Self> {
        let text = serde_json::to_string_pretty(value).ok()?;
        Some(Self {
            status,
            media_type: "application/json",
            text: text + "\n",
        })
    }

    /// A value as JSON for programs, without whitespace.
    pub fn compact(value: &impl Serialize) -> Option<Self> {
        let text = serde_json::to_string(value).ok()?;
        Some(Self {
            status: StatusCode::OK,
            media_type: "application/json",
            text: text + "\n",
        })
    }

    /// Why a posted body is invalid, and the key that is wrong.
    pub fn error(status: StatusCode, key: &str, reason: &str) -> Option<Self> {
        Self::json(status, &BTreeMap::from([("key", key), ("reason", reason)]))
    }
}

/// The limits on readers, which can be changed while pages are served.
#[derive(Clone)]
pub struct Limits(Rc<Cell<(usize, Duration)>>);

impl Limits {
    /// The limits of the section.
    pub fn new(section: &MetricsSection) -> Self {
        let bounds = Self(Rc::default());
        bounds.set(section);
        bounds
    }

    /// Sets other limits. Connected readers stay; new ones wait until there are fewer.
    pub fn set(&self, section: &MetricsSection) {
        self.0.set((section.readers, section.timeout.0));
    }
}

/// Serves pages by their path until the process ends. A reader can occupy only its own connection:
/// it is closed after the answer or the timeout, and at once if there are too many readers. Must
/// run inside a `LocalSet`.
pub async fn serve<F, P>(listener: TcpListener, limits: Limits, pages: P)
where
    P: Fn(PageRequest) -> F + Clone + 'static,
    F: Future<Output = Option<Page>> + 'static,
{
    let connected = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (max_readers, time) = limits.0.get();
        if connected.get() >= max_readers {
            continue;
        }
        connected.set(connected.get() + 1);
        let (connected, pages) = (Rc::clone(&connected), pages.clone());
        spawn_local(async move {
            let service = service_fn(move |request| answer(request, pages.clone()));
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).keep_alive(false);
            // Errors of a connection concern only its reader.
            let _ = timeout(
                time,
                builder.serve_connection(TokioIo::new(stream), service),
            )
            .await;
            connected.set(connected.get() - 1);
        });
    }
}

async fn answer<F, P>(
    request: Request<Incoming>,
    pages: P,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    P: Fn(PageRequest) -> F,
    F: Future<Output = Option<Page>>,
{
    let mut response = Response::new(Full::default());
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    let path = request.uri().path().to_owned();
    let body = match *request.method() {
        Method::GET => Ok(None),
        Method::POST if request.body().size_hint().lower() > MAX_BODY_BYTES as u64 => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Method::POST => match Limited::new(request.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
        {
            Ok(body) => Ok(Some(body.to_bytes())),
            Err(e) if e.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
            Err(_) => Err(StatusCode::BAD_REQUEST),
        },
        _ => Err(StatusCode::METHOD_NOT_ALLOWED),
    };
    match body {
        Err(status) => *response.status_mut() = status,
        Ok(posted) => match pages(PageRequest { path, body: posted }).await {
            Some(page) => {
                *response.status_mut() = page.status;
                response
                    .headers_mut()
                    .insert(CONTENT_TYPE, HeaderValue::from_static(page.media_type));
                *response.body_mut() = Full::new(Bytes::from(page.text));
            }
            None => *response.status_mut() = StatusCode::NOT_FOUND,
        },
    }
    Ok(response)
}

#[cfg(test)]
mod tests;
