//! Accepts client connections, up to the limit.

use crate::descriptors::ConnectionLimits;
use crate::engine_handle::EngineHandle;
use crate::log_throttle::{LogThrottle, suppressed_note};
use crate::report::say;
use crate::request_headers::RequestClasses;
use crate::session::Session;
use crate::shutdown::ShutdownStage;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Connections that the system queues until they are accepted.
const BACKLOG: u32 = 1024;
/// Shortest time between log lines about failed accepts.
const ACCEPT_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Delay after a failed accept: without a free descriptor the next one would fail as well.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// How long after the longest deadline an answer may still matter to its client.
const ANSWER_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// Time in which the runtime notices what the system has already received.
const FINAL_POLL_TIME: Duration = Duration::from_millis(2);

/// Binds the address that clients connect to.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // A restart must not wait for the previous process's connections to time out.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The limit on client connections.
struct ConnectionSlots {
    permits: Arc<Semaphore>,
    is_full: watch::Sender<bool>,
}

impl ConnectionSlots {
    /// Waits for a permit. Silent clients must not block a request: while there is no permit, idle
    /// connections are told to close. That stays in effect until there is one, as a connection that
    /// was just accepted may not yet be listening.
    async fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() {
            return Some(permit);
        }
        self.is_full.send_replace(true);
        let permit = Arc::clone(&self.permits).acquire_owned().await.ok();
        self.is_full.send_replace(false);
        permit
    }
}

/// Accepts connections until the shutdown has reached its stage; `longest_deadline` is the longest
/// time that a client waits.
pub async fn accept(
    listener: TcpListener,
    limits: ConnectionLimits,
    request_classes: Rc<RequestClasses>,
    handle: EngineHandle,
    longest_deadline: Duration,
    shutdown: watch::Receiver<ShutdownStage>,
) {
    let (is_full, fullness) = watch::channel(false);
    let slots = ConnectionSlots {
        permits: Arc::new(Semaphore::new(limits.clients)),
        is_full,
    };
    let mut shutdown_stage = shutdown.clone();
    let mut not_accepting = pin!(async move {
        shutdown_stage
            .wait_for(|s| *s >= ShutdownStage::NotAccepting)
            .await
            .map(drop)
    });
    let session = Session {
        request_classes,
        handle,
        is_full: fullness,
        stall_timeout: longest_deadline + ANSWER_GRACE_PERIOD,
        shutdown,
    };
    let serve = async |stream| {
        // At the last stage a connection without a permit is served too: it already has a
        // descriptor, and its client is told of the shutdown.
        let permit = tokio::select! {
            biased;
            place = slots.acquire() => place,
            () = session.wait_for_stage(ShutdownStage::Immediate) => None,
        };
        spawn_local(session.clone().run(stream, permit));
    };
    let mut log_throttle = LogThrottle::new(ACCEPT_LOG_INTERVAL);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = &mut not_accepting => break,
        };
        match accepted {
            Ok((stream, _)) => serve(stream).await,
            Err(e) => {
                if let Some(suppressed) = log_throttle.allow(Instant::now()) {
                    say!(
                        warn,
                        "sidecar::inbound",
                        "cannot accept: {e}{}",
                        suppressed_note(suppressed)
                    );
                }
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Connections that the system has already accepted are still served.
    while let Ok(Ok((stream, _))) = timeout(FINAL_POLL_TIME, listener.accept()).await {
        serve(stream).await;
    }
}
