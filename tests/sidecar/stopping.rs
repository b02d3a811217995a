//! Shutdown of a sidecar.

use crate::stubs::*;
use std::io::Write;
use std::time::Duration;

#[test]
fn a_shutdown_completes_open_requests_and_accepts_late_ones() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::Later(Duration::from_millis(700), b"late".to_vec()));
    let mut sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let (mut held, mut idle) = (sidecar.connect(), sidecar.connect());
    idle.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        .expect("the sidecar takes it");
    assert_eq!(read_message(&mut idle).expect("an answer").status(), 200);
    held.write_all(request("book", "", "").as_bytes())
        .expect("the sidecar takes it");
    wait_until("the request is out", || endpoint.requests() == 1);
    sidecar.terminate();
    assert!(wait_for_close(&mut idle), "an idle connection stayed open");
    // It closes idle connections, so it was told; new ones are still accepted.
    assert_eq!(
        sidecar
            .ask(&request("look", "", ""))
            .expect("an answer")
            .body,
        b"late"
    );
    let answer = read_message(&mut held).expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    assert!(wait_for_close(&mut held));
    assert_eq!(sidecar.wait_for_exit().code(), Some(0));
}

#[test]
fn a_shutdown_ends_in_time_although_an_endpoint_is_silent() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::Silence);
    let mut sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut held = sidecar.connect();
    held.write_all(request("book", "", "").as_bytes())
        .expect("the sidecar takes it");
    wait_until("the request is out", || endpoint.requests() == 1);
    sidecar.terminate();
    assert_eq!(read_message(&mut held).expect("an answer").status(), 502);
    assert_eq!(sidecar.wait_for_exit().code(), Some(0));
}

// Its open requests may be forwarded by the list until it exits.
#[test]
fn a_reload_during_the_shutdown_still_moves_discovery() {
    let (before, after) = (Discovery::start(), Discovery::start());
    let endpoint = Endpoint::start(|_| Reply::Silence);
    let sidecar = Sidecar::start(&before, &[("s-1", &endpoint)]);
    before.wait_for_watch(1);
    let mut held = sidecar.connect();
    held.write_all(request("book", "", "").as_bytes())
        .expect("the sidecar takes it");
    wait_until("the request is out", || endpoint.requests() == 1);
    after.publish(1, list(1, true, &[("s-1", endpoint.address, "active")]));
    sidecar.terminate();
    sidecar.reconfigure(|config| {
        config.replace(&before.address.to_string(), &after.address.to_string())
    });
    assert_eq!(read_message(&mut held).expect("an answer").status(), 502);
    assert!(
        !after.calls().is_empty(),
        "it ended without having asked there"
    );
}
