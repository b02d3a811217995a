//! Clients that write their requests slowly.

use crate::ok;
use crate::stubs::*;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// A connection may be closed after so long without a request.
const IDLE_TIME: Duration = Duration::from_millis(2000);
/// So long it is idle here: together with the request it is over the limit of 2.3 s.
const REST: Duration = Duration::from_millis(2150);
/// A request is written in three pieces with this pause between them.
const PAUSE: Duration = Duration::from_millis(150);
/// What the sidecar needs besides to close a connection as idle.
const LATEST_REST: Duration = Duration::from_millis(2250);

/// Writes a request in three pieces; returns whether all could be written.
fn write_slowly(client: &mut TcpStream, text: &str) -> bool {
    let pieces = text.as_bytes().chunks(text.len().div_ceil(3));
    let mut written = true;
    for (number, piece) in pieces.enumerate() {
        if number > 0 {
            thread::sleep(PAUSE);
        }
        written &= client.write_all(piece).is_ok();
    }
    written
}

/// Lets a connection rest since that moment, and sends a request slowly on it. `None` if the machine
/// was too busy for the pauses.
fn status_after_a_rest(client: &mut TcpStream, since: Instant) -> Option<Option<u16>> {
    assert!(REST > IDLE_TIME);
    thread::sleep(REST.saturating_sub(since.elapsed()));
    if since.elapsed() > LATEST_REST {
        return None;
    }
    write_slowly(client, &request("book", "", "{\"a\":1}"));
    Some(read_message(client).map(|answer| answer.status()))
}

// The limit of a request's head used to begin at the answer before it, so that the connection was
// closed with half of the request read, and a non-idempotent request was lost (review/10).
#[test]
fn a_request_written_slowly_on_a_rested_connection_is_answered() {
    repeat_until_in_time(|| {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|_| ok("served"));
        let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        let mut client = idle_connection(&sidecar);
        let Some(status) = status_after_a_rest(&mut client, Instant::now()) else {
            return false;
        };
        assert_eq!((status, endpoint.requests()), (Some(200), 1));
        true
    });
}

// The same on a new connection, whose limit began when it was accepted.
#[test]
fn a_request_written_slowly_some_time_after_connecting_is_answered() {
    repeat_until_in_time(|| {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|_| ok("served"));
        let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        let connected = Instant::now();
        let mut client = sidecar.connect();
        let Some(status) = status_after_a_rest(&mut client, connected) else {
            return false;
        };
        assert_eq!((status, endpoint.requests()), (Some(200), 1));
        true
    });
}

// The same on a connection accepted after SIGTERM, whose limit of 0.5 s began with it.
#[test]
fn a_request_written_slowly_some_time_after_sigterm_is_answered() {
    repeat_until_in_time(|| {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|_| ok("served"));
        let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        stop(&sidecar);
        let connected = Instant::now();
        let mut client = sidecar.connect();
        thread::sleep(Duration::from_millis(350).saturating_sub(connected.elapsed()));
        if connected.elapsed() > Duration::from_millis(450) {
            return false;
        }
        write_slowly(&mut client, &request("book", "", "{\"a\":1}"));
        let status = read_message(&mut client).map(|answer| answer.status());
        assert_eq!((status, endpoint.requests()), (Some(200), 1));
        true
    });
}

// A request that has been read and gets no answer is lost, also where its rest comes too late.
#[test]
fn half_a_request_gets_an_error_before_its_connection_is_closed() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let half = &request("book", "", "{}")[..40];
    let mut clients = [sidecar.connect(), idle_connection(&sidecar)];
    for client in &mut clients {
        client
            .write_all(half.as_bytes())
            .expect("the sidecar takes it");
    }
    for client in &mut clients {
        let answer = read_message(client).expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (408, Some("close"))
        );
        assert!(wait_for_close(client));
    }
    assert_eq!(endpoint.requests(), 0);
}

// A request that is still arriving as the process is about to exit.
#[test]
fn a_request_that_arrives_until_the_end_of_a_shutdown_is_refused() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let short = |config: String| {
        config
            .replace("20000000", "400000")
            .replace("8000000", "200000")
    };
    let mut sidecar = Sidecar::start_altered(&discovery, &[("s-1", &endpoint)], 1024, short);
    let mut client = idle_connection(&sidecar);
    let mut writer = client.try_clone().expect("a second handle");
    let text = request("book", "", "{}").replace("Host", &format!("X-Long: {}", "h".repeat(4000)));
    writer
        .write_all(&text.as_bytes()[..40])
        .expect("the sidecar takes it");
    let trickle = thread::spawn(move || {
        for byte in &text.as_bytes()[40..] {
            if writer.write_all(&[*byte]).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
    });
    sidecar.terminate();
    let status = read_message(&mut client).map(|answer| answer.status());
    assert_eq!((status, endpoint.requests()), (Some(503), 0));
    assert_eq!(sidecar.process.wait().expect("it ends").code(), Some(0));
    drop(client);
    trickle.join().expect("the client does not panic");
}
