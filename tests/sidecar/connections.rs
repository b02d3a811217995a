//! Reuse, eviction and closing of connections on both sides.

use crate::ok;
use crate::stubs::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

#[test]
fn connections_are_reused_until_the_endpoint_closes_them_or_they_expire() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|message| match message.header("x-last") {
        Some(_) => Reply::AnswerAndClose(200, "", b"last".to_vec()),
        None => ok("served"),
    });
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let made = || endpoint.made.load(Ordering::SeqCst);
    // The last response on the first connection does not announce the close. The next request must
    // not be written to the closed connection: it would be reset and, being non-idempotent, fail.
    for headers in ["", "", "X-Last: 1\r\n"] {
        assert_eq!(
            sidecar
                .ask(&request("book", headers, ""))
                .expect("an answer")
                .status(),
            200
        );
        assert_eq!(made(), 1);
        // Longer than the reuse delay after a response.
        thread::sleep(Duration::from_millis(100));
    }
    wait_until("the close has come in", || {
        !has_open_connection(endpoint.address)
    });
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .status(),
        200
    );
    assert_eq!((made(), endpoint.closed()), (2, 0));
    // The sidecar closes the connection before the endpoint's idle timeout, which never ends here.
    wait_until("the idle connection is retired", || endpoint.closed() == 1);
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .status(),
        200
    );
    assert_eq!(made(), 3);
}

#[test]
fn silent_connections_block_no_request() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start_with(&discovery, &[("s-1", &endpoint)], 1024, 64);
    let crowd: Vec<_> = (0..100).map(|_| sidecar.connect()).collect();
    assert_eq!(
        sidecar
            .ask(&request("look", "", ""))
            .expect("an answer")
            .status(),
        200
    );
    drop(crowd);
}

// Anyone may connect. The stubs wait for at most half a minute; the requests would wait for longer.
#[test]
fn clients_that_are_silent_or_stop_half_way_are_closed_or_get_an_error() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let patient = request("book", "", "{}").replace("19000m", "600000m");
    let [mut silent, mut half, mut bodiless] = [(); 3].map(|()| sidecar.connect());
    half.write_all(&patient.as_bytes()[..40])
        .expect("the sidecar takes it");
    bodiless
        .write_all(&patient.as_bytes()[..patient.len() - 1])
        .expect("the sidecar takes it");
    assert_eq!(
        read_message(&mut bodiless).expect("an answer").status(),
        408
    );
    for peer in [&mut silent, &mut half, &mut bodiless] {
        assert!(wait_for_close(peer), "a connection stayed open");
    }
    assert_eq!(endpoint.requests(), 0);
}

#[test]
fn a_shortage_of_descriptors_is_survived() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start_with(&discovery, &[("s-1", &endpoint)], 24, 1024);
    let crowd: Vec<_> = (0..60).map(|_| sidecar.connect()).collect();
    thread::sleep(Duration::from_millis(200));
    drop(crowd);
    wait_until("it serves again", || {
        sidecar
            .ask(&request("look", "", ""))
            .is_some_and(|a| a.status() == 200)
    });
}

// After a suspension a process finds its timers due before it notices the bytes that have arrived:
// the connection would be closed as idle with an unread request.
#[test]
fn a_request_that_arrived_while_the_process_was_suspended_is_served() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut client = sidecar.connect();
    let ask = |client: &mut TcpStream| {
        client
            .write_all(request("book", "", "").as_bytes())
            .expect("the system takes it");
    };
    ask(&mut client);
    assert_eq!(read_message(&mut client).expect("an answer").status(), 200);
    sidecar.signal("-STOP");
    let state = format!("/proc/{}/stat", sidecar.process.id());
    wait_until("it has stopped", || {
        std::fs::read_to_string(&state).is_ok_and(|line| line.contains("(sidecar) T "))
    });
    ask(&mut client);
    // Longer than a connection may be idle.
    thread::sleep(Duration::from_millis(2600));
    sidecar.signal("-CONT");
    assert_eq!(read_message(&mut client).expect("an answer").status(), 200);
    assert_eq!(endpoint.requests(), 2);
}

// Discovery and the endpoints have descriptors of their own, which clients can't use up.
#[test]
fn idle_clients_that_use_up_descriptors_while_discovery_is_down_do_not_prevent_service_afterwards()
{
    let discovery = Discovery::start();
    let (old, new) = (
        Endpoint::start(|_| ok("old")),
        Endpoint::start(|_| ok("new")),
    );
    let sidecar = Sidecar::start_with(&discovery, &[("s-old", &old)], 64, 64);
    discovery.failing.store(true, Ordering::SeqCst);
    let calls = discovery.calls().len();
    let crowd: Vec<_> = (0..200).map(|_| sidecar.connect()).collect();
    wait_until("discovery is still called", || {
        discovery.calls().len() >= calls + 3
    });
    assert_eq!(
        sidecar
            .ask(&request("look", "", ""))
            .expect("an answer")
            .body,
        b"old"
    );
    let changes = [
        ("s-old", old.address, "leaving"),
        ("s-new", new.address, "active"),
    ];
    discovery.publish(2, list(2, false, &changes));
    discovery.failing.store(false, Ordering::SeqCst);
    discovery.wait_for_watch(2);
    assert_eq!(
        sidecar
            .ask(&request("look", "", ""))
            .expect("an answer")
            .body,
        b"new"
    );
    drop(crowd);
}

#[test]
fn invalid_input_ends_its_connection_and_is_not_forwarded() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let good = request("book", "", "");
    let chunked = good.replace("Content-Length: 0", "Transfer-Encoding: chunked");
    let bad = [
        good.replace(
            "Content-Length: 0",
            "Content-Length: 1\r\nContent-Length: 2",
        ) + "ab",
        good.replace("Content-Length: 0", "Content-Length: -1"),
        good.replace("Content-Length: 0", "Content-Length: 99999999999999999999"),
        good.replace("Content-Length: 0", "Transfer-Encoding: odd"),
        good.replace("HTTP/1.1", "HTTP/9.9"),
        good.replace("X-Account: ", "X-Account\0: "),
        chunked.clone() + "zz\r\n",
        chunked + "5\r\nabc",
        good.replace("Content-Length: 0", "Content-Length: 5") + "abc",
        "\r\n".repeat(1000),
        "\0".repeat(1000),
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_owned(),
    ];
    let connected = bad.map(|bad| {
        let mut peer = sidecar.connect();
        peer.write_all(bad.as_bytes()).expect("the system takes it");
        (bad, peer)
    });
    for (bad, mut peer) in connected {
        assert!(
            wait_for_close(&mut peer),
            "a connection stayed open after {bad:?}"
        );
    }
    assert_eq!(endpoint.requests(), 0);
    // Bytes behind a request are not part of it, and only end the connection.
    let mut client = sidecar.connect();
    client
        .write_all((good + "\0\0\0\r\n\r\n").as_bytes())
        .expect("the sidecar takes it");
    assert_eq!(read_message(&mut client).expect("an answer").status(), 200);
    assert_eq!(read_message(&mut client).expect("an error").status(), 400);
    assert!(wait_for_close(&mut client));
}
