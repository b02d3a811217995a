//! The addresses at which members reach each other: a datagram sent to a member's public address
//! crosses the emulated network and arrives from the sender's public address.

use crate::datagrams::{DatagramFaults, copy_delays};
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

/// Most datagrams in transit; further ones are lost.
const MAX_IN_TRANSIT: usize = 8192;
/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Seeds in each member's configuration.
const SEEDS_PER_MEMBER: usize = 5;

/// The two addresses of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberAddress {
    /// The address that it listens on.
    pub own: SocketAddr,
    /// The address that others send to, and that its datagrams come from.
    pub public: SocketAddr,
}

/// The addresses of all members of a run.
pub struct MemberAddresses {
    /// The addresses by member.
    pub addresses: Vec<MemberAddress>,
    /// Keeps the members' own addresses reserved.
    _reserved: Vec<Reserved>,
    bytes: Arc<AtomicU64>,
}

impl MemberAddresses {
    /// Opens the addresses of the members in these zones, on hosts of the loopback range: one for
    /// the member itself, where only members listen, and the public one. Datagrams are relayed
    /// until the tasks are aborted.
    ///
    /// # Errors
    /// A socket can't be created.
    pub async fn open(
        zones: &[usize],
        host: impl Fn(usize) -> (IpAddr, IpAddr),
        net: &Net,
        faults: &watch::Receiver<DatagramFaults>,
    ) -> io::Result<(Self, Vec<AbortHandle>)> {
        let (mut sockets, mut addresses, mut reserved) = (Vec::new(), Vec::new(), Vec::new());
        for member in 0..zones.len() {
            let (own, front) = host(member);
            let socket = UdpSocket::bind((front, 0)).await?;
            let own = Reserved::on(own)?;
            addresses.push(MemberAddress {
                own: own.address(),
                public: socket.local_addr()?,
            });
            reserved.push(own);
            sockets.push(socket);
        }
        let sockets = Arc::new(sockets);
        let member_by_address: Arc<HashMap<SocketAddr, usize>> = Arc::new(
            addresses
                .iter()
                .enumerate()
                .map(|(member, a)| (a.own, member))
                .collect(),
        );
        let (zones, in_transit) = (
            Arc::new(zones.to_vec()),
            Arc::new(Semaphore::new(MAX_IN_TRANSIT)),
        );
        let (mut tasks, sent) = (Vec::new(), Arc::new(AtomicU64::new(0)));
        for (to, address) in addresses.iter().enumerate() {
            let (sockets, by_own, zones) = (
                Arc::clone(&sockets),
                Arc::clone(&member_by_address),
                Arc::clone(&zones),
            );
            let sent = Arc::clone(&sent);
            let (net, faults, under_way, own) = (
                net.clone(),
                faults.clone(),
                Arc::clone(&in_transit),
                address.own,
            );
            let task = tokio::spawn(async move {
                let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
                loop {
                    let Ok((length, from)) = sockets[to].recv_from(&mut bytes).await else {
                        sleep(RECEIVE_RETRY_DELAY).await;
                        continue;
                    };
                    // Senders that are not members have no public address, and are ignored.
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
                    for delay in copy_delays(&link, faults) {
                        let Ok(permit) = Arc::clone(&under_way).try_acquire_owned() else {
                            break;
                        };
                        let (sockets, datagram) = (Arc::clone(&sockets), bytes[..length].to_vec());
                        tokio::spawn(async move {
                            sleep(delay).await;
                            // Datagrams may be lost.
                            let _ = sockets[from].send_to(&datagram, own).await;
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

    /// Number of bytes in the datagrams sent by members.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// The configuration of a member that runs in the emulator itself.
    pub fn member_section(&self, member: usize) -> FleetSection {
        let MemberAddress { own, public: front } = self.addresses[member];
        let seeds = self
            .addresses
            .iter()
            .map(|a| a.public)
            .filter(|a| *a != front)
            .take(SEEDS_PER_MEMBER)
            .collect();
        FleetSection {
            enabled: true,
            listen: own,
            advertise: Some(front),
            seeds,
            ..FleetSection::default()
        }
    }

    /// The text for `{fleet}` in the product configuration of a member with that clock offset.
    pub fn section_text(&self, member: usize, clock_offset_ms: i64) -> String {
        fleet_section_text(&self.addresses, member, clock_offset_ms)
    }
}

/// The lines of a `[fleet]` section with a member's addresses and seeds.
pub fn fleet_section_text(
    addresses: &[MemberAddress],
    member: usize,
    clock_offset_ms: i64,
) -> String {
    let MemberAddress { own, public: front } = addresses[member];
    // Seeds are spread, so that the fleet does not depend on a few members.
    let seeds = (1..addresses.len().min(SEEDS_PER_MEMBER + 1))
        .map(|n| addresses[(member + n * n) % addresses.len()].public);
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
