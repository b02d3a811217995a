//! Answers that come twice, too early, broken off or without an end.

use crate::stubs::*;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// How late a second answer may come, which is "some milliseconds": less than a connection rests.
const SOME_MILLISECONDS: Duration = Duration::from_millis(20);

/// A request of the class that must not run twice, with a number that its answer tells.
fn numbered(number: usize) -> String {
    request("book", &format!("X-Number: {number}\r\n"), "{}")
}

/// Answers a request with its number, and once more in front of the answer to the next request, if
/// that is written on the connection before some milliseconds are over.
fn answer_twice(stream: &mut TcpStream, number: &str) -> Then {
    let written = Instant::now();
    answer(stream, 200, "", number.as_bytes());
    // Until the next request is there, or the connection is closed.
    let _ = stream.peek(&mut [0]);
    if written.elapsed() < SOME_MILLISECONDS {
        answer(stream, 200, "", number.as_bytes());
    }
    Then::KeepOn
}

// Two answers can't be told apart by looking at them: the second one would be served as the answer
// to whatever request the connection is used for next.
#[test]
fn a_second_answer_never_becomes_the_answer_to_the_next_request() {
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

// The same with both in one fragment.
#[test]
fn what_comes_behind_an_answer_is_none_to_the_next_request() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|message| {
        let number = message.header("x-number").expect("its number");
        let once = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{number}",
            number.len()
        );
        Reply::bytes([once.as_str(), once.as_str()].concat(), Then::KeepOn)
    });
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    for number in 0..5 {
        let served = sidecar.ask(&numbered(number)).expect("an answer");
        assert_eq!(
            String::from_utf8_lossy(&served.body),
            number.to_string(),
            "another request's answer"
        );
        // Longer than a connection rests: it is whole otherwise.
        thread::sleep(Duration::from_millis(60));
    }
    assert_eq!(endpoint.requests(), 5);
}

/// Bytes of an answer, what its endpoint does then, and what the client gets: 200 with the body
/// `whole`, or 502.
const FORMS: [(&str, Then, u16); 15] = [
    // A reset is no end, a close is one, where no length was told.
    ("HTTP/1.1 200 OK\r\n\r\nwhole", Then::Close, 200),
    ("HTTP/1.1 200 OK\r\n\r\nwhole", Then::Reset, 502),
    ("HTTP/1.0 200 OK\r\n\r\nwhole", Then::Close, 200),
    ("HTTP/1.0 200 OK\r\n\r\nwhole", Then::Reset, 502),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwhole",
        Then::Close,
        502,
    ),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwhole",
        Then::Reset,
        502,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        Then::KeepOn,
        200,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
        Then::Close,
        502,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n",
        Then::Close,
        502,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nz\r\nwhole\r\n0\r\n\r\n",
        Then::KeepOn,
        502,
    ),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nwhole",
        Then::KeepOn,
        502,
    ),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 5 5\r\n\r\nwhole",
        Then::KeepOn,
        502,
    ),
    (
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole",
        Then::KeepOn,
        200,
    ),
    (
        "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        Then::KeepOn,
        200,
    ),
    ("HTTP/1.1 20", Then::Close, 502),
];

#[test]
fn an_answer_is_whole_or_the_request_has_failed() {
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

/// Writes the same until the sidecar has closed the connection.
fn endless(start: &'static str, more: &'static [u8]) -> Reply {
    Reply::By(Box::new(move |stream| {
        let mut written = stream.write_all(start.as_bytes());
        while written.is_ok() {
            written = stream.write_all(more);
        }
        Then::Close
    }))
}

#[test]
fn an_answer_without_an_end_is_cut_off_and_its_connection_closed() {
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
        // By its length, not by the client's time of 19 s.
        assert!(asked.elapsed() < Duration::from_millis(9500), "{start}");
        assert_eq!(endpoint.requests(), 1, "{start}");
    }
}

/// An endpoint that takes little before it reads, some 35 kB in all: far less than the longest
/// request.
fn narrow() -> TcpListener {
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

/// What is left to read on a connection until the sidecar has closed it.
fn taken(mut stream: TcpStream) -> usize {
    // The rest need not come in small fragments.
    SockRef::from(&stream)
        .set_recv_buffer_size(1 << 20)
        .expect("a size can be set");
    let mut rest = Vec::new();
    // It may also be reset, as there was an answer that came to nothing.
    let _ = stream.read_to_end(&mut rest);
    rest.len()
}

// An endpoint begins a request when its last byte has come. What answers before that can be no
// answer to it, and its last byte must not go out later, in front of the next request.
#[test]
fn an_answer_that_comes_before_the_request_is_written_ends_the_attempt_and_the_connection() {
    for early in [200, 500] {
        let (discovery, listener) = (Discovery::start(), narrow());
        let sidecar = Sidecar::start(&discovery, &[]);
        let address = listener.local_addr().expect("an address");
        discovery.publish(2, list(2, false, &[("s-1", address, "active")]));
        discovery.await_watch(2);
        let stub = thread::spawn(move || {
            let (mut first, _) = listener.accept().expect("a connection");
            first.read_exact(&mut [0; 20]).expect("it begins");
            answer(&mut first, early, "", b"early");
            // Tried again, it is served.
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

// Only the client's time ends an attempt that the endpoint takes no further. What it did not take
// never follows.
#[test]
fn a_request_that_is_not_taken_to_its_end_ends_in_time() {
    let (discovery, listener) = (Discovery::start(), narrow());
    let sidecar = Sidecar::start(&discovery, &[]);
    let address = listener.local_addr().expect("an address");
    discovery.publish(2, list(2, false, &[("s-1", address, "active")]));
    discovery.await_watch(2);
    let whole = request("book", "", &"b".repeat(64 << 10)).replace("19000m", "400m");
    let status = sidecar.ask(&whole).expect("an answer").status();
    assert!(status >= 500, "{status}");
    let (stream, _) = listener.accept().expect("a connection");
    assert!(taken(stream) < 64 << 10, "its last byte went out");
}
