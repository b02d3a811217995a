//! Graceful shutdown while something is in progress: partly received, pipelined and queued
//! requests, and responses to those in flight.

use crate::ok;
use crate::stubs::*;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An endpoint that responds to each request when the test permits.
fn held_endpoint(reply: impl Fn() -> Reply + Send + Sync + 'static) -> (Endpoint, Sender<()>) {
    let (release, held) = channel();
    let held = Mutex::new(held);
    let endpoint = Endpoint::start(move |_| {
        held.lock()
            .expect("no stub panics")
            .recv()
            .expect("it is released");
        reply()
    });
    (endpoint, release)
}

/// The response to a request, and whether it announced the close.
fn answered(stream: &mut TcpStream) -> (u16, bool) {
    let answer = read_message(stream).expect("an answer");
    (
        answer.status(),
        answer.header("connection") == Some("close"),
    )
}

#[test]
fn a_request_pipelined_behind_another_is_answered_too() {
    let discovery = Discovery::start();
    let (arrive, arrived) = channel();
    let (release, held) = channel();
    let (held, arrive) = (Mutex::new(held), Mutex::new(arrive));
    let endpoint = Endpoint::start(move |_| {
        arrive
            .lock()
            .expect("no stub panics")
            .send(())
            .expect("the test goes on");
        held.lock()
            .expect("no stub panics")
            .recv()
            .expect("it is released");
        ok("served")
    });
    let mut sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut client = idle_connection(&sidecar);
    client
        .write_all(request("book", "", "{}").repeat(3).as_bytes())
        .expect("the sidecar takes it");
    arrived.recv().expect("the first one arrives");
    stop(&sidecar);
    for _ in 0..3 {
        release.send(()).expect("the endpoint waits");
    }
    assert_eq!(
        [(); 3].map(|()| answered(&mut client)),
        [(200, false), (200, false), (200, true)]
    );
    assert!(wait_for_close(&mut client));
    assert_eq!(sidecar.process.wait().expect("it ends").code(), Some(0));
    assert_eq!(endpoint.requests(), 3);
}

#[test]
fn a_partly_received_request_is_served() {
    for (cut, kept) in [
        ("X-Account", true),
        ("X-Account", false),
        ("{}", true),
        ("{}", false),
    ] {
        repeat_until_in_time(|| request_in_two_parts_around_the_shutdown(cut, kept));
    }
}

/// Sends a request in two parts with the shutdown between them; returns whether that was in time.
fn request_in_two_parts_around_the_shutdown(cut: &str, kept: bool) -> bool {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let stopping = PendingShutdown::prepare(&sidecar);
    let mut client = if kept {
        idle_connection(&sidecar)
    } else {
        sidecar.connect()
    };
    let here = client.local_addr().expect("an address");
    let whole = request("book", "", "{}");
    let (first, rest) = whole.split_at(whole.find(cut).expect("it has that"));
    let begun = Instant::now();
    client
        .write_all(first.as_bytes())
        .expect("the sidecar takes it");
    wait_until("the sidecar has read it", || {
        unread(sidecar.address, here) == Some(0)
    });
    stopping.stop();
    let sent = client.write_all(rest.as_bytes());
    if begun.elapsed() > HALF_GRACE_PERIOD {
        return false;
    }
    sent.expect("the sidecar takes it");
    assert_eq!(
        answered(&mut client),
        (200, true),
        "cut at {cut}, kept: {kept}"
    );
    assert!(wait_for_close(&mut client));
    true
}

// Clients use connections they have just opened; closing a new connection without an answer would
// cost them a request.
#[test]
fn a_new_connection_may_still_send_its_request() {
    repeat_until_in_time(|| {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|_| ok("served"));
        let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        let mut client = sidecar.connect();
        let stopping = PendingShutdown::prepare(&sidecar);
        let begun = Instant::now();
        stopping.stop();
        let sent = client.write_all(request("book", "", "{}").as_bytes());
        if begun.elapsed() > HALF_GRACE_PERIOD {
            return false;
        }
        sent.expect("the sidecar takes it");
        assert_eq!(answered(&mut client), (200, true));
        assert!(wait_for_close(&mut client));
        true
    });
}

#[test]
fn a_request_after_the_shutdown_is_not_forwarded() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let mut sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut client = idle_connection(&sidecar);
    sidecar.terminate();
    assert!(wait_for_close(&mut client));
    // The sidecar still reads: its system does not answer with a reset.
    client
        .write_all(request("book", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    client.shutdown(Shutdown::Write).expect("it was not reset");
    assert_eq!(sidecar.process.wait().expect("it ends").code(), Some(0));
    assert_eq!(endpoint.requests(), 0);
}

// The process is suspended from before until after the time at which it closes its listener.
#[test]
fn connections_that_wait_to_be_accepted_as_the_listener_closes_are_served() {
    repeat_until_in_time(|| {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|_| ok("served"));
        let mut sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        let stopping = PendingShutdown::prepare(&sidecar);
        let begun = Instant::now();
        stopping.stop();
        sidecar.signal("-STOP");
        if begun.elapsed() > HALF_GRACE_PERIOD {
            return false;
        }
        let ask = |_| {
            let mut client = sidecar.connect();
            client
                .write_all(request("look", "", "").as_bytes())
                .expect("the system takes it");
            client
        };
        let clients: Vec<_> = (0..20).map(ask).collect();
        thread::sleep(Duration::from_millis(700));
        sidecar.signal("-CONT");
        for mut client in clients {
            assert_eq!(answered(&mut client), (200, true));
        }
        assert_eq!(sidecar.process.wait().expect("it ends").code(), Some(0));
        true
    });
}

#[test]
fn an_outcome_and_a_list_during_the_shutdown_lead_to_a_further_attempt() {
    let discovery = Discovery::start();
    let (failing, release) = held_endpoint(|| Reply::Answer(500, "", Vec::new()));
    let good = Endpoint::start(|_| ok("served"));
    let mut sidecar = Sidecar::start(&discovery, &[("s-1", &failing)]);
    discovery.wait_for_watch(1);
    let mut client = sidecar.connect();
    client
        .write_all(request("look", "", "").as_bytes())
        .expect("the sidecar takes it");
    wait_until("it is sent on", || {
        failing.made.load(std::sync::atomic::Ordering::SeqCst) == 1
    });
    stop(&sidecar);
    let entries = [
        ("s-1", failing.address, "leaving"),
        ("s-2", good.address, "active"),
    ];
    discovery.publish(2, list(2, false, &entries));
    discovery.wait_for_watch(2);
    release.send(()).expect("the endpoint waits");
    assert_eq!(answered(&mut client), (200, true));
    assert_eq!((failing.requests(), good.requests()), (1, 1));
    assert_eq!(sidecar.process.wait().expect("it ends").code(), Some(0));
}

#[test]
fn further_signals_do_not_affect_a_shutdown() {
    let discovery = Discovery::start();
    let (endpoint, release) = held_endpoint(|| ok("served"));
    let endpoint = Arc::new(endpoint);
    let mut sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut client = sidecar.connect();
    client
        .write_all(request("book", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    wait_until("it is sent on", || {
        endpoint.made.load(std::sync::atomic::Ordering::SeqCst) == 1
    });
    sidecar.signal("-HUP");
    stop(&sidecar);
    for signal in ["-TERM", "-HUP", "-INT", "-TERM"] {
        sidecar.signal(signal);
    }
    sidecar.reconfigure(|_| "{".to_owned());
    release.send(()).expect("the endpoint waits");
    assert_eq!(answered(&mut client), (200, true));
    assert_eq!(sidecar.process.wait().expect("it ends").code(), Some(0));
}

// Requests that wait for a permit until the end get an answer that says so.
#[test]
fn connections_without_a_permit_get_an_answer_at_the_end() {
    let discovery = Discovery::start();
    // One request each, so that all are sent. Of 64 descriptors, clients get 20.
    let names: Vec<_> = (0..20).map(|n| format!("s-{n}")).collect();
    let endpoints = [(); 20].map(|()| Endpoint::start(|_| Reply::Silence));
    let known: Vec<_> = names.iter().map(String::as_str).zip(&endpoints).collect();
    let requests = || endpoints.iter().map(Endpoint::requests).sum::<usize>();
    let mut sidecar = Sidecar::start_with(&discovery, &known, 1024, 64);
    let ask = |number: usize| {
        let mut client = sidecar.connect();
        client
            .write_all(request_of(&number.to_string(), "book", "{}").as_bytes())
            .expect("the system takes it");
        client
    };
    let served: Vec<_> = (0..20).map(ask).collect();
    wait_until("all places are taken", || requests() == 20);
    let waiting: Vec<_> = (20..30).map(ask).collect();
    sidecar.terminate();
    for mut client in served {
        assert_eq!(answered(&mut client), (502, true));
    }
    for mut client in waiting {
        assert_eq!(answered(&mut client), (503, true));
    }
    assert_eq!(sidecar.process.wait().expect("it ends").code(), Some(0));
    assert_eq!(requests(), 20);
}
