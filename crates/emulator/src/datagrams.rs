//! Datagrams between processes, subject to the emulated network and its faults.

use crate::experiment::FaultKind;
use crate::relay::Link;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::sleep;

/// Pause after a failed receive.
const PAUSE: Duration = Duration::from_millis(20);

/// What happens to datagrams besides delay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Datagrams {
    /// Part that is lost.
    pub lost: f64,
    /// Part that comes twice.
    pub repeated: f64,
    /// Part that is held up for long, so that later ones come before.
    pub held_up: f64,
}

impl Datagrams {
    /// Takes in a fault, or its end.
    pub fn set(&mut self, kind: FaultKind, share: f64) {
        match kind {
            FaultKind::DatagramsLost => self.lost = share,
            FaultKind::DatagramsRepeated => self.repeated = share,
            FaultKind::DatagramsLate => self.held_up = share,
            _ => {}
        }
    }
}

/// How much later a datagram comes that is held up, at most.
pub const HELD_UP: Duration = Duration::from_millis(100);
/// Datagrams under way at most; further ones are lost.
const DATAGRAMS: usize = 1024;

/// How late each copy of a datagram comes; none where it is lost.
pub fn datagram(link: &Link, faults: Datagrams) -> Vec<Duration> {
    if !link.net.passes(link.from, link.to) || fastrand::f64() < faults.lost {
        return Vec::new();
    }
    let copies = if fastrand::f64() < faults.repeated {
        2
    } else {
        1
    };
    let late = |_| {
        let delay = Duration::from_micros(link.net.delay(link.from, link.to));
        delay
            + if fastrand::f64() < faults.held_up {
                HELD_UP.mul_f64(fastrand::f64())
            } else {
                Duration::ZERO
            }
    };
    (0..copies).map(late).collect()
}

/// Passes datagrams from one process on to another as the network and `faults` have it: what
/// arrives at `at` leaves from `out` to `to`. The receiver knows the sender by the address of
/// `out`.
pub async fn datagrams(
    at: UdpSocket,
    out: Arc<UdpSocket>,
    to: SocketAddr,
    link: Link,
    faults: watch::Receiver<Datagrams>,
) {
    let under_way = Arc::new(tokio::sync::Semaphore::new(DATAGRAMS));
    let mut bytes = vec![0; 65_536];
    loop {
        let Ok((length, _)) = at.recv_from(&mut bytes).await else {
            sleep(PAUSE).await;
            continue;
        };
        let faults = *faults.borrow();
        for delay in datagram(&link, faults) {
            let Ok(permit) = Arc::clone(&under_way).try_acquire_owned() else {
                break;
            };
            let (out, piece) = (Arc::clone(&out), bytes[..length].to_vec());
            tokio::spawn(async move {
                sleep(delay).await;
                // Datagrams may be lost.
                let _ = out.send_to(&piece, to).await;
                drop(permit);
            });
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
