//! Clients that stop in the middle of a request and stay connected take no place from others.

use crate::ok;
use crate::stubs::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Descriptors of these sidecars, and how many of them client connections may use.
const FEW: (u32, usize) = (64, 20);
const USUAL: (u32, usize) = (256, 104);
/// A request that has not got its answer this long after its time is lost, by the protocol.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// How long a sound client waits for its answer.
const TIME_LEFT: Duration = Duration::from_millis(1000);

/// A request of a sound client.
fn sound_request() -> String {
    let left = format!("X-Time-Left: {}m", TIME_LEFT.as_millis());
    request("look", "", "").replace("X-Time-Left: 19000m", &left)
}

/// Whether the peer has closed the connection; discards what it sent before.
fn is_closed(mut stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("it can be set");
    let mut bytes = [0; 1024];
    let closed = loop {
        match stream.read(&mut bytes) {
            Ok(0) => break true,
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => break e.kind() != ErrorKind::WouldBlock,
        }
    };
    stream.set_nonblocking(false).expect("it can be set");
    closed
}

/// Sends on that connection, which has to stay open, and waits for the answer.
fn ask(client: &mut TcpStream) -> Message {
    let sent = Instant::now();
    client
        .write_all(sound_request().as_bytes())
        .expect("the sidecar takes it");
    let answer = read_message(client).expect("an answer on this connection");
    assert!(
        sent.elapsed() < TIME_LEFT + LOST_AFTER,
        "answered after {:?}",
        sent.elapsed()
    );
    answer
}

/// Clients that keep a connection each, and have been served on it.
fn served_clients(sidecar: &Sidecar, number: usize) -> Vec<TcpStream> {
    let serve = |_| {
        let mut client = sidecar.connect();
        assert_eq!(ask(&mut client).status(), 200);
        client
    };
    (0..number).map(serve).collect()
}

/// What a peer sends before it stops.
fn forms_of_stopping() -> [(&'static str, String); 6] {
    let whole = request("book", "", "{\"a\":1}");
    let head_end = whole.find("\r\n\r\n").expect("a head") + 4;
    let chunked = whole.replace("Content-Length: 7", "Transfer-Encoding: chunked");
    let chunked_head_end = chunked.find("\r\n\r\n").expect("a head") + 4;
    [
        ("nothing", String::new()),
        ("one byte", whole[..1].to_owned()),
        ("half a head", whole[..head_end / 2].to_owned()),
        ("a head without its body", whole[..head_end].to_owned()),
        ("half a body", whole[..whole.len() - 2].to_owned()),
        (
            "one chunk of a body",
            chunked[..chunked_head_end].to_owned() + "3\r\n{\"a\r\n",
        ),
    ]
}

// Peers that stop half way used to keep their places until the limit of a request head, 2.3 s, in
// which nobody was accepted; sound clients, whose idle connections were closed, were locked out.
#[test]
fn requests_are_answered_in_time_beside_peers_that_stop_in_the_middle_of_theirs() {
    for (descriptors, places) in [FEW, USUAL] {
        for (form, sent) in forms_of_stopping() {
            let discovery = Discovery::start();
            let endpoint = Endpoint::start(|_| ok("served"));
            let sidecar = Sidecar::start_with(&discovery, &[("s-1", &endpoint)], 1024, descriptors);
            let mut clients = served_clients(&sidecar, 4);
            let stop = |_| {
                let mut peer = sidecar.connect();
                // It may be closed before it has sent anything.
                let _ = peer.write_all(sent.as_bytes());
                peer
            };
            let peers: Vec<_> = (0..2 * places).map(stop).collect();
            for client in &mut clients {
                assert_eq!(ask(client).status(), 200, "{form}");
            }
            let mut new_client = sidecar.connect();
            assert_eq!(ask(&mut new_client).status(), 200, "{form}");
            // Others were closed for it, one at a time and as many as were too many.
            let open = peers.iter().filter(|peer| !is_closed(peer)).count();
            assert!(open > 0, "{form}: all peers were closed");
        }
    }
}

// Progress alone must not keep a place: a head may take 2.3 s in all.
#[test]
fn requests_are_answered_in_time_beside_peers_that_send_byte_by_byte() {
    let (descriptors, places) = FEW;
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start_with(&discovery, &[("s-1", &endpoint)], 1024, descriptors);
    let mut clients = served_clients(&sidecar, 4);
    let head =
        request("book", "", "").replace("Host", &format!("X-Long: {}\r\nHost", "h".repeat(9000)));
    let ended = Arc::new(AtomicBool::new(false));
    let slow: Vec<_> = (0..2 * places)
        .map(|_| {
            let (mut peer, head, ended) = (sidecar.connect(), head.clone(), Arc::clone(&ended));
            thread::spawn(move || {
                for byte in head.bytes() {
                    if ended.load(Ordering::SeqCst) || peer.write_all(&[byte]).is_err() {
                        return;
                    }
                    thread::sleep(Duration::from_millis(2));
                }
            })
        })
        .collect();
    for client in &mut clients {
        assert_eq!(ask(client).status(), 200);
    }
    assert_eq!(ask(&mut sidecar.connect()).status(), 200);
    ended.store(true, Ordering::SeqCst);
    for peer in slow {
        peer.join().expect("no peer panics");
    }
}

// A close for a new connection must not cost a request that is being answered.
#[test]
fn a_request_in_hand_keeps_its_connection_however_many_peers_stop_half_way() {
    let (descriptors, places) = FEW;
    let discovery = Discovery::start();
    let (release, held) = channel::<()>();
    let (arrive, arrived) = channel();
    let (arrive, held) = (Mutex::new(arrive), Mutex::new(held));
    let endpoint = Endpoint::start(move |_| {
        let arrival = arrive.lock().expect("no stub panics").send(());
        arrival.expect("the test waits for it");
        // Ends once the test has dropped its end.
        let _ = held.lock().expect("no stub panics").recv();
        ok("served")
    });
    let sidecar = Sidecar::start_with(&discovery, &[("s-1", &endpoint)], 1024, descriptors);
    let ask = |number: usize| {
        let mut client = sidecar.connect();
        client
            .write_all(request_of(&number.to_string(), "book", "").as_bytes())
            .expect("the sidecar takes it");
        client
    };
    let mut clients: Vec<_> = (0..places / 2).map(ask).collect();
    let first = arrived.recv_timeout(TEST_TIMEOUT);
    first.expect("a request reaches the endpoint");
    let peers: Vec<_> = (0..4 * places).map(|_| sidecar.connect()).collect();
    wait_until("peers were closed for others", || {
        peers.iter().filter(|peer| is_closed(peer)).count() > places
    });
    drop(release);
    for client in &mut clients {
        assert_eq!(read_message(client).expect("an answer").status(), 200);
    }
}

// After a suspension the sidecar finds all places taken by idle connections, on which requests have
// arrived unread, and new connections behind them.
#[test]
fn a_request_that_arrived_unnoticed_keeps_its_connection_when_places_are_needed() {
    let (descriptors, places) = FEW;
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start_with(&discovery, &[("s-1", &endpoint)], 1024, descriptors);
    let mut clients = served_clients(&sidecar, places);
    sidecar.stop();
    let peers: Vec<_> = (0..places).map(|_| sidecar.connect()).collect();
    for client in &mut clients {
        client
            .write_all(request("look", "", "").as_bytes())
            .expect("the system takes it");
    }
    sidecar.signal("-CONT");
    for client in &mut clients {
        assert_eq!(read_message(client).expect("an answer").status(), 200);
    }
    drop(peers);
}

// Clients that leave their answers unread keep their places for the longest deadline, which is more
// than the stubs wait for here.
#[test]
fn requests_are_answered_beside_peers_that_do_not_read_their_answers() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|message| match message.header("x-large") {
        Some(_) => Reply::Answer(200, "", vec![b'a'; 60_000]),
        None => ok("served"),
    });
    let patient = |config: String| {
        config
            .replace("20000000", "60000000")
            .replace("\"sockets\":1024", "\"sockets\":32")
    };
    let sidecar = Sidecar::start_altered(&discovery, &[("s-1", &endpoint)], 1024, patient);
    // Of 32 descriptors, clients get 6.
    let stop_reading = |_| {
        let mut peer = sidecar.connect_with_small_buffer();
        // 12 MB of answers; the system buffers at most 4 MB.
        let requests = request("look", "X-Large: 1\r\n", "").repeat(200);
        peer.write_all(requests.as_bytes())
            .expect("the sidecar takes it");
        peer
    };
    let peers: Vec<_> = (0..6).map(stop_reading).collect();
    let mut client = sidecar.connect();
    client
        .write_all(request("look", "", "").as_bytes())
        .expect("the system takes it");
    assert_eq!(
        read_message(&mut client).expect("an answer").body,
        b"served"
    );
    drop(peers);
}

#[test]
fn what_was_closed_for_others_is_logged() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let few = |config: String| config.replace("\"sockets\":1024", "\"sockets\":64");
    let mut sidecar =
        Sidecar::start_adapted(&discovery, &[("s-1", &endpoint)], 1024, few, |command| {
            command.stderr(std::process::Stdio::piped());
        });
    let peers: Vec<_> = (0..40).map(|_| sidecar.connect()).collect();
    assert_eq!(ask(&mut sidecar.connect()).status(), 200);
    drop(peers);
    let log = sidecar.stop_and_read_log();
    let line = "client connections full: closed one (new) for a new one";
    assert_eq!(log.matches(line).count(), 1, "{log}");
}
