//! Accepts client connections.

use crate::client_connections::ClientConnections;
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
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
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

/// Accepts connections until the shutdown has reached its stage; `longest_deadline` is the longest
/// time that a client waits.
pub async fn accept(
    listener: TcpListener,
    connections: Rc<ClientConnections>,
    request_classes: Rc<RequestClasses>,
    handle: EngineHandle,
    longest_deadline: Duration,
    shutdown: watch::Receiver<ShutdownStage>,
) {
    let mut shutdown_stage = shutdown.clone();
    let mut not_accepting = pin!(async move {
        shutdown_stage
            .wait_for(|s| *s >= ShutdownStage::NotAccepting)
            .await
            .map(drop)
    });
    spawn_local(Rc::clone(&connections).relieve_shortages());
    let session = Session {
        request_classes,
        handle,
        stall_timeout: longest_deadline + ANSWER_GRACE_PERIOD,
        shutdown,
    };
    let serve = async |stream| {
        // At the last stage a connection beyond the limit is served too: it already has a
        // descriptor, and its client is told of the shutdown.
        tokio::select! {
            biased;
            () = connections.wait_for_room() => {}
            () = session.wait_for_stage(ShutdownStage::Immediate) => {}
        }
        spawn_local(session.clone().run(connections.open(stream)));
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
