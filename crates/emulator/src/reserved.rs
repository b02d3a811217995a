//! Reserves addresses for processes that listen on them later.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{IpAddr, SocketAddr};

/// An address at which nothing listens, and whose port the system gives to nobody else while this
/// exists.
///
/// A port that was only looked up and released may be given to another process before its intended
/// user has started, and a process that is being started still has every socket of its parent. So
/// this is a bound socket that does not listen and permits address reuse: any process that sets
/// reuse as well can listen there repeatedly. The port is also reserved for datagrams, if all
/// datagram listeners on that host get their ports here.
#[derive(Debug)]
pub struct Reserved {
    address: SocketAddr,
    _socket: Socket,
}

impl Reserved {
    /// Reserves an address of that host.
    ///
    /// # Errors
    /// There is no socket or no free port.
    pub fn on(host: IpAddr) -> io::Result<Self> {
        let any = SocketAddr::from((host, 0));
        let socket = Socket::new(Domain::for_address(any), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&any.into())?;
        let address = socket
            .local_addr()?
            .as_socket()
            .ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Self {
            address,
            _socket: socket,
        })
    }

    /// The address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
