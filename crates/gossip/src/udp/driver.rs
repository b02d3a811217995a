//! Drives a member: its socket and its timers.
//!
//! While the member has nothing to say the socket wakes it. While it has, it wakes up ten times a
//! second anyway, and datagrams wait for that: what they bring leaves no sooner, and one wake-up
//! for each would cost more than all else here (Mogul and Ramakrishnan, "Eliminating Receive
//! Livelock in an Interrupt-driven Kernel", ACM TOCS 15, 1997, p. 217).

use super::Fleet;
use crate::Micros;
use crate::core::TICK;
use crate::frame::MAX_DATAGRAM_BYTES;
use std::future::pending;
use std::io;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::UdpSocket as Watched;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Datagrams that are read at one go, before others of the thread have their turn.
const AT_ONCE: usize = 64;

impl Fleet {
    /// Runs for good.
    pub async fn run(self) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        let mut watched = None;
        loop {
            if self.read(&mut bytes, watched.as_ref()) {
                yield_now().await;
                continue;
            }
            let wait = self.with(|core, now| {
                core.tick(now);
                self.wakes.set(core.next());
                core.next() - now
            });
            if wait <= TICK {
                watched = None;
            } else if watched.is_none() {
                // Where the system refuses, the beats are what is left. What has come meanwhile
                // shows at once.
                watched = self.socket.try_clone().and_then(Watched::from_std).ok();
            }
            let most = if watched.is_some() { Micros::MAX } else { TICK };
            let sleeps = sleep(Duration::from_micros(
                u64::try_from(wait.min(most)).unwrap_or(0),
            ));
            let came = async {
                match &watched {
                    Some(socket) => socket.readable().await,
                    None => pending().await,
                }
            };
            tokio::select! {
                // What is wrong with the socket shows where it is read.
                _ = came => {}
                () = self.wake.notified() => {}
                () = sleeps => {}
            }
        }
    }

    /// Reads what has come; true where there may be more.
    fn read(&self, bytes: &mut [u8], watched: Option<&Watched>) -> bool {
        // The member is looked at right after this in any case.
        self.wakes.set(Micros::MIN);
        for _ in 0..AT_ONCE {
            let came = match watched {
                // Through the one that is watched, so that it waits for what comes next.
                Some(socket) => socket.try_io(Interest::READABLE, || self.socket.recv_from(bytes)),
                None => self.socket.recv_from(bytes),
            };
            match came {
                Ok((length, from)) => {
                    self.with(|core, now| core.datagram(now, from, &bytes[..length]))
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                // An earlier send that was refused shows here; the socket itself stays good.
                Err(_) => {}
            }
        }
        true
    }
}
