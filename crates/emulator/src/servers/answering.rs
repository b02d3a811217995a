//! Serves the requests of one connection to a server.

use super::{Servers, arrival_of, response_body};
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

/// Longest body of requests and responses, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

impl Servers {
    pub(super) async fn serve_connection(
        self: Arc<Self>,
        stream: DuplexStream,
        sidecar: usize,
        server: usize,
    ) {
        let open_connections = self.connections[server].fetch_add(1, Ordering::SeqCst);
        let (first_byte_at, new_connections) = (
            Arc::new(AtomicU64::new(u64::MAX)),
            Arc::new(AtomicUsize::new(1)),
        );
        let stream_with_time = TimestampedStream {
            stream,
            clock: self.clock.clone(),
            first_byte_at: Arc::clone(&first_byte_at),
        };
        let is_full = open_connections >= self.max_connections;
        let servers = Arc::clone(&self);
        let service = service_fn(move |request| {
            let started_at = first_byte_at.swap(u64::MAX, Ordering::SeqCst);
            let is_new_connection = new_connections.swap(0, Ordering::SeqCst) == 1;
            Arc::clone(&servers).answer(
                request,
                sidecar,
                server,
                started_at,
                is_new_connection,
                is_full,
            )
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_micros(site::IDLE_CLOSE));
        // Errors of a connection concern only its sidecar.
        let _ = builder
            .serve_connection(TokioIo::new(stream_with_time), service)
            .await;
        self.connections[server].fetch_sub(1, Ordering::SeqCst);
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        sidecar: usize,
        server: usize,
        started_at: Us,
        is_new_connection: bool,
        is_full: bool,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        if request.uri().path() == "/alive" || request.uri().path() == "/metrics/load" {
            return Ok(self.answer_probe(server));
        }
        let (head, body) = request.into_parts();
        if Limited::new(body, MAX_BODY_BYTES).collect().await.is_err() {
            return Ok(empty_response(StatusCode::BAD_REQUEST));
        }
        let header_text = |name: &str| header_text(&head.headers, name);
        let request =
            header_text("x-correlation-id").and_then(|id| Try::from_str_radix(id, 16).ok());
        let number = self.attempts.fetch_add(1, Ordering::SeqCst);
        let arrival = request.and_then(|request| self.plan.arrivals.get(arrival_of(request)));
        let now = self.clock.now();
        self.record.note(
            now,
            Seen::Attempt {
                number,
                request,
                sidecar,
                server,
                began: started_at.min(now),
            },
        );
        let (Some(request), Some(arrival)) = (request, arrival) else {
            return Ok(empty_response(StatusCode::BAD_REQUEST));
        };
        self.forwarded
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(request);
        let is_keyed = CLASSES[arrival.class].repeat == Repeat::Keyed;
        let idempotency_key = header_text("idempotency-key")
            .filter(|_| is_keyed)
            .and_then(|key| u64::from_str_radix(key, 16).ok());
        let job = Job {
            id: number,
            class: arrival.class,
            work: arrival.work,
            key: arrival.key,
            idempotency_key,
            is_new_connection,
        };
        let record_answer = |status: u16, unprocessed| {
            self.record.note(
                self.clock.now(),
                Seen::AttemptAnswered {
                    number,
                    status,
                    unprocessed,
                },
            );
        };
        let (admitted, result) = if is_full {
            (Admission::Rejected, None)
        } else {
            self.submit(server, job)
        };
        let served = match admitted {
            Admission::Rejected => {
                record_answer(503, true);
                let mut rejection = empty_response(StatusCode::SERVICE_UNAVAILABLE);
                rejection
                    .headers_mut()
                    .insert("x-unprocessed", HeaderValue::from_static("1"));
                return Ok(rejection);
            }
            Admission::Deduplicated => Some(true),
            Admission::Swallowed => None,
            Admission::Accepted => match result {
                Some(result) => result.await.ok(),
                None => None,
            },
        };
        match served {
            Some(true) => {
                record_answer(200, false);
                let body = response_body(request, &self.plan.servers[server].name);
                Ok(Response::new(Full::new(Bytes::from(body))))
            }
            Some(false) => {
                record_answer(500, false);
                Ok(empty_response(StatusCode::INTERNAL_SERVER_ERROR))
            }
            None => {
                self.record
                    .note(self.clock.now(), Seen::AttemptSwallowed { number });
                // Never answers, until the connection ends.
                std::future::pending().await
            }
        }
    }

    fn submit(&self, server: usize, job: Job) -> (Admission, Option<oneshot::Receiver<bool>>) {
        self.with_pending(|world, pending, now, done| {
            let admitted = world.submit(now, server, job, done);
            if admitted != Admission::Accepted {
                return (admitted, None);
            }
            let (sender, receiver) = oneshot::channel();
            pending.insert(job.id, sender);
            (admitted, Some(receiver))
        })
    }

    fn answer_probe(&self, server: usize) -> Response<Full<Bytes>> {
        self.record.note(self.clock.now(), Seen::Probe { server });
        let job_count = self.with(|world, now, done| {
            world.probe(now, server, done);
            world.job_count(server)
        });
        Response::new(Full::new(Bytes::from(format!(
            "inflight={job_count},eps=0"
        ))))
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// A stream that records when the first byte of a request arrived since the record was last taken.
struct TimestampedStream {
    stream: DuplexStream,
    clock: Clock,
    first_byte_at: Arc<AtomicU64>,
}

impl AsyncRead for TimestampedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if polled.is_ready() && buf.filled().len() > filled_before {
            let now = self.clock.now();
            let _ = self.first_byte_at.compare_exchange(
                u64::MAX,
                now,
                Ordering::SeqCst,
                Ordering::SeqCst,
            );
        }
        polled
    }
}

impl AsyncWrite for TimestampedStream {
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
