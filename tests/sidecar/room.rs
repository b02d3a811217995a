//! Shortage of descriptors for connections to endpoints.

use crate::ok;
use crate::stubs::*;
use std::io::Write;
use std::net::TcpStream;

/// File descriptors that the process may use here.
const DESCRIPTOR_LIMIT: usize = 24;

/// Descriptors in use. The process may have inherited some beyond the limit.
fn held(sidecar: &Sidecar) -> usize {
    let path = format!("/proc/{}/fd", sidecar.process.id());
    let names = std::fs::read_dir(path)
        .into_iter()
        .flatten()
        .flatten()
        .map(|entry| entry.file_name());
    names
        .filter_map(|name| name.to_str()?.parse().ok())
        .filter(|number: &usize| *number < DESCRIPTOR_LIMIT)
        .count()
}

/// Sends one request on a persistent connection; returns the status.
fn ask(client: &mut TcpStream, request: &str) -> u16 {
    client
        .write_all(request.as_bytes())
        .expect("the sidecar takes it");
    read_message(client).expect("an answer").status()
}

// An endpoint that could not be dialled for lack of descriptors is not to blame, and is used again
// at once; a circuit would stay open for as long as a latency objective, 8 s here.
#[test]
fn a_shortage_of_descriptors_does_not_count_against_an_endpoint() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start_with(
        &discovery,
        &[("s-1", &endpoint)],
        DESCRIPTOR_LIMIT as u32,
        1024,
    );
    discovery.wait_for_watch(1);
    let mut client = sidecar.connect();
    let up = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    assert_eq!(ask(&mut client, up), 200);
    let before = held(&sidecar);
    let crowd: Vec<_> = (0..60).map(|_| sidecar.connect()).collect();
    wait_until("all descriptors are taken", || {
        held(&sidecar) == DESCRIPTOR_LIMIT
    });
    // As often as would open its circuit.
    for _ in 0..4 {
        assert_eq!(ask(&mut client, &request("look", "", "")), 503);
    }
    assert_eq!(endpoint.requests(), 0, "there was room");
    drop(crowd);
    wait_until("there is room", || held(&sidecar) <= before);
    assert_eq!(ask(&mut client, &request("look", "", "")), 200);
}
