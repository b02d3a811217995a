//! Serves the pages at the metrics' address, and takes what may be posted there.

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

/// Pause after a failed accept: with no descriptor to be had, the next one would fail as well.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Longest body that a reader may post.
const MAX_BODY_BYTES: usize = 4 << 10;

/// What a reader asks for.
pub struct Ask {
    /// The path.
    pub path: String,
    /// What it posts, if it does.
    pub posted: Option<Bytes>,
}

/// A page that is read at the address of the metrics.
pub struct Page {
    /// The status that it goes with.
    pub status: StatusCode,
    /// Its media type.
    pub media: &'static str,
    /// Its text.
    pub text: String,
}

impl Page {
    /// Metrics in Prometheus text form.
    pub fn metrics(text: String) -> Self {
        let media = "text/plain; version=0.0.4; charset=utf-8";
        Self {
            status: StatusCode::OK,
            media,
            text,
        }
    }

    /// Something as JSON; none where it cannot be written so.
    pub fn json(status: StatusCode, what: &impl Serialize) -> Option<Self> {
        let text = serde_json::to_string_pretty(what).ok()?;
        Some(Self {
            status,
            media: "application/json",
            text: text + "\n",
        })
    }

    /// The same for programs, without spaces.
    pub fn compact(what: &impl Serialize) -> Option<Self> {
        let text = serde_json::to_string(what).ok()?;
        Some(Self {
            status: StatusCode::OK,
            media: "application/json",
            text: text + "\n",
        })
    }

    /// Why a posted body cannot be used, and the key that is wrong.
    pub fn refused(status: StatusCode, key: &str, reason: &str) -> Option<Self> {
        Self::json(status, &BTreeMap::from([("key", key), ("reason", reason)]))
    }
}

/// What may change while pages are handed out.
#[derive(Clone)]
pub struct Bounds(Rc<Cell<(usize, Duration)>>);

impl Bounds {
    /// As the section has them.
    pub fn of(section: &MetricsSection) -> Self {
        let bounds = Self(Rc::default());
        bounds.set(section);
        bounds
    }

    /// Takes in others. Who is connected stays; new readers wait for fewer.
    pub fn set(&self, section: &MetricsSection) {
        self.0.set((section.readers, section.timeout.0));
    }
}

/// Hands out pages by their path until the process ends. A reader costs its connection at most: it
/// is closed once it is answered, or its time is up, and one beyond the bound at once. Runs inside
/// a `LocalSet`.
pub async fn serve<F, P>(listener: TcpListener, bounds: Bounds, pages: P)
where
    P: Fn(Ask) -> F + Clone + 'static,
    F: Future<Output = Option<Page>> + 'static,
{
    let connected = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (most, time) = bounds.0.get();
        if connected.get() >= most {
            continue;
        }
        connected.set(connected.get() + 1);
        let (connected, pages) = (Rc::clone(&connected), pages.clone());
        spawn_local(async move {
            let service = service_fn(move |request| answer(request, pages.clone()));
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).keep_alive(false);
            // What is wrong with a reader is its own concern.
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
    P: Fn(Ask) -> F,
    F: Future<Output = Option<Page>>,
{
    let mut response = Response::new(Full::default());
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    let path = request.uri().path().to_owned();
    let posted = match *request.method() {
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
    match posted {
        Err(status) => *response.status_mut() = status,
        Ok(posted) => match pages(Ask { path, posted }).await {
            Some(page) => {
                *response.status_mut() = page.status;
                response
                    .headers_mut()
                    .insert(CONTENT_TYPE, HeaderValue::from_static(page.media));
                *response.body_mut() = Full::new(Bytes::from(page.text));
            }
            None => *response.status_mut() = StatusCode::NOT_FOUND,
        },
    }
    Ok(response)
}

#[cfg(test)]
mod tests;
