//! Connections to endpoints that are established late or too late.

use crate::ok;
use crate::stubs::*;
use socket2::{Domain, Socket, Type};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// An endpoint to which no connection is established while `filler` is open: with a full backlog
/// the system drops further attempts, and the client's system retries after a second.
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

    /// Accepts and serves connections from now on.
    fn open(self) -> Endpoint {
        drop(self.filler);
        Endpoint::on(self.listener, |_| ok("served"))
    }
}

#[test]
fn a_connection_established_late_but_in_time_is_used() {
    let (discovery, full) = (Discovery::start(), Full::start());
    let sidecar = Sidecar::start(&discovery, &[]);
    discovery.publish(2, list(2, false, &[("s-1", full.address(), "active")]));
    discovery.wait_for_watch(2);
    let mut client = sidecar.connect();
    client
        .write_all(request("book", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    wait_until("the endpoint is dialled", || {
        is_being_dialled(full.address())
    });
    let endpoint = full.open();
    assert_eq!(read_message(&mut client).expect("an answer").status(), 200);
    assert_eq!(endpoint.requests(), 1);
}

// A dial that was given up is over: its request is not sent on a connection that is established
// afterwards.
#[test]
fn a_connection_established_too_late_is_not_used() {
    let (discovery, full) = (Discovery::start(), Full::start());
    let short =
        |config: String| config.replace("\"DialTimeoutUs\":5000000", "\"DialTimeoutUs\":100000");
    let sidecar = Sidecar::start_altered(&discovery, &[], 1024, short);
    discovery.publish(2, list(2, false, &[("s-1", full.address(), "active")]));
    discovery.wait_for_watch(2);
    let answer = sidecar.ask(&request("book", "", "{}")).expect("an answer");
    assert_eq!(answer.status(), 503, "known not to have run");
    wait_until("the dial is given up", || !is_being_dialled(full.address()));
    let endpoint = full.open();
    // Another request is served by then, which shows that earlier events were handled.
    let mut other = TcpStream::connect(endpoint.address).expect("it takes connections");
    other
        .write_all(request("look", "", "").as_bytes())
        .expect("it takes it");
    assert_eq!(read_message(&mut other).expect("an answer").status(), 200);
    assert_eq!(endpoint.requests(), 1);
}
