//! Datagrams between processes, subject to the emulated network and its faults.

use crate::experiment::FaultKind;
use crate::relay::Link;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::sleep;

/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The faults of datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DatagramFaults {
    /// Share that is lost.
    pub lost_share: f64,
    /// Share that is duplicated.
    pub duplicated_share: f64,
    /// Share that is delayed, and so reordered.
    pub delayed_share: f64,
}

impl DatagramFaults {
    /// Sets or clears a fault.
    pub fn set(&mut self, kind: FaultKind, share: f64) {
        match kind {
            FaultKind::DatagramsLost => self.lost_share = share,
            FaultKind::DatagramsRepeated => self.duplicated_share = share,
            FaultKind::DatagramsLate => self.delayed_share = share,
            _ => {}
        }
    }
}

/// Largest additional delay of a delayed datagram.
pub const MAX_EXTRA_DELAY: Duration = Duration::from_millis(100);
/// Most datagrams in transit; further ones are lost.
const MAX_IN_TRANSIT: usize = 1024;

/// The delay of each copy of a datagram; none if it is lost.
pub fn copy_delays(link: &Link, faults: DatagramFaults) -> Vec<Duration> {
    if !link.net.is_reachable(link.from, link.to) || fastrand::f64() < faults.lost_share {
        return Vec::new();
    }
    let copies = if fastrand::f64() < faults.duplicated_share {
        2
    } else {
        1
    };
    let delay_of_copy = |_| {
        let delay = Duration::from_micros(link.net.delay(link.from, link.to));
        delay
            + if fastrand::f64() < faults.delayed_share {
                MAX_EXTRA_DELAY.mul_f64(fastrand::f64())
            } else {
                Duration::ZERO
            }
    };
    (0..copies).map(delay_of_copy).collect()
}

/// Relays datagrams from one process to another as the network and `faults` require: what is
/// received by `incoming` is sent by `outgoing` to `target`. The receiver identifies the sender by
/// the address of `outgoing`.
pub async fn relay_datagrams(
    incoming: UdpSocket,
    outgoing: Arc<UdpSocket>,
    target: SocketAddr,
    link: Link,
    faults: watch::Receiver<DatagramFaults>,
) {
    let in_transit = Arc::new(tokio::sync::Semaphore::new(MAX_IN_TRANSIT));
    let mut bytes = vec![0; 65_536];
    loop {
        let Ok((length, _)) = incoming.recv_from(&mut bytes).await else {
            sleep(RECEIVE_RETRY_DELAY).await;
            continue;
        };
        let faults = *faults.borrow();
        for delay in copy_delays(&link, faults) {
            let Ok(permit) = Arc::clone(&in_transit).try_acquire_owned() else {
                break;
            };
            let (out, datagram) = (Arc::clone(&outgoing), bytes[..length].to_vec());
            tokio::spawn(async move {
                sleep(delay).await;
                // Datagrams may be lost.
                let _ = out.send_to(&datagram, target).await;
                drop(permit);
            });
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
