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
const LONGEST_BODY: usize = 4 << 10;

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

/// Hands out pages by their path until the process ends. A reader costs its connection at most: it is closed once
/// it is answered, or its time is up, and one beyond the bound at once. Runs inside a `LocalSet`.
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
        Method::POST if request.body().size_hint().lower() > LONGEST_BODY as u64 => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Method::POST => match Limited::new(request.into_body(), LONGEST_BODY)
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
mod tests {
    use super::*;
    use crate::units::Time;
    use std::net::SocketAddr;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpStream;
    use tokio::task::LocalSet;

    async fn read(at: SocketAddr, request: &str) -> String {
        let mut stream = TcpStream::connect(at).await.expect("it accepts");
        stream
            .write_all(request.as_bytes())
            .await
            .expect("it reads");
        let mut text = String::new();
        // A connection that is closed unread may end as a reset.
        let _ = stream.read_to_string(&mut text).await;
        text
    }

    #[tokio::test]
    async fn readers_that_say_nothing_hold_their_own_connection_and_no_other() {
        let local = LocalSet::new();
        local
            .run_until(async {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
                let at = listener.local_addr().expect("an address");
                let section = MetricsSection {
                    readers: 2,
                    timeout: Time::ms(300),
                    ..MetricsSection::default()
                };
                let bounds = Bounds::of(&section);
                let page = |ask: Ask| async move {
                    (ask.path == "/metrics").then(|| {
                        Page::metrics(format!("a {}\n", ask.posted.map_or(1, |b| b.len())))
                    })
                };
                spawn_local(serve(listener, bounds.clone(), page));
                let get = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";
                let mut stuck = TcpStream::connect(at).await.expect("it accepts");
                assert!(read(at, get).await.ends_with("a 1\n"));
                assert!(
                    read(at, "GET /else HTTP/1.1\r\nHost: a\r\n\r\n")
                        .await
                        .starts_with("HTTP/1.1 404 ")
                );
                assert!(
                    read(at, "PUT /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
                        .await
                        .starts_with("HTTP/1.1 405 ")
                );
                let post = "POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 7\r\n\r\n1234567";
                assert!(read(at, post).await.ends_with("a 7\n"));
                let long = "POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n";
                assert!(read(at, long).await.starts_with("HTTP/1.1 413 "));
                // Fewer than are connected: nobody new is let in until the stuck one's time is up.
                bounds.set(&MetricsSection {
                    readers: 1,
                    ..section
                });
                assert_eq!(read(at, get).await, "");
                assert_eq!(stuck.read(&mut [0; 1]).await.expect("an end"), 0);
                assert!(read(at, get).await.ends_with("a 1\n"));
            })
            .await;
    }
}
