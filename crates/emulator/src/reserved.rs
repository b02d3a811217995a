//! Reserves addresses for processes that listen on them later.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{IpAddr, SocketAddr};

/// An address at which nobody listens, and whose port the system gives to nobody else while this is
/// held.
///
/// A port that was only noted and let go of may be given to another process before the one that it
/// is meant for has started; and a process that is just being started still holds every socket of
/// the one that starts it. So this is a bound socket that does not listen and allows reuse: whoever
/// allows reuse as well may listen there, again and again. It keeps the same port for datagrams
/// too, where all who listen for them on that host have their port from here.
#[derive(Debug)]
pub struct Reserved {
    address: SocketAddr,
    _socket: Socket,
}

impl Reserved {
    /// Keeps an address of that host.
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
