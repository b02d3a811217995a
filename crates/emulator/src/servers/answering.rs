//! A connection to a server, request by request.

use super::{Servers, arrival_of, body_of};
use crate::Us;
use crate::net::Clock;
use crate::record::{Seen, Try};
use crate::site::{self, CLASSES, Repeat};
use crate::world::{Admission, Job};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::sync::oneshot;

/// Longest body, of requests and of answers.
const MAX_BODY_BYTES: usize = 64 << 10;

impl Servers {
    pub(super) async fn connection(
        self: Arc<Self>,
        stream: DuplexStream,
        sidecar: usize,
        server: usize,
    ) {
        let held = self.connections[server].fetch_add(1, Ordering::SeqCst);
        let (began, fresh) = (
            Arc::new(AtomicU64::new(u64::MAX)),
            Arc::new(AtomicUsize::new(1)),
        );
        let stamped = Stamped {
            stream,
            clock: self.clock.clone(),
            began: Arc::clone(&began),
        };
        let full = held >= self.most_connections;
        let this = Arc::clone(&self);
        let service = service_fn(move |request| {
            let at = began.swap(u64::MAX, Ordering::SeqCst);
            let fresh = fresh.swap(0, Ordering::SeqCst) == 1;
            Arc::clone(&this).answer(request, sidecar, server, at, fresh, full)
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_micros(site::IDLE_CLOSE));
        // What is wrong with a connection concerns its sidecar alone.
        let _ = builder
            .serve_connection(TokioIo::new(stamped), service)
            .await;
        self.connections[server].fetch_sub(1, Ordering::SeqCst);
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        sidecar: usize,
        server: usize,
        began: Us,
        fresh: bool,
        full: bool,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        if request.uri().path() == "/alive" || request.uri().path() == "/metrics/load" {
            return Ok(self.probed(server));
        }
        let (head, body) = request.into_parts();
        if Limited::new(body, MAX_BODY_BYTES).collect().await.is_err() {
            return Ok(plain(StatusCode::BAD_REQUEST));
        }
        let text = |name: &str| text(&head.headers, name);
        let request = text("x-correlation-id").and_then(|id| Try::from_str_radix(id, 16).ok());
        let number = self.attempts.fetch_add(1, Ordering::SeqCst);
        let arrival = request.and_then(|request| self.plan.arrivals.get(arrival_of(request)));
        let at = self.clock.now();
        self.record.note(
            at,
            Seen::Attempt {
                number,
                request,
                sidecar,
                server,
                began: began.min(at),
            },
        );
        let (Some(request), Some(arrival)) = (request, arrival) else {
            return Ok(plain(StatusCode::BAD_REQUEST));
        };
        self.reached
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(request);
        let keyed = CLASSES[arrival.class].repeat == Repeat::Keyed;
        let once = text("idempotency-key")
            .filter(|_| keyed)
            .and_then(|key| u64::from_str_radix(key, 16).ok());
        let job = Job {
            id: number,
            class: arrival.class,
            work: arrival.work,
            key: arrival.key,
            idempotency_key: once,
            is_new_connection: fresh,
        };
        let answered = |status: u16, unprocessed| {
            self.record.note(
                self.clock.now(),
                Seen::AttemptAnswered {
                    number,
                    status,
                    unprocessed,
                },
            );
        };
        let (admitted, waits) = if full {
            (Admission::Rejected, None)
        } else {
            self.submit(server, job)
        };
        let served = match admitted {
            Admission::Rejected => {
                answered(503, true);
                let mut refused = plain(StatusCode::SERVICE_UNAVAILABLE);
                refused
                    .headers_mut()
                    .insert("x-unprocessed", HeaderValue::from_static("1"));
                return Ok(refused);
            }
            Admission::Deduplicated => Some(true),
            Admission::Swallowed => None,
            Admission::Accepted => match waits {
                Some(waits) => waits.await.ok(),
                None => None,
            },
        };
        match served {
            Some(true) => {
                answered(200, false);
                let body = body_of(request, &self.plan.servers[server].name);
                Ok(Response::new(Full::new(Bytes::from(body))))
            }
            Some(false) => {
                answered(500, false);
                Ok(plain(StatusCode::INTERNAL_SERVER_ERROR))
            }
            None => {
                self.record
                    .note(self.clock.now(), Seen::AttemptSwallowed { number });
                // Until the connection ends.
                std::future::pending().await
            }
        }
    }

    fn submit(&self, server: usize, job: Job) -> (Admission, Option<oneshot::Receiver<bool>>) {
        self.with_waiting(|world, waiting, now, done| {
            let admitted = world.submit(now, server, job, done);
            if admitted != Admission::Accepted {
                return (admitted, None);
            }
            let (sender, receiver) = oneshot::channel();
            waiting.insert(job.id, sender);
            (admitted, Some(receiver))
        })
    }

    fn probed(&self, server: usize) -> Response<Full<Bytes>> {
        self.record.note(self.clock.now(), Seen::Probe { server });
        let held = self.with(|world, now, done| {
            world.probe(now, server, done);
            world.job_count(server)
        });
        Response::new(Full::new(Bytes::from(format!("inflight={held},eps=0"))))
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// A stream that notes when the first byte of a request came: the first since that note was last
/// taken.
struct Stamped {
    stream: DuplexStream,
    clock: Clock,
    began: Arc<AtomicU64>,
}

impl AsyncRead for Stamped {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if polled.is_ready() && buf.filled().len() > before {
            let now = self.clock.now();
            let _ = self
                .began
                .compare_exchange(u64::MAX, now, Ordering::SeqCst, Ordering::SeqCst);
        }
        polled
    }
}

impl AsyncWrite for Stamped {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
