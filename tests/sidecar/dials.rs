//! Connections to endpoints that come up late, or too late.

use crate::ok;
use crate::stubs::*;
use socket2::{Domain, Socket, Type};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// An endpoint whose connections do not come up while `filler` is open: with its queue full the
/// system drops further openings, and the client's system tries again after a second.
struct Full {
    listener: TcpListener,
    filler: TcpStream,
}

impl Full {
    fn start() -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket
            .bind(&any.into())
            .and_then(|()| socket.listen(0))
            .expect("a free port");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let filler = TcpStream::connect(address).expect("one fits");
        let full = TcpStream::connect_timeout(&address, Duration::from_millis(300)).is_err();
        assert!(full, "the queue takes more than one");
        Self { listener, filler }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// From now on it takes connections and serves.
    fn open(self) -> Endpoint {
        drop(self.filler);
        Endpoint::on(self.listener, |_| ok("served"))
    }
}

#[test]
fn a_connection_that_comes_up_late_but_in_time_is_used() {
    let (discovery, full) = (Discovery::start(), Full::start());
    let sidecar = Sidecar::start(&discovery, &[]);
    discovery.publish(2, list(2, false, &[("s-1", full.address(), "active")]));
    discovery.await_watch(2);
    let mut client = sidecar.connect();
    client
        .write_all(request("book", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    await_that("the endpoint is dialled", || being_dialled(full.address()));
    let endpoint = full.open();
    assert_eq!(read_message(&mut client).expect("an answer").status(), 200);
    assert_eq!(endpoint.requests(), 1);
}

// A dial that was given up is over: what it was made for goes out on no connection that comes up
// after it.
#[test]
fn a_connection_that_comes_up_too_late_is_none() {
    let (discovery, full) = (Discovery::start(), Full::start());
    let short =
        |config: String| config.replace("\"DialTimeoutUs\":5000000", "\"DialTimeoutUs\":100000");
    let sidecar = Sidecar::start_altered(&discovery, &[], 1024, short);
    discovery.publish(2, list(2, false, &[("s-1", full.address(), "active")]));
    discovery.await_watch(2);
    let answer = sidecar.ask(&request("book", "", "{}")).expect("an answer");
    assert_eq!(answer.status(), 503, "known not to have run");
    await_that("the dial is given up", || !being_dialled(full.address()));
    let endpoint = full.open();
    // Others are served by then; this shows that what came before it has been looked at.
    let mut other = TcpStream::connect(endpoint.address).expect("it takes connections");
    other
        .write_all(request("look", "", "").as_bytes())
        .expect("it takes it");
    assert_eq!(read_message(&mut other).expect("an answer").status(), 200);
    assert_eq!(endpoint.requests(), 1);
}
