//! One client connection, from accept to close.

use crate::arrival_deadline::{FINAL_POLL_TIME, IDLE_TIMEOUT, Phase, arrival_deadline};
use crate::client::{Client, MAX_HEAD_BYTES};
use crate::client_connections::{Eviction, Place};
use crate::client_socket::ClientSocket;
use crate::closing::linger;
use crate::engine_handle::EngineHandle;
use crate::refusal::Refusal;
use crate::request_headers::RequestClasses;
use crate::serving::serve;
use crate::shutdown::ShutdownStage;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::future::{Future, pending, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, Sleep, sleep_until};

/// How often the runtime is given time to notice what has arrived before a connection is closed.
/// Limited, because a request that is being answered delays those behind it.
const MAX_FINAL_POLLS: usize = 3;

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
        let refusal = tokio::select! {
            biased;
            // Before anything more is read: the choice holds for what had been read until then.
            eviction = place.evicted() => match eviction {
                Eviction::Refused(reason) => Some(reason),
                Eviction::Unanswered => None,
            },
            refusal = self.serve_requests(&client) => refusal,
        };
        if let Some(reason) = refusal {
            self.refuse(&client, reason);
        }
        client.begin_closing();
        linger(client.stream(), place.evicted()).await;
    }

    /// Answers a request that was not read completely.
    fn refuse(&self, client: &Client, reason: Refusal) {
        self.handle.record_refusal(reason);
        // All earlier answers are written, so the socket takes it.
        let _ = client.stream().try_write(reason.response().as_bytes());
    }

    /// Serves requests until the connection is to be closed and every answer is written. Returns
    /// with which answer, if part of a request has been read that gets no other.
    async fn serve_requests(&self, client: &Rc<Client>) -> Option<Refusal> {
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
        let socket = ClientSocket::new(Rc::clone(client), self.stall_timeout);
        let mut builder = http1::Builder::new();
        // The library's own limit of a head would begin at the answer before it.
        builder
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES);
        let mut connection = pin!(builder.serve_connection(TokioIo::new(socket), service));
        let mut end = tokio::select! {
            biased;
            end = drive(connection.as_mut(), client, Phase::Running) => end,
            () = self.wait_for_stage(ShutdownStage::Closing) => End::Stage,
        };
        if end == End::Stage {
            let since = Instant::now();
            end = tokio::select! {
                biased;
                end = drive(connection.as_mut(), client, Phase::Closing { since }) => end,
                () = self.wait_for_stage(ShutdownStage::Immediate) => End::Stage,
            };
        }
        if end != End::Connection && (client.is_answering() || client.is_writing()) {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
            end = End::Connection;
        }
        match end {
            End::Connection if client.was_refused_memory() => Some(Refusal::NoMemory),
            End::Overdue if client.has_partial_request() => Some(Refusal::Incomplete),
            End::Stage if client.has_partial_request() => Some(Refusal::ShutDown),
            _ => None,
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

/// Why a connection is no longer driven.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    /// It has ended. Errors concern only its client, which got a 400 or has disconnected.
    Connection,
    /// Nothing more is waited for on it.
    Overdue,
    /// The shutdown has reached the next stage.
    Stage,
}

/// Drives a connection until it has ended, or until nothing more is waited for.
async fn drive(mut connection: Pin<&mut impl Future>, client: &Client, phase: Phase) -> End {
    let mut overdue = Overdue {
        timer: pin!(sleep_until(Instant::now())),
        not_before: Instant::now(),
        final_polls: 0,
    };
    poll_fn(|cx| {
        if connection.as_mut().poll(cx).is_ready() {
            return Poll::Ready(End::Connection);
        }
        overdue.poll(client, phase, cx).map(|()| End::Overdue)
    })
    .await
}

/// Until when the connection is driven if nothing more arrives.
fn deadline(client: &Client, phase: Phase) -> Option<Instant> {
    match phase {
        _ if !client.is_answering() => arrival_deadline(client.occupancy(), phase),
        Phase::Running => None,
        // For requests pipelined behind the one that is being answered.
        Phase::Closing { since } if client.has_partial_request() => Some(since + IDLE_TIMEOUT),
        Phase::Closing { since } => Some(since + FINAL_POLL_TIME),
    }
}

/// Finds out that nothing more is waited for on a connection.
struct Overdue<'a> {
    timer: Pin<&'a mut Sleep>,
    /// The runtime has time until then to notice what has arrived.
    not_before: Instant,
    /// How often it was given that time since the latest deadline.
    final_polls: usize,
}

impl Overdue<'_> {
    /// After a suspension the runtime's timers fire before it has noticed what arrived meanwhile, so
    /// the socket itself is looked at.
    fn poll(&mut self, client: &Client, phase: Phase, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let Some(deadline) = deadline(client, phase) else {
                return Poll::Pending;
            };
            if deadline > Instant::now() {
                self.final_polls = 0;
            }
            let due = deadline.max(self.not_before);
            if self.timer.deadline() != due {
                self.timer.as_mut().reset(due);
            }
            ready!(self.timer.as_mut().poll(cx));
            if self.final_polls == MAX_FINAL_POLLS || !client.has_unread_bytes() {
                return Poll::Ready(());
            }
            self.final_polls += 1;
            self.not_before = Instant::now() + FINAL_POLL_TIME;
        }
    }
}
