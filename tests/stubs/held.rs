//! An address at which connections are established only when the test permits.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A listener whose backlog is full: the system drops further connection attempts, and the client
/// retries.
pub struct FullBacklog {
    pub address: SocketAddr,
    listener: TcpListener,
    filler: TcpStream,
}

impl FullBacklog {
    pub fn start() -> Self {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("a socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket
            .bind(&any.into())
            .and_then(|()| socket.listen(0))
            .expect("a free port");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let filler = TcpStream::connect(address).expect("one fits");
        let full = TcpStream::connect_timeout(&address, Duration::from_millis(300)).is_err();
        assert!(full, "the queue takes more than one");
        Self {
            address,
            listener,
            filler,
        }
    }

    /// Empties the backlog; the next accepted connection may be the one that filled it, which is
    /// closed.
    pub fn release(self) -> TcpListener {
        drop(self.filler);
        self.listener
    }
}
