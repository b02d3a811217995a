//! Drives a member: reads its socket and runs its timers.
//!
//! While the member is idle the socket wakes it up. While it has updates to send it wakes up ten
//! times per second anyway, and datagrams wait for that: their content would not be sent any
//! sooner, and one wake-up per datagram would dominate the cost (Mogul and Ramakrishnan,
//! "Eliminating Receive Livelock in an Interrupt-driven Kernel", ACM TOCS 15, 1997, p. 217).

use super::GossipHandle;
use crate::Micros;
use crate::core::ACTIVE_TICK;
use crate::frame::MAX_DATAGRAM_BYTES;
use std::future::pending;
use std::io;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::UdpSocket as TokioUdpSocket;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Maximum number of datagrams read before other tasks of the thread run.
const MAX_DATAGRAMS_PER_READ: usize = 64;

impl GossipHandle {
    /// Runs forever.
    pub async fn run(self) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        let mut watched_socket = None;
        loop {
            if self.read(&mut bytes, watched_socket.as_ref()) {
                yield_now().await;
                continue;
            }
            let wait = self.with(|core, now| {
                core.tick(now);
                self.next_wakeup.set(core.next());
                core.next() - now
            });
            if wait <= ACTIVE_TICK {
                watched_socket = None;
            } else if watched_socket.is_none() {
                // If registration fails, the ticks remain. Datagrams that arrived meanwhile make
                // the socket readable at once.
                watched_socket = self
                    .socket
                    .try_clone()
                    .and_then(TokioUdpSocket::from_std)
                    .ok();
            }
            let max_wait = if watched_socket.is_some() {
                Micros::MAX
            } else {
                ACTIVE_TICK
            };
            let timeout_elapsed = sleep(Duration::from_micros(
                u64::try_from(wait.min(max_wait)).unwrap_or(0),
            ));
            let readable = async {
                match &watched_socket {
                    Some(socket) => socket.readable().await,
                    None => pending().await,
                }
            };
            tokio::select! {
                // Errors of the socket are handled when it is read.
                _ = readable => {}
                () = self.wakeup.notified() => {}
                () = timeout_elapsed => {}
            }
        }
    }

    /// Reads pending datagrams. Returns true if there may be more.
    fn read(&self, bytes: &mut [u8], watched_socket: Option<&TokioUdpSocket>) -> bool {
        // The next wake-up is computed right after this in any case.
        self.next_wakeup.set(Micros::MIN);
        for _ in 0..MAX_DATAGRAMS_PER_READ {
            let received = match watched_socket {
                // Read through the registered socket to reset its readiness.
                Some(socket) => socket.try_io(Interest::READABLE, || self.socket.recv_from(bytes)),
                None => self.socket.recv_from(bytes),
            };
            match received {
                Ok((length, from)) => {
                    self.with(|core, now| core.handle_datagram(now, from, &bytes[..length]))
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                // The error of an earlier send; the socket itself remains usable.
                Err(_) => {}
            }
        }
        true
    }
}
