//! What crosses a planned stop: requests half read, behind others, in queues, and what comes back
//! for those under way.

use crate::ok;
use crate::stubs::*;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An endpoint that answers each request once it is told to.
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

/// The answer to a request, and whether it was said to be the last.
fn answered(stream: &mut TcpStream) -> (u16, bool) {
    let answer = read_message(stream).expect("an answer");
    (
        answer.status(),
        answer.header("connection") == Some("close"),
    )
}

#[test]
fn what_came_behind_a_request_under_way_is_answered_too() {
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
    let mut client = resting(&sidecar);
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
    assert!(await_close(&mut client));
    assert_eq!(sidecar.process.wait().expect("it ends").code(), Some(0));
    assert_eq!(endpoint.requests(), 3);
}

#[test]
fn a_request_of_which_a_part_had_come_is_served() {
    for (cut, kept) in [
        ("X-Account", true),
        ("X-Account", false),
        ("{}", true),
        ("{}", false),
    ] {
        in_time(|| parted_by_a_stop(cut, kept));
    }
}

/// Sends a request in two parts, with the stop between them; whether that was done in time.
fn parted_by_a_stop(cut: &str, kept: bool) -> bool {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let stopping = Stopping::prepare(&sidecar);
    let mut client = if kept {
        resting(&sidecar)
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
    await_that("the sidecar has read it", || {
        unread(sidecar.address, here) == Some(0)
    });
    stopping.stop();
    let sent = client.write_all(rest.as_bytes());
    if begun.elapsed() > PATIENCE {
        return false;
    }
    sent.expect("the sidecar takes it");
    assert_eq!(
        answered(&mut client),
        (200, true),
        "cut at {cut}, kept: {kept}"
    );
    assert!(await_close(&mut client));
    true
}

// Clients go on using what they have just opened; a new connection that is closed with no answer
// costs them a request.
#[test]
fn a_connection_that_was_just_opened_may_still_bring_its_request() {
    in_time(|| {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|_| ok("served"));
        let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        let mut client = sidecar.connect();
        let stopping = Stopping::prepare(&sidecar);
        let begun = Instant::now();
        stopping.stop();
        let sent = client.write_all(request("book", "", "{}").as_bytes());
        if begun.elapsed() > PATIENCE {
            return false;
        }
        sent.expect("the sidecar takes it");
        assert_eq!(answered(&mut client), (200, true));
        assert!(await_close(&mut client));
        true
    });
}

#[test]
fn a_request_that_comes_after_the_shutdown_is_not_sent_on() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let mut sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut client = resting(&sidecar);
    sidecar.terminate();
    assert!(await_close(&mut client));
    // The sidecar still reads: its system answers with no reset.
    client
        .write_all(request("book", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    client.shutdown(Shutdown::Write).expect("it was not reset");
    assert_eq!(sidecar.process.wait().expect("it ends").code(), Some(0));
    assert_eq!(endpoint.requests(), 0);
}

// The process stands still from before until after the time at which it closes its listener.
#[test]
fn what_waits_to_be_accepted_as_the_listener_closes_is_served() {
    in_time(|| {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|_| ok("served"));
        let mut sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        let stopping = Stopping::prepare(&sidecar);
        let begun = Instant::now();
        stopping.stop();
        sidecar.signal("-STOP");
        if begun.elapsed() > PATIENCE {
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
fn an_outcome_and_a_list_that_come_meanwhile_lead_to_a_further_attempt() {
    let discovery = Discovery::start();
    let (failing, release) = held_endpoint(|| Reply::Answer(500, "", Vec::new()));
    let good = Endpoint::start(|_| ok("served"));
    let mut sidecar = Sidecar::start(&discovery, &[("s-1", &failing)]);
    discovery.await_watch(1);
    let mut client = sidecar.connect();
    client
        .write_all(request("look", "", "").as_bytes())
        .expect("the sidecar takes it");
    await_that("it is sent on", || {
        failing.made.load(std::sync::atomic::Ordering::SeqCst) == 1
    });
    stop(&sidecar);
    let entries = [
        ("s-1", failing.address, "leaving"),
        ("s-2", good.address, "active"),
    ];
    discovery.publish(2, list(2, false, &entries));
    discovery.await_watch(2);
    release.send(()).expect("the endpoint waits");
    assert_eq!(answered(&mut client), (200, true));
    assert_eq!((failing.requests(), good.requests()), (1, 1));
    assert_eq!(sidecar.process.wait().expect("it ends").code(), Some(0));
}

#[test]
fn further_signals_change_nothing_about_a_stop() {
    let discovery = Discovery::start();
    let (endpoint, release) = held_endpoint(|| ok("served"));
    let endpoint = Arc::new(endpoint);
    let mut sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut client = sidecar.connect();
    client
        .write_all(request("book", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    await_that("it is sent on", || {
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

// At the very end nothing has become free: what waited for a place all the time is told so.
#[test]
fn connections_for_which_there_is_no_room_get_an_answer_at_the_end() {
    let discovery = Discovery::start();
    // One each, so that all requests go out. Of 64 descriptors clients get 20.
    let names: Vec<_> = (0..20).map(|n| format!("s-{n}")).collect();
    let endpoints = [(); 20].map(|()| Endpoint::start(|_| Reply::Silence));
    let known: Vec<_> = names.iter().map(String::as_str).zip(&endpoints).collect();
    let requests = || endpoints.iter().map(Endpoint::requests).sum::<usize>();
    let mut sidecar = Sidecar::start_with(&discovery, &known, 1024, 64);
    let ask = |_| {
        let mut client = sidecar.connect();
        client
            .write_all(request("book", "", "{}").as_bytes())
            .expect("the system takes it");
        client
    };
    let served: Vec<_> = (0..20).map(ask).collect();
    await_that("all places are taken", || requests() == 20);
    let waiting: Vec<_> = (0..10).map(ask).collect();
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
