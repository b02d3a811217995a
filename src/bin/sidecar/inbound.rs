//! Accepts client connections, as many as there is room for.

use crate::descriptors::Limits;
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

/// Connections that the system may hold until they are accepted.
const BACKLOG: u32 = 1024;
/// Least time from one line on failed accepts to the next.
const COMPLAINT_SPACING: Duration = Duration::from_secs(60);
/// Pause after a failed accept: with no descriptor to be had, the next one would fail as well.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// How much longer than a client waits at the most its answer may still count.
const OVERDUE: Duration = Duration::from_millis(500);
/// Time in which the runtime sees what the system holds already.
const LAST_LOOK: Duration = Duration::from_millis(2);

/// Binds the address that clients connect to.
pub fn bind(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // A restart must not wait for the connections of the process before it.
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// Places for the connections of clients.
struct Room {
    places: Arc<Semaphore>,
    crowded: watch::Sender<bool>,
}

impl Room {
    /// Waits for one. Clients that say nothing must not hold up a request: where there is none,
    /// idle connections make way. That holds until there is one, as a connection that was just
    /// accepted may not yet listen for it.
    async fn place(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(place) = Arc::clone(&self.places).try_acquire_owned() {
            return Some(place);
        }
        self.crowded.send_replace(true);
        let place = Arc::clone(&self.places).acquire_owned().await.ok();
        self.crowded.send_replace(false);
        place
    }
}

/// Accepts connections until told that no more are to come; `longest` is the longest that a client
/// waits.
pub async fn accept(
    listener: TcpListener,
    limits: Limits,
    lanes: Rc<RequestClasses>,
    handle: EngineHandle,
    longest: Duration,
    stop: watch::Receiver<ShutdownStage>,
) {
    let (crowded, crowding) = watch::channel(false);
    let room = Room {
        places: Arc::new(Semaphore::new(limits.clients)),
        crowded,
    };
    let mut closed = stop.clone();
    let mut closed = pin!(async move {
        closed
            .wait_for(|s| *s >= ShutdownStage::Closed)
            .await
            .map(drop)
    });
    let session = Session {
        lanes,
        handle,
        crowded: crowding,
        slowest: longest + OVERDUE,
        stop,
    };
    let serve = async |stream| {
        // At the very end what waits for a place is told so without one: its descriptor is held
        // already.
        let place = tokio::select! {
            biased;
            place = room.place() => place,
            () = session.stopped(ShutdownStage::Now) => None,
        };
        spawn_local(session.clone().run(stream, place));
    };
    let mut failures = LogThrottle::new(COMPLAINT_SPACING);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = &mut closed => break,
        };
        match accepted {
            Ok((stream, _)) => serve(stream).await,
            Err(e) => {
                if let Some(others) = failures.pass(Instant::now()) {
                    say!(
                        warn,
                        "sidecar::inbound",
                        "cannot accept: {e}{}",
                        suppressed_note(others)
                    );
                }
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // What the system has accepted counts as taken: it is still served.
    while let Ok(Ok((stream, _))) = timeout(LAST_LOOK, listener.accept()).await {
        serve(stream).await;
    }
}
