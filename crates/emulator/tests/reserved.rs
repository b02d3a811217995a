//! An address that is kept for a process is nobody else's until that process listens there.

use load_balancer_emulator::reserved::Reserved;
use socket2::{Domain, Socket, Type};
use std::io::ErrorKind;
use std::net::{Ipv4Addr, TcpListener, TcpStream};

#[test]
fn a_reserved_address_is_refused_to_others_and_taken_by_whom_it_is_meant_for() {
    let reserved = Reserved::on(Ipv4Addr::LOCALHOST.into()).expect("a free port");
    let at = reserved.address();
    let refused = TcpStream::connect(at).expect_err("nobody listens").kind();
    assert_eq!(refused, ErrorKind::ConnectionRefused);
    // Who does not allow reuse asks for a port as the system does that picks a free one.
    let other = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    assert_eq!(
        other.bind(&at.into()).expect_err("it is kept").kind(),
        ErrorKind::AddrInUse
    );
    for _ in 0..2 {
        let listener = TcpListener::bind(at).expect("it is kept for a listener that allows reuse");
        TcpStream::connect(at).expect("it listens");
        drop(listener);
    }
}
