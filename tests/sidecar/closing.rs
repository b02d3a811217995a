//! How a client's connection is closed: nothing that comes late takes an answer along, and nobody
//! holds it open.

use crate::ok;
use crate::stubs::*;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::channel;

/// More than the sidecar reads ahead of a request, 32 KiB, and less than the system holds unread.
const UNREAD: usize = 48_000;

/// A client whose system holds only a few KiB that it has not read.
fn narrow_client(sidecar: &Sidecar) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("it can be small");
    socket
        .connect(&sidecar.address.into())
        .expect("the sidecar accepts");
    socket.into()
}

/// Whether the other side closes the connection without a reset: one that comes after the end shows
/// on closing only.
fn closes_cleanly(stream: &mut TcpStream) -> bool {
    stream
        .set_read_timeout(Some(LONG))
        .expect("a time-out can be set");
    matches!(stream.read(&mut [0]), Ok(0)) && stream.shutdown(Shutdown::Write).is_ok()
}

// The system resets a socket that is closed over unread bytes, and drops what it still had to send.
#[test]
fn an_answer_still_on_its_way_survives_bytes_that_nobody_reads() {
    let discovery = Discovery::start();
    let (release, held) = channel();
    let (held, answer) = (Mutex::new(held), vec![b'a'; 60_000]);
    let body = answer.clone();
    let endpoint = Endpoint::start(move |_| {
        held.lock()
            .expect("no stub panics")
            .recv()
            .expect("it is released");
        Reply::Answer(200, "", body.clone())
    });
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut client = narrow_client(&sidecar);
    let here = client.local_addr().expect("an address");
    let last = request("book", "Connection: close\r\n", "") + &"x".repeat(UNREAD);
    client
        .write_all(last.as_bytes())
        .expect("the system takes it");
    release.send(()).expect("the endpoint waits");
    await_that("the sidecar is done with it", || {
        state_of(sidecar.address, here).as_deref() != Some("01")
    });
    assert!(read_message(&mut client).expect("an answer").body == answer);
    assert!(closes_cleanly(&mut client), "it was reset");
    assert_eq!(endpoint.requests(), 1);
}

#[test]
fn an_error_answer_is_followed_by_a_clean_close_while_its_cause_still_comes() {
    let discovery = Discovery::start();
    let sidecar = Sidecar::start(&discovery, &[]);
    let good = request("book", "", "");
    let long_body =
        good.replace("Content-Length: 0", "Content-Length: 70000") + &"b".repeat(70_000);
    let long_head = good.replace("Host", &format!("X-Long: {}\r\nHost", "h".repeat(70_000)));
    let nonsense = "NONSENSE\r\n\r\n".to_owned() + &"n".repeat(UNREAD);
    for (bad, status) in [(long_body, 413), (long_head, 431), (nonsense, 400)] {
        let mut peer = sidecar.connect();
        peer.write_all(bad.as_bytes()).expect("the system takes it");
        assert_eq!(read_message(&mut peer).expect("an answer").status(), status);
        assert!(closes_cleanly(&mut peer), "after {status} it was reset");
    }
}

#[test]
fn a_flood_is_not_read_to_its_end() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    for start in ["", "POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n"] {
        let mut peer = sidecar.connect();
        let piece = [b'x'; 60_000];
        let sent = peer
            .write_all(start.as_bytes())
            .and_then(|()| (0..1000).try_for_each(|_| peer.write_all(&piece)));
        assert!(sent.is_err(), "all of it was taken");
    }
    assert_eq!(
        sidecar
            .ask(&request("look", "", ""))
            .expect("an answer")
            .status(),
        200
    );
    assert_eq!(endpoint.requests(), 1);
}

#[test]
fn peers_that_never_close_their_side_keep_no_descriptor_and_keep_out_no_request() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    // Of 64 descriptors clients get 20.
    let sidecar = Sidecar::start_with(&discovery, &[("s-1", &endpoint)], 1024, 64);
    assert_eq!(
        sidecar
            .ask(&request("look", "", ""))
            .expect("an answer")
            .status(),
        200
    );
    let before = sidecar.descriptors();
    let told = |_| {
        let mut peer = sidecar.connect();
        peer.write_all(b"NONSENSE\r\n\r\n")
            .expect("the sidecar takes it");
        assert_eq!(read_message(&mut peer).expect("an answer").status(), 400);
        peer
    };
    let peers: Vec<_> = (0..60).map(told).collect();
    assert_eq!(
        sidecar
            .ask(&request("look", "", ""))
            .expect("an answer")
            .status(),
        200
    );
    await_that("their descriptors are free again", || {
        sidecar.descriptors() <= before
    });
    drop(peers);
}

// Answers wait in the sidecar once the systems of both sides hold all that they take.
#[test]
fn a_client_that_stops_reading_its_answers_is_closed_after_the_longest_that_any_client_waits() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::Answer(200, "", vec![b'a'; 60_000]));
    let quick = |config: String| {
        config
            .replace("20000000", "500000")
            .replace("8000000", "200000")
    };
    let sidecar = Sidecar::start_altered(&discovery, &[("s-1", &endpoint)], 1024, quick);
    let mut client = narrow_client(&sidecar);
    let here = client.local_addr().expect("an address");
    // 12 MB of answers; the system takes 4 MB at the most.
    client
        .write_all(request("look", "", "").repeat(200).as_bytes())
        .expect("the sidecar takes it");
    await_that("it is closed", || {
        state_of(sidecar.address, here).as_deref() != Some("01")
    });
    assert!(
        (1..200).contains(&endpoint.requests()),
        "its answers were not what held it up"
    );
    drop(client);
}
