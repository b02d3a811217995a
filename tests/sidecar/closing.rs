//! Closing of client connections: late bytes never cause the loss of an answer, and no client can
//! keep a connection open.

use crate::ok;
use crate::stubs::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::channel;

/// More than the sidecar reads ahead of a request, 32 KiB, and less than the system's receive
/// buffer.
const UNREAD: usize = 48_000;

/// Whether the peer closes the connection without a reset; a reset after the end is only reported
/// when closing.
fn closes_cleanly(stream: &mut TcpStream) -> bool {
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out can be set");
    matches!(stream.read(&mut [0]), Ok(0)) && stream.shutdown(Shutdown::Write).is_ok()
}

// The system resets a socket that is closed with unread bytes, and discards its unsent data.
#[test]
fn a_response_in_transit_is_not_lost_with_unread_bytes() {
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
    let mut client = sidecar.connect_with_small_buffer();
    let here = client.local_addr().expect("an address");
    let last = request("book", "Connection: close\r\n", "") + &"x".repeat(UNREAD);
    client
        .write_all(last.as_bytes())
        .expect("the system takes it");
    release.send(()).expect("the endpoint waits");
    wait_until("the sidecar is done with it", || {
        state_of(sidecar.address, here).as_deref() != Some("01")
    });
    assert!(read_message(&mut client).expect("an answer").body == answer);
    assert!(closes_cleanly(&mut client), "it was reset");
    assert_eq!(endpoint.requests(), 1);
}

#[test]
fn an_error_response_is_followed_by_a_clean_close_while_the_request_still_arrives() {
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
fn an_excessive_request_is_not_read_to_its_end() {
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
fn clients_that_never_close_occupy_no_descriptor_and_block_no_request() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    // Of 64 descriptors, clients get 20.
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
    wait_until("their descriptors are free again", || {
        sidecar.descriptors() <= before
    });
    drop(peers);
}

// Answers are queued in the sidecar once the buffers of both systems are full.
#[test]
fn a_client_that_stops_reading_is_closed_after_the_longest_deadline() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::Answer(200, "", vec![b'a'; 60_000]));
    let quick = |config: String| {
        config
            .replace("20000000", "500000")
            .replace("8000000", "200000")
    };
    let sidecar = Sidecar::start_altered(&discovery, &[("s-1", &endpoint)], 1024, quick);
    let mut client = sidecar.connect_with_small_buffer();
    let here = client.local_addr().expect("an address");
    // 12 MB of answers; the system buffers at most 4 MB.
    client
        .write_all(request("look", "", "").repeat(200).as_bytes())
        .expect("the sidecar takes it");
    wait_until("it is closed", || {
        state_of(sidecar.address, here).as_deref() != Some("01")
    });
    assert!(
        (1..200).contains(&endpoint.requests()),
        "its answers were not what held it up"
    );
    drop(client);
}
