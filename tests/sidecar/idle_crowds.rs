//! Requests that arrive in pieces while idle clients fill the places of a sidecar.

use crate::ok;
use crate::stubs::*;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Descriptors of the sidecar, and how many of them client connections may use.
const DESCRIPTORS: u32 = 64;
const PLACES: usize = 20;
/// Time between two pieces of a request.
const PAUSE: Duration = Duration::from_millis(60);
/// A pause that a busy machine has made longer than this shows nothing.
const LONGEST_PAUSE: Duration = Duration::from_millis(150);

/// Where a request is cut into two pieces.
const CUTS: [(&str, &str); 2] = [("head", "X-Account"), ("body", "\"a\"")];

fn split_request(id: &str, cut: &str) -> (String, String) {
    let whole = request_of(id, "book", "{\"a\":1}");
    let (first, rest) = whole.split_at(whole.find(cut).expect("it has that"));
    (first.to_owned(), rest.to_owned())
}

/// Idle clients, each of which was answered once. With as many as places, each closes another one.
fn idle_clients(sidecar: &Sidecar, number: usize) -> Vec<TcpStream> {
    (0..number).map(|_| idle_connection(sidecar)).collect()
}

/// Writes a request in two pieces while idle clients come; returns its status, or `None` if the
/// machine was too busy for the pause.
fn status_beside_a_crowd(
    sidecar: &Sidecar,
    client: &mut TcpStream,
    (first, rest): (String, String),
) -> Option<Option<u16>> {
    client
        .write_all(first.as_bytes())
        .expect("the sidecar takes it");
    let paused = Instant::now();
    thread::sleep(PAUSE);
    let _crowd = idle_clients(sidecar, 2);
    let written = client.write_all(rest.as_bytes());
    if paused.elapsed() > LONGEST_PAUSE {
        return None;
    }
    written.expect("the connection stays open");
    Some(read_message(client).map(|answer| answer.status()))
}

// A request of which nothing had come for 20 ms used to be closed half read before every idle
// connection (review/8).
#[test]
fn a_request_in_pieces_is_answered_on_a_kept_connection_while_idle_clients_fill_the_places() {
    repeat_until_in_time(|| {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|_| ok("served"));
        let sidecar = Sidecar::start_with(&discovery, &[("s-1", &endpoint)], 1024, DESCRIPTORS);
        let mut client = sidecar.connect();
        client
            .write_all(request_of("first", "look", "").as_bytes())
            .expect("the sidecar takes it");
        assert_eq!(read_message(&mut client).expect("an answer").status(), 200);
        let _crowd = idle_clients(&sidecar, PLACES - 1);
        CUTS.iter().all(|(part, cut)| {
            let pieces = split_request(part, cut);
            let Some(status) = status_beside_a_crowd(&sidecar, &mut client, pieces) else {
                return false;
            };
            assert_eq!(status, Some(200), "cut in the {part}");
            true
        })
    });
}

// The same on a new connection: what has been read and gets no answer is lost there too.
#[test]
fn a_request_in_pieces_is_answered_on_a_new_connection_while_idle_clients_fill_the_places() {
    repeat_until_in_time(|| {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|_| ok("served"));
        let sidecar = Sidecar::start_with(&discovery, &[("s-1", &endpoint)], 1024, DESCRIPTORS);
        let _crowd = idle_clients(&sidecar, PLACES);
        CUTS.iter().all(|(part, cut)| {
            let mut client = sidecar.connect();
            let pieces = split_request(part, cut);
            let Some(status) = status_beside_a_crowd(&sidecar, &mut client, pieces) else {
                return false;
            };
            assert_eq!(status, Some(200), "cut in the {part}");
            true
        })
    });
}

// Where all places are taken by requests that stop half way, some are closed: their clients get an
// answer, which they used not to get.
#[test]
fn a_request_that_is_closed_half_read_for_others_is_refused() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start_with(&discovery, &[("s-1", &endpoint)], 1024, DESCRIPTORS);
    for (part, cut) in CUTS {
        let (first, _) = split_request(part, cut);
        let stop = |_| {
            let mut peer = sidecar.connect();
            peer.write_all(first.as_bytes())
                .expect("the sidecar takes it");
            peer
        };
        let mut peers: Vec<_> = (0..2 * PLACES).map(stop).collect();
        for peer in &mut peers[..PLACES] {
            let answer = read_message(peer).expect("an answer");
            assert!(
                [408, 503].contains(&answer.status()),
                "{part}: {}",
                answer.status()
            );
        }
    }
    assert_eq!(endpoint.requests(), 0);
}
