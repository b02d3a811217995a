//! Datagrams between the sidecars of the tier, at addresses given by the platform.

use crate::messages::{Input, InputSender};
use std::io;
use std::net::{SocketAddr, UdpSocket as StdSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;

/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Datagrams that may wait to be handled; further ones are dropped, as by the network.
const MAX_QUEUED_DATAGRAMS: usize = 64;
/// Longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;

/// The socket to the other sidecars of the tier.
#[derive(Clone)]
pub struct Peers {
    socket: Rc<UdpSocket>,
    addresses: Rc<[SocketAddr]>,
    broadcast: Option<SocketAddr>,
}

impl Peers {
    /// Binds `address`; `addresses` are the peers' by index, `broadcast` reaches all of them.
    pub fn bind(
        address: SocketAddr,
        addresses: &[SocketAddr],
        broadcast: Option<SocketAddr>,
    ) -> io::Result<Self> {
        let socket = StdSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket: Rc::new(UdpSocket::from_std(socket)?),
            addresses: addresses.into(),
            broadcast,
        })
    }

    /// Sends to one peer or to all. A datagram that can't be sent at once is dropped.
    pub fn send(&self, to: Option<u32>, bytes: &[u8]) {
        let to = match to {
            Some(number) => self.addresses.get(number as usize).copied(),
            None => self.broadcast,
        };
        if let Some(to) = to.filter(|_| bytes.len() <= MAX_DATAGRAM_BYTES) {
            let _ = self.socket.try_send_to(bytes, to);
        }
    }

    /// The next datagram from a known peer, with the peer's index. Others are dropped.
    async fn receive(&self) -> (u32, Vec<u8>) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut bytes).await else {
                // Reports an earlier send that was refused; the socket is still usable.
                tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            };
            let number = self.addresses.iter().position(|a| *a == from);
            if let Some(number) = number.filter(|_| length <= MAX_DATAGRAM_BYTES) {
                return (number as u32, bytes[..length].to_vec());
            }
        }
    }
    /// Forwards received datagrams forever.
    pub async fn forward(self, inputs: InputSender) {
        let permits = Arc::new(Semaphore::new(MAX_QUEUED_DATAGRAMS));
        loop {
            let (from, bytes) = self.receive().await;
            if let Ok(permit) = Arc::clone(&permits).try_acquire_owned() {
                inputs.send(Input::PeerDatagram {
                    from,
                    bytes,
                    permit,
                });
            }
        }
    }
}
