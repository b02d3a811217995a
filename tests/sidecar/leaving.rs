//! Clients that disconnect with unread bytes pending: the connection then does not read to its end.

use crate::ok;
use crate::stubs::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request with its own id, whose client would wait for longer than these tests run.
fn patient(class: &str, id: &str) -> String {
    request(class, "", "")
        .replace("19000m", "600000m")
        .replace("9b1f03aa", id)
}

/// The ids of the requests received by an endpoint, in order.
fn ids(endpoint: &Endpoint) -> Vec<String> {
    let seen = endpoint.seen.lock().expect("no stub panics");
    seen.iter()
        .filter_map(|message| message.header("x-correlation-id"))
        .map(str::to_owned)
        .collect()
}

/// Closes a connection, optionally with a reset.
fn leave(client: TcpStream, reset: bool) {
    let socket = socket2::Socket::from(client);
    if reset {
        socket
            .set_linger(Some(Duration::ZERO))
            .expect("it can be reset");
    }
}

#[test]
fn the_attempt_of_a_client_that_disconnects_with_unread_bytes_is_cancelled() {
    for (behind, reset) in [
        (patient("book", "second"), false),
        (patient("book", "second"), true),
        ("?".into(), false),
    ] {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|message| match message.header("x-correlation-id") {
            Some("last") => ok("served"),
            _ => Reply::Silence,
        });
        let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        let mut client = sidecar.connect();
        let all = patient("book", "first") + &behind;
        client
            .write_all(all.as_bytes())
            .expect("the sidecar takes it");
        wait_until("the request is out", || endpoint.requests() == 1);
        leave(client, reset);
        wait_until("the attempt is given up", || endpoint.closed() == 1);
        // The pipelined request would have begun by now.
        assert_eq!(
            sidecar
                .ask(&patient("book", "last"))
                .expect("an answer")
                .status(),
            200
        );
        assert_eq!(
            ids(&endpoint),
            ["first", "last"],
            "behind it: {behind}, reset: {reset}"
        );
    }
}

#[test]
fn no_further_attempt_begins_for_a_client_that_disconnected_with_unread_bytes() {
    let discovery = Discovery::start();
    let ((arrive, arrived), (release, held)) = (channel(), channel::<()>());
    let held = Arc::new(Mutex::new(held));
    let failing = || {
        let (arrive, held) = (arrive.clone(), Arc::clone(&held));
        Endpoint::start(move |message| match message.header("x-correlation-id") {
            // Long enough for a further attempt to be seen.
            Some("last") => Reply::Later(Duration::from_millis(500), b"served".to_vec()),
            _ => {
                arrive.send(()).expect("the test goes on");
                // Without a sender, the endpoint holds no more requests.
                let _ = held.lock().expect("no stub panics").recv();
                Reply::Answer(500, "", Vec::new())
            }
        })
    };
    let (one, two) = (failing(), failing());
    let sidecar = Sidecar::start(&discovery, &[("s-1", &one), ("s-2", &two)]);
    let mut client = sidecar.connect();
    let here = client.local_addr().expect("an address");
    let both = patient("look", "first") + &patient("look", "second");
    client
        .write_all(both.as_bytes())
        .expect("the sidecar takes it");
    arrived.recv().expect("the first request arrives");
    drop(client);
    // "08": the peer has closed its side, this one has not.
    let knows = || state_of(sidecar.address, here).is_none_or(|state| state == "08");
    wait_until("the sidecar's system knows", knows);
    drop(release);
    assert_eq!(
        sidecar
            .ask(&patient("look", "last"))
            .expect("an answer")
            .status(),
        200
    );
    let mut all = [ids(&one), ids(&two)].concat();
    all.sort_unstable();
    assert_eq!(all, ["first", "last"]);
}
