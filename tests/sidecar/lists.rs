//! How the list is followed.

use crate::ok;
use crate::stubs::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;

#[test]
fn nothing_goes_to_an_endpoint_that_leaves_or_is_missing_from_the_whole_list() {
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
        discovery.await_watch(2);
        for _ in 0..5 {
            assert_eq!(
                sidecar
                    .ask(&request("book", "", ""))
                    .expect("an answer")
                    .body,
                b"new"
            );
        }
        await_that("its connection is closed", || old.closed() == 1);
        assert_eq!(old.requests(), 1);
    }
}

// Where the settings say that changes are pushed, the module waits for them: the sidecar must fetch
// them.
#[test]
fn a_list_that_is_pushed_is_followed_and_taken_up_again_after_a_failure() {
    let discovery = Discovery::start();
    let (old, new) = (
        Endpoint::start(|_| ok("old")),
        Endpoint::start(|_| ok("new")),
    );
    let pushed = |config: String| config.replace("on_request", "pushed");
    let sidecar = Sidecar::start_altered(&discovery, &[("s-old", &old)], 1024, pushed);
    discovery.await_watch(1);
    discovery.failing.store(true, Ordering::SeqCst);
    await_that("the watch is taken up again", || {
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
    discovery.await_watch(2);
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .body,
        b"new"
    );
    assert_eq!(old.requests(), 0);
}

// A send counts from its first byte: one whose connection comes up only after the endpoint was told
// to leave must not be written any more.
#[test]
fn a_dial_under_way_to_an_endpoint_that_leaves_writes_nothing() {
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

/// A dial hangs while the endpoint goes by this news of its address.
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
    // With its queue full the system drops further openings, and the client's system tries again in
    // a while.
    let filler = TcpStream::connect(address).expect("one fits");
    let full = TcpStream::connect_timeout(&address, Duration::from_millis(300)).is_err();
    assert!(full, "the queue takes more than one");

    let sidecar = Sidecar::start(&discovery, &[]);
    discovery.publish(2, list(2, false, &[("s-1", address, "active")]));
    discovery.await_watch(2);
    let mut client = sidecar.connect();
    client
        .write_all(request("book", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    await_that("the endpoint is dialled", || being_dialled(address));
    discovery.publish(3, gone(address));
    discovery.await_watch(3);
    drop(filler);
    let endpoint = Endpoint::on(listener, |_| ok("too late"));
    let status = read_message(&mut client).expect("an answer").status();
    assert_eq!(status, 503, "known not to have run");
    await_that("the dial comes up", || {
        endpoint.made.load(Ordering::SeqCst) >= 2
    });
    assert_eq!(endpoint.requests(), 0);
}

#[test]
fn an_address_may_change_under_a_name() {
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
    discovery.await_watch(2);
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .body,
        b"after"
    );
}

// Numbers of endpoints that are gone are given out anew: answers must still come from whom the list
// names.
#[test]
fn endpoints_replaced_over_and_over_are_told_apart() {
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
            discovery.await_watch(version);
        }
    }
    assert!(endpoints.iter().all(|e| e.requests() == 1));
}

#[test]
fn discovery_that_fails_or_answers_nonsense_leaves_the_list_as_it_was() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let served = || {
        sidecar
            .ask(&request("book", "", ""))
            .is_some_and(|a| a.status() == 200)
    };
    discovery.failing.store(true, Ordering::SeqCst);
    await_that("the watch is taken up again", || {
        discovery.calls().len() >= 3
    });
    assert!(served());
    discovery.failing.store(false, Ordering::SeqCst);
    let calls = discovery.calls().len();
    discovery.publish(2, r#"{"index":2,"endpoints":[{"name":7}]}"#.to_owned());
    await_that("nonsense is asked for again", || {
        discovery.calls().len() >= calls + 3
    });
    assert!(served());
    // A whole list without a single entry says no more than nonsense does.
    let calls = discovery.calls().len();
    discovery.publish(3, list(3, true, &[]));
    await_that("an empty list is asked for again", || {
        discovery.calls().len() >= calls + 3
    });
    assert!(served());
    // And what comes after it counts.
    discovery.publish(4, list(4, true, &[("s-1", endpoint.address, "leaving")]));
    discovery.await_watch(4);
    assert!(!served());
}

// The variables of the process still name the old address when the file names another.
#[test]
fn told_to_reload_it_follows_discovery_to_where_the_file_says() {
    let (before, after) = (Discovery::start(), Discovery::start());
    let (old, new) = (
        Endpoint::start(|_| ok("old")),
        Endpoint::start(|_| ok("new")),
    );
    let mut sidecar = Sidecar::start(&before, &[("s-old", &old)]);
    before.await_watch(1);
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .body,
        b"old"
    );
    // Its versions are its own.
    after.publish(1, list(1, true, &[("s-new", new.address, "active")]));
    let [from, to] = [&before, &after].map(|d| format!("\"discovery\":\"{}\"", d.address));
    sidecar.reconfigure(|config| config.replace(&from, &to));
    after.await_watch(1);
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .body,
        b"new"
    );
    // A file that can't be used leaves everything as it is.
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
    after.await_watch(2);
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
