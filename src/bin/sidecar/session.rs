//! One client connection, from accept to close.

use crate::client::{Client, MAX_HEAD_BYTES};
use crate::client_connections::Place;
use crate::client_socket::ClientSocket;
use crate::closing::linger;
use crate::engine_handle::EngineHandle;
use crate::request_headers::RequestClasses;
use crate::serving::serve;
use crate::shutdown::ShutdownStage;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::future::{Future, pending, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// A connection without a complete request head for this long is closed, and sooner during a
/// shutdown. Silent clients must get an error or a close within 3 s; well-behaved clients keep
/// their connections for 2 s.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2300);
const SHUTDOWN_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which the runtime notices what the system has already received.
const FINAL_POLL_TIME: Duration = Duration::from_millis(2);
/// How often that time is granted while more bytes keep arriving. Limited, because a request that
/// is being answered delays those behind it.
const MAX_FINAL_POLLS: usize = 3;

/// The answer to a request of which not even the head could be read for lack of memory.
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// The context shared by all client connections.
#[derive(Clone)]
pub struct Session {
    /// The classes and tenants.
    pub request_classes: Rc<RequestClasses>,
    /// The engine.
    pub handle: EngineHandle,
    /// How long a client may leave an answer unread.
    pub stall_timeout: Duration,
    /// The stage of the shutdown.
    pub shutdown: watch::Receiver<ShutdownStage>,
}

impl Session {
    /// Serves a connection and closes it. The process does not exit before this has completed.
    pub async fn run(self, place: Place) {
        let client = place.client();
        // Without it an answer may wait for an acknowledgement, but failing to set it is no reason
        // to reject the connection.
        let _ = client.stream().set_nodelay(true);
        tokio::select! {
            biased;
            // Before anything more is read: the choice holds for what had been read until then.
            () = place.evicted() => {}
            () = self.serve_requests(&client) => {}
        }
        if client.was_refused_memory() {
            // All earlier answers are written, so the socket takes it.
            let _ = client.stream().try_write(REFUSAL);
        }
        client.begin_closing();
        linger(client.stream(), place.evicted()).await;
    }

    /// Serves requests until the connection is to be closed and every answer is written.
    async fn serve_requests(&self, client: &Rc<Client>) {
        let idle = if *self.shutdown.borrow() == ShutdownStage::Running {
            IDLE_TIMEOUT
        } else {
            SHUTDOWN_IDLE_TIMEOUT
        };
        let (session, served_client) = (self.clone(), Rc::clone(client));
        let service = service_fn(move |request| {
            let guard = served_client.begin_request();
            let (request_classes, handle, shutdown) = (
                Rc::clone(&session.request_classes),
                session.handle.clone(),
                session.shutdown.clone(),
            );
            let reply = serve(
                request_classes,
                handle,
                request,
                Rc::clone(&served_client),
                shutdown,
            );
            async move {
                let _guard = guard;
                reply.await
            }
        });
        let socket = ClientSocket::new(
            Rc::clone(client),
            idle - FINAL_POLL_TIME,
            self.stall_timeout,
        );
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_buf_size(MAX_HEAD_BYTES);
        let mut connection = pin!(builder.serve_connection(TokioIo::new(socket), service));
        tokio::select! {
            biased;
            // Errors of a connection concern only its client, which got a 400 or has disconnected.
            _ = connection.as_mut() => return,
            () = self.wait_for_stage(ShutdownStage::Closing) => {}
        }
        // A request that has arrived unnoticed is still served: closing now would cost its client a
        // retry.
        for _ in 0..MAX_FINAL_POLLS {
            if timeout(FINAL_POLL_TIME, connection.as_mut()).await.is_ok() {
                return;
            }
            if !client.has_unread_bytes() {
                break;
            }
        }
        let ended = tokio::select! {
            biased;
            ended = finish(connection.as_mut(), client) => ended,
            () = self.wait_for_stage(ShutdownStage::Immediate) => false,
        };
        if !ended {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }

    /// Waits until the shutdown has reached a stage.
    pub async fn wait_for_stage(&self, stage: ShutdownStage) {
        if self
            .shutdown
            .clone()
            .wait_for(|stop| *stop >= stage)
            .await
            .is_err()
        {
            pending().await
        }
    }
}

/// Drives a connection until it has ended, which returns `true`, or until nothing more is waited
/// for: during the grace period, a request that has partly arrived or that a new client is about to
/// send; for the idle timeout, requests pipelined behind the one that is being answered.
async fn finish(mut connection: Pin<&mut impl Future>, client: &Client) -> bool {
    let mut grace = pin!(sleep(SHUTDOWN_IDLE_TIMEOUT));
    let mut pipelined = pin!(sleep(IDLE_TIMEOUT));
    let mut grace_over = false;
    poll_fn(|cx| {
        if connection.as_mut().poll(cx).is_ready() {
            return Poll::Ready(true);
        }
        grace_over = grace_over || grace.as_mut().poll(cx).is_ready();
        let expected = if client.is_answering() {
            client.has_partial_request() && pipelined.as_mut().poll(cx).is_pending()
        } else {
            (client.has_partial_request() || client.received_nothing()) && !grace_over
        };
        if expected {
            Poll::Pending
        } else {
            Poll::Ready(false)
        }
    })
    .await
}
