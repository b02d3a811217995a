//! Following the endpoint list.

use crate::ok;
use crate::stubs::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;

#[test]
fn a_draining_or_unlisted_endpoint_gets_nothing() {
    for gone in [list(2, false, &[]), list(2, true, &[])] {
        let discovery = Discovery::start();
        let (old, new) = (
            Endpoint::start(|_| ok("old")),
            Endpoint::start(|_| ok("new")),
        );
        let sidecar = Sidecar::start(&discovery, &[("s-old", &old)]);
        assert_eq!(
            sidecar
                .ask(&request("book", "", ""))
                .expect("an answer")
                .body,
            b"old"
        );
        let snapshot = gone.contains("true");
        let leaving = [
            ("s-old", old.address, "leaving"),
            ("s-new", new.address, "active"),
        ];
        discovery.publish(2, list(2, snapshot, &leaving[usize::from(snapshot)..]));
        discovery.wait_for_watch(2);
        for _ in 0..5 {
            assert_eq!(
                sidecar
                    .ask(&request("book", "", ""))
                    .expect("an answer")
                    .body,
                b"new"
            );
        }
        wait_until("its connection is closed", || old.closed() == 1);
        assert_eq!(old.requests(), 1);
    }
}

// If the settings say that changes are pushed, the module waits for them, so the sidecar must watch
// for them.
#[test]
fn a_pushed_list_is_followed_and_resumed_after_a_failure() {
    let discovery = Discovery::start();
    let (old, new) = (
        Endpoint::start(|_| ok("old")),
        Endpoint::start(|_| ok("new")),
    );
    let pushed = |config: String| config.replace("on_request", "pushed");
    let sidecar = Sidecar::start_altered(&discovery, &[("s-old", &old)], 1024, pushed);
    discovery.wait_for_watch(1);
    discovery.failing.store(true, Ordering::SeqCst);
    wait_until("the watch is taken up again", || {
        discovery.calls().len() >= 3
    });
    discovery.failing.store(false, Ordering::SeqCst);
    discovery.publish(
        2,
        list(
            2,
            false,
            &[
                ("s-old", old.address, "leaving"),
                ("s-new", new.address, "active"),
            ],
        ),
    );
    discovery.wait_for_watch(2);
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .body,
        b"new"
    );
    assert_eq!(old.requests(), 0);
}

// A request counts as sent from its first byte: it must not be written on a connection established
// after the endpoint was told to drain.
#[test]
fn a_pending_dial_to_a_draining_endpoint_writes_nothing() {
    let other: std::net::SocketAddr = "127.0.0.1:9".parse().expect("an address");
    for (snapshot, gone) in [(false, "s-1"), (true, "s-2")] {
        dial_under_way(|address| {
            list(
                3,
                snapshot,
                &[(gone, if snapshot { other } else { address }, "leaving")],
            )
        });
    }
}

/// A dial is pending while the endpoint's address changes by this list.
fn dial_under_way(gone: impl Fn(std::net::SocketAddr) -> String) {
    let discovery = Discovery::start();
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: std::net::SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket
        .bind(&any.into())
        .and_then(|()| socket.listen(0))
        .expect("a free port");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("an address");
    // With a full backlog the system drops further attempts, and the client's system retries.
    let filler = TcpStream::connect(address).expect("one fits");
    let full = TcpStream::connect_timeout(&address, Duration::from_millis(300)).is_err();
    assert!(full, "the queue takes more than one");

    let sidecar = Sidecar::start(&discovery, &[]);
    discovery.publish(2, list(2, false, &[("s-1", address, "active")]));
    discovery.wait_for_watch(2);
    let mut client = sidecar.connect();
    client
        .write_all(request("book", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    wait_until("the endpoint is dialled", || is_being_dialled(address));
    discovery.publish(3, gone(address));
    discovery.wait_for_watch(3);
    drop(filler);
    let endpoint = Endpoint::on(listener, |_| ok("too late"));
    let status = read_message(&mut client).expect("an answer").status();
    assert_eq!(status, 503, "known not to have run");
    wait_until("the dial comes up", || {
        endpoint.made.load(Ordering::SeqCst) >= 2
    });
    assert_eq!(endpoint.requests(), 0);
}

#[test]
fn an_endpoint_may_change_its_address() {
    let discovery = Discovery::start();
    let (before, after) = (
        Endpoint::start(|_| ok("before")),
        Endpoint::start(|_| ok("after")),
    );
    let sidecar = Sidecar::start(&discovery, &[("s-1", &before)]);
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .body,
        b"before"
    );
    discovery.publish(2, list(2, false, &[("s-1", after.address, "active")]));
    discovery.wait_for_watch(2);
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .body,
        b"after"
    );
}

// Ids of removed endpoints are reused: answers must still come from the endpoint that the list
// names.
#[test]
fn repeatedly_replaced_endpoints_are_distinguished() {
    let discovery = Discovery::start();
    let endpoints: Vec<_> = (0..5)
        .map(|n| Endpoint::start(move |_| ok(&format!("from {n}"))))
        .collect();
    let sidecar = Sidecar::start(&discovery, &[("s-0", &endpoints[0])]);
    for n in 0..5 {
        let answer = sidecar.ask(&request("book", "", "")).expect("an answer");
        assert_eq!(answer.body, format!("from {n}").as_bytes());
        if n < 4 {
            let (version, old, new) = (n as u64 + 2, format!("s-{n}"), format!("s-{}", n + 1));
            let entries = [
                (&*old, endpoints[n].address, "left"),
                (&*new, endpoints[n + 1].address, "active"),
            ];
            discovery.publish(version, list(version, false, &entries));
            discovery.wait_for_watch(version);
        }
    }
    assert!(endpoints.iter().all(|e| e.requests() == 1));
}

#[test]
fn a_discovery_that_fails_or_answers_invalidly_does_not_change_the_list() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let served = || {
        sidecar
            .ask(&request("book", "", ""))
            .is_some_and(|a| a.status() == 200)
    };
    discovery.failing.store(true, Ordering::SeqCst);
    wait_until("the watch is taken up again", || {
        discovery.calls().len() >= 3
    });
    assert!(served());
    discovery.failing.store(false, Ordering::SeqCst);
    let calls = discovery.calls().len();
    discovery.publish(2, r#"{"index":2,"endpoints":[{"name":7}]}"#.to_owned());
    wait_until("nonsense is asked for again", || {
        discovery.calls().len() >= calls + 3
    });
    assert!(served());
    // A whole list without entries is treated as invalid.
    let calls = discovery.calls().len();
    discovery.publish(3, list(3, true, &[]));
    wait_until("an empty list is asked for again", || {
        discovery.calls().len() >= calls + 3
    });
    assert!(served());
    // Later changes still count.
    discovery.publish(4, list(4, true, &[("s-1", endpoint.address, "leaving")]));
    discovery.wait_for_watch(4);
    assert!(!served());
}

// The process's variables still have the old address when the file has another one.
#[test]
fn a_reload_follows_discovery_to_the_address_in_the_file() {
    let (before, after) = (Discovery::start(), Discovery::start());
    let (old, new) = (
        Endpoint::start(|_| ok("old")),
        Endpoint::start(|_| ok("new")),
    );
    let mut sidecar = Sidecar::start(&before, &[("s-old", &old)]);
    before.wait_for_watch(1);
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .body,
        b"old"
    );
    // The new agent has its own version numbers.
    after.publish(1, list(1, true, &[("s-new", new.address, "active")]));
    let [from, to] = [&before, &after].map(|d| format!("\"discovery\":\"{}\"", d.address));
    sidecar.reconfigure(|config| config.replace(&from, &to));
    after.wait_for_watch(1);
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .body,
        b"new"
    );
    // An invalid file changes nothing.
    let calls = after.calls().len();
    sidecar.reconfigure(|config| {
        config
            .replace("\"side_effect\"", "\"odd\"")
            .replace(&to, &from)
    });
    sidecar.reconfigure(|_| "{".to_owned());
    after.publish(
        2,
        list(
            2,
            false,
            &[
                ("s-old", old.address, "active"),
                ("s-new", new.address, "left"),
            ],
        ),
    );
    after.wait_for_watch(2);
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .body,
        b"old"
    );
    assert!(after.calls().len() > calls);
    assert!(
        sidecar.process.try_wait().expect("its state").is_none(),
        "it has ended"
    );
}
