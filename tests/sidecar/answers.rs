//! Responses that are duplicated, premature, interrupted or endless.

use crate::stubs::*;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Delay of the duplicate response: shorter than the reuse delay of a connection.
const DUPLICATE_DELAY: Duration = Duration::from_millis(20);

/// A non-idempotent request with a number that its response repeats.
fn numbered(number: usize) -> String {
    request("book", &format!("X-Number: {number}\r\n"), "{}")
}

/// Responds to a request with its number, and again before the response to the next request if that
/// arrives within some milliseconds.
fn answer_twice(stream: &mut TcpStream, number: &str) -> Afterwards {
    let written = Instant::now();
    answer(stream, 200, "", number.as_bytes());
    // Until the next request has arrived or the connection is closed.
    let _ = stream.peek(&mut [0]);
    if written.elapsed() < DUPLICATE_DELAY {
        answer(stream, 200, "", number.as_bytes());
    }
    Afterwards::KeepOn
}

// Duplicate responses can't be recognized as such: the second one would be taken for the response
// to the next request on the connection.
#[test]
fn a_duplicate_response_is_never_taken_for_the_response_to_the_next_request() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|message| {
        let number = message.header("x-number").expect("its number").to_owned();
        Reply::By(Box::new(move |stream| answer_twice(stream, &number)))
    });
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut client = sidecar.connect();
    for number in 0..20 {
        client
            .write_all(numbered(number).as_bytes())
            .expect("the sidecar takes it");
        let served = read_message(&mut client).expect("an answer");
        assert_eq!(served.status(), 200);
        assert_eq!(
            String::from_utf8_lossy(&served.body),
            number.to_string(),
            "another request's answer"
        );
    }
    assert_eq!(endpoint.requests(), 20);
}

// As above, with both in one segment.
#[test]
fn bytes_behind_a_response_are_not_the_response_to_the_next_request() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|message| {
        let number = message.header("x-number").expect("its number");
        let once = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{number}",
            number.len()
        );
        Reply::bytes([once.as_str(), once.as_str()].concat(), Afterwards::KeepOn)
    });
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    for number in 0..5 {
        let served = sidecar.ask(&numbered(number)).expect("an answer");
        assert_eq!(
            String::from_utf8_lossy(&served.body),
            number.to_string(),
            "another request's answer"
        );
        // Longer than the reuse delay, so that the connection would be reused.
        thread::sleep(Duration::from_millis(60));
    }
    assert_eq!(endpoint.requests(), 5);
}

/// Bytes of a response, what the endpoint does then, and the client's result: 200 with the body
/// `whole`, or 502.
const FORMS: [(&str, Afterwards, u16); 15] = [
    // Without a length, a close ends the response and a reset does not.
    ("HTTP/1.1 200 OK\r\n\r\nwhole", Afterwards::Close, 200),
    ("HTTP/1.1 200 OK\r\n\r\nwhole", Afterwards::Reset, 502),
    ("HTTP/1.0 200 OK\r\n\r\nwhole", Afterwards::Close, 200),
    ("HTTP/1.0 200 OK\r\n\r\nwhole", Afterwards::Reset, 502),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwhole",
        Afterwards::Close,
        502,
    ),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwhole",
        Afterwards::Reset,
        502,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        Afterwards::KeepOn,
        200,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
        Afterwards::Close,
        502,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n",
        Afterwards::Close,
        502,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nz\r\nwhole\r\n0\r\n\r\n",
        Afterwards::KeepOn,
        502,
    ),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nwhole",
        Afterwards::KeepOn,
        502,
    ),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 5 5\r\n\r\nwhole",
        Afterwards::KeepOn,
        502,
    ),
    (
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole",
        Afterwards::KeepOn,
        200,
    ),
    (
        "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        Afterwards::KeepOn,
        200,
    ),
    ("HTTP/1.1 20", Afterwards::Close, 502),
];

#[test]
fn a_response_is_complete_or_the_request_fails() {
    for (bytes, then, status) in FORMS {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(move |_| Reply::bytes(bytes, then));
        let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        let served = sidecar.ask(&request("book", "", "{}")).expect("an answer");
        assert_eq!(served.status(), status, "{bytes}");
        assert!(status != 200 || served.body == b"whole", "{bytes}");
        assert_eq!(endpoint.requests(), 1, "{bytes}");
    }
}

/// Writes the same bytes until the sidecar has closed the connection.
fn endless(start: &'static str, more: &'static [u8]) -> Reply {
    Reply::By(Box::new(move |stream| {
        let mut written = stream.write_all(start.as_bytes());
        while written.is_ok() {
            written = stream.write_all(more);
        }
        Afterwards::Close
    }))
}

#[test]
fn an_endless_response_is_cut_off_and_its_connection_closed() {
    for (start, more) in [
        ("HTTP/1.1 200 OK\r\n\r\n", b"more".as_slice()),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"4\r\nmore\r\n",
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4",
            b";more",
        ),
        ("HTTP/1.1 200 OK\r\n", b"X-More: more\r\n"),
        ("HTTP/1.1 200 OK\r\nX-More: ", b"more"),
        ("HTTP/1.1 200 ", b"more"),
        ("", b"\r\n"),
    ] {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(move |_| endless(start, more));
        let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        let asked = Instant::now();
        assert_eq!(
            sidecar
                .ask(&request("book", "", "{}"))
                .expect("an answer")
                .status(),
            502,
            "{start}"
        );
        // Limited by its length, not by the client's timeout of 19 s.
        assert!(asked.elapsed() < Duration::from_millis(9500), "{start}");
        assert_eq!(endpoint.requests(), 1, "{start}");
    }
}

/// A listener with small buffers: about 35 kB in all, far less than the longest request.
fn listen_with_small_buffers() -> TcpListener {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket
        .set_recv_buffer_size(1)
        .and_then(|()| socket.set_tcp_mss(1000))
        .expect("small sizes");
    socket
        .bind(&any.into())
        .and_then(|()| socket.listen(8))
        .expect("a free port");
    socket.into()
}

/// The rest of a connection's bytes until the sidecar has closed it.
fn taken(mut stream: TcpStream) -> usize {
    // The rest need not arrive in small segments.
    SockRef::from(&stream)
        .set_recv_buffer_size(1 << 20)
        .expect("a size can be set");
    let mut rest = Vec::new();
    // It may also be reset, as a response was ignored.
    let _ = stream.read_to_end(&mut rest);
    rest.len()
}

// An endpoint starts a request after its last byte. A response before that can't be the response to
// it, and the rest of the request must not be sent later, in front of the next one.
#[test]
fn a_response_before_the_end_of_the_request_ends_the_attempt_and_the_connection() {
    for early in [200, 500] {
        let (discovery, listener) = (Discovery::start(), listen_with_small_buffers());
        let sidecar = Sidecar::start(&discovery, &[]);
        let address = listener.local_addr().expect("an address");
        discovery.publish(2, list(2, false, &[("s-1", address, "active")]));
        discovery.wait_for_watch(2);
        let stub = thread::spawn(move || {
            let (mut first, _) = listener.accept().expect("a connection");
            first.read_exact(&mut [0; 20]).expect("it begins");
            answer(&mut first, early, "", b"early");
            // A retry is served.
            let (mut second, _) = listener.accept().expect("a connection");
            SockRef::from(&second)
                .set_recv_buffer_size(1 << 20)
                .expect("a size can be set");
            read_message(&mut second).expect("the whole request");
            answer(&mut second, 200, "", b"served");
            first
        });
        let whole = request("book", "", &"b".repeat(64 << 10));
        let served = sidecar.ask(&whole).expect("an answer");
        assert_eq!(
            (served.status(), served.body),
            (200, b"served".to_vec()),
            "known not to have run"
        );
        let stream = stub.join().expect("no stub panics");
        assert!(taken(stream) < 64 << 10, "its last byte went out");
    }
}

// An attempt whose endpoint stops reading is ended only by the client's timeout; the rest of the
// request is never sent.
#[test]
fn a_request_that_the_endpoint_stops_reading_ends_in_time() {
    let (discovery, listener) = (Discovery::start(), listen_with_small_buffers());
    let sidecar = Sidecar::start(&discovery, &[]);
    let address = listener.local_addr().expect("an address");
    discovery.publish(2, list(2, false, &[("s-1", address, "active")]));
    discovery.wait_for_watch(2);
    let whole = request("book", "", &"b".repeat(64 << 10)).replace("19000m", "400m");
    let status = sidecar.ask(&whole).expect("an answer").status();
    assert!(status >= 500, "{status}");
    let (stream, _) = listener.accept().expect("a connection");
    assert!(taken(stream) < 64 << 10, "its last byte went out");
}
