//! The addresses at which members reach each other: a datagram sent to one's front crosses the
//! network and arrives from the sender's own front.

use crate::datagrams::{Datagrams, datagram};
use crate::net::Net;
use crate::relay::Link;
use crate::reserved::Reserved;
use load_balancer_gossip::section::FleetSection;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::net::UdpSocket;
use tokio::sync::{Semaphore, watch};
use tokio::task::AbortHandle;
use tokio::time::{Duration, sleep};

/// Datagrams under way at most; further ones are lost.
const UNDER_WAY: usize = 8192;
/// Pause after a failed receive.
const PAUSE: Duration = Duration::from_millis(5);
/// Longest datagram that passes.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Members that each one is told of at its start.
const SEEDS: usize = 5;

/// A member's two addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Address {
    /// Where it listens itself.
    pub own: SocketAddr,
    /// Where others send, and where its datagrams come from.
    pub front: SocketAddr,
}

/// All fronts of a run.
pub struct MemberAddresses {
    /// Each member's.
    pub addresses: Vec<Address>,
    /// Where the members listen themselves.
    _reserved: Vec<Reserved>,
    bytes: Arc<AtomicU64>,
}

impl MemberAddresses {
    /// Opens one for each of these zones' members, on hosts of the loopback range: for the member
    /// itself, where nothing but members listens, and for its front. They pass datagrams on until
    /// the tasks are ended.
    ///
    /// # Errors
    /// A socket cannot be had.
    pub async fn open(
        zones: &[usize],
        host: impl Fn(usize) -> (IpAddr, IpAddr),
        net: &Net,
        faults: &watch::Receiver<Datagrams>,
    ) -> io::Result<(Self, Vec<AbortHandle>)> {
        let (mut sockets, mut addresses, mut reserved) = (Vec::new(), Vec::new(), Vec::new());
        for member in 0..zones.len() {
            let (own, front) = host(member);
            let socket = UdpSocket::bind((front, 0)).await?;
            let own = Reserved::on(own)?;
            addresses.push(Address {
                own: own.address(),
                front: socket.local_addr()?,
            });
            reserved.push(own);
            sockets.push(socket);
        }
        let sockets = Arc::new(sockets);
        let by_own: Arc<HashMap<SocketAddr, usize>> = Arc::new(
            addresses
                .iter()
                .enumerate()
                .map(|(member, a)| (a.own, member))
                .collect(),
        );
        let (zones, under_way) = (
            Arc::new(zones.to_vec()),
            Arc::new(Semaphore::new(UNDER_WAY)),
        );
        let (mut tasks, sent) = (Vec::new(), Arc::new(AtomicU64::new(0)));
        for (to, address) in addresses.iter().enumerate() {
            let (sockets, by_own, zones) = (
                Arc::clone(&sockets),
                Arc::clone(&by_own),
                Arc::clone(&zones),
            );
            let sent = Arc::clone(&sent);
            let (net, faults, under_way, own) = (
                net.clone(),
                faults.clone(),
                Arc::clone(&under_way),
                address.own,
            );
            let task = tokio::spawn(async move {
                let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
                loop {
                    let Ok((length, from)) = sockets[to].recv_from(&mut bytes).await else {
                        sleep(PAUSE).await;
                        continue;
                    };
                    // Whoever is no member has no front, and so no way in.
                    let Some(from) = by_own.get(&from).copied() else {
                        continue;
                    };
                    sent.fetch_add(length as u64, Ordering::Relaxed);
                    let link = Link {
                        net: net.clone(),
                        from: zones[from],
                        to: zones[to],
                    };
                    let faults = *faults.borrow();
                    for delay in datagram(&link, faults) {
                        let Ok(permit) = Arc::clone(&under_way).try_acquire_owned() else {
                            break;
                        };
                        let (sockets, piece) = (Arc::clone(&sockets), bytes[..length].to_vec());
                        tokio::spawn(async move {
                            sleep(delay).await;
                            // Datagrams may be lost.
                            let _ = sockets[from].send_to(&piece, own).await;
                            drop(permit);
                        });
                    }
                }
            });
            tasks.push(task.abort_handle());
        }
        Ok((
            Self {
                addresses,
                _reserved: reserved,
                bytes: sent,
            },
            tasks,
        ))
    }

    /// Bytes of the datagrams that members have sent.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// The section of a member that the emulator itself runs.
    pub fn member(&self, member: usize) -> FleetSection {
        let Address { own, front } = self.addresses[member];
        let seeds = self
            .addresses
            .iter()
            .map(|a| a.front)
            .filter(|a| *a != front)
            .take(SEEDS)
            .collect();
        FleetSection {
            enabled: true,
            listen: own,
            advertise: Some(front),
            seeds,
            ..FleetSection::default()
        }
    }

    /// What stands for `{fleet}` in the product configuration of a member whose clock is so many
    /// milliseconds off.
    pub fn section(&self, member: usize, clock_offset_ms: i64) -> String {
        section(&self.addresses, member, clock_offset_ms)
    }
}

/// The lines of a `[fleet]` section that say where a member is and whom it asks for the others.
pub fn section(addresses: &[Address], member: usize, clock_offset_ms: i64) -> String {
    let Address { own, front } = addresses[member];
    // Those after it, so that no few of them have to be there for all.
    let seeds = (1..addresses.len().min(SEEDS + 1))
        .map(|n| addresses[(member + n * n) % addresses.len()].front);
    let seeds: Vec<String> = seeds
        .filter(|seed| *seed != front)
        .map(|seed| format!("\"{seed}\""))
        .collect();
    let clock = if clock_offset_ms == 0 {
        String::new()
    } else {
        format!("clock_offset = {clock_offset_ms}\n")
    };
    format!(
        "listen = \"{own}\"\nadvertise = \"{front}\"\nseeds = [{}]\n{clock}",
        seeds.join(", ")
    )
}

#[cfg(test)]
mod tests;
