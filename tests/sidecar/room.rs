//! Room for connections to endpoints.

use crate::ok;
use crate::stubs::*;
use std::io::Write;
use std::net::TcpStream;

/// Descriptors that a sidecar's process may hold here.
const GRANTED: usize = 24;

/// Those that it holds. It may have been given some beyond that number at its start.
fn held(sidecar: &Sidecar) -> usize {
    let path = format!("/proc/{}/fd", sidecar.process.id());
    let names = std::fs::read_dir(path)
        .into_iter()
        .flatten()
        .flatten()
        .map(|entry| entry.file_name());
    names
        .filter_map(|name| name.to_str()?.parse().ok())
        .filter(|number: &usize| *number < GRANTED)
        .count()
}

/// One request on a connection that stays; the status of its answer.
fn ask(client: &mut TcpStream, request: &str) -> u16 {
    client
        .write_all(request.as_bytes())
        .expect("the sidecar takes it");
    read_message(client).expect("an answer").status()
}

// Whom it could not even dial is not to blame, and is served by again as soon as there is room: a
// circuit that opened stays open for as long as an latency objective, 8 s here.
#[test]
fn a_want_of_descriptors_is_booked_against_no_endpoint() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start_with(&discovery, &[("s-1", &endpoint)], GRANTED as u32, 1024);
    discovery.await_watch(1);
    let mut client = sidecar.connect();
    let up = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    assert_eq!(ask(&mut client, up), 200);
    let before = held(&sidecar);
    let crowd: Vec<_> = (0..60).map(|_| sidecar.connect()).collect();
    await_that("all descriptors are taken", || held(&sidecar) == GRANTED);
    // As often as would open its circuit.
    for _ in 0..4 {
        assert_eq!(ask(&mut client, &request("look", "", "")), 503);
    }
    assert_eq!(endpoint.requests(), 0, "there was room");
    drop(crowd);
    await_that("there is room", || held(&sidecar) <= before);
    assert_eq!(ask(&mut client, &request("look", "", "")), 200);
}
