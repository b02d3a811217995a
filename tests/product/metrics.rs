//! The metrics page.

use crate::harness::*;
use crate::stubs::*;
use std::net::TcpStream;
use std::thread;

#[test]
fn metrics_count_events_and_survive_a_reload() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|message| match message.header("x-fail") {
        Some(_) => Reply::Answer(500, "", Vec::new()),
        None => served(),
    });
    let at = unused_address();
    let file = File::new(&metrics(at, ""));
    let (sidecar, said) = start(&discovery, &endpoint, &file);
    for _ in 0..20 {
        assert_eq!(ask(&sidecar), 200);
    }
    assert_eq!(
        sidecar
            .ask(&request("book", "X-Fail: 1\r\n", "{}"))
            .expect("an answer")
            .status(),
        502
    );
    thread::scope(|scope| {
        scope.spawn(|| (0..5).for_each(|_| sidecar.signal("-HUP")));
        for _ in 0..20 {
            assert!(page(at, "/metrics").starts_with("HTTP/1.1 200 OK\r\n"));
        }
    });
    wait_until("a reload was made", || {
        said.count("product configuration reloaded: nothing changed") >= 1
    });
    let text = page(at, "/metrics");
    for line in [
        "sidecar_requests_total{class=\"look\",outcome=\"served\"} 20",
        "sidecar_requests_total{class=\"book\",outcome=\"failed\"} 1",
        "sidecar_attempts_total{outcome=\"served\"} 20",
        "sidecar_attempts_total{outcome=\"error\"} 1",
        "sidecar_request_duration_seconds_count{class=\"look\"} 20",
        "sidecar_given_up_total{reason=\"failing\"} 1",
        "sidecar_endpoints{state=\"ready\"} 1",
        "sidecar_open_requests 0",
        "sidecar_circuits_open 0",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
    }
    assert!(!text.contains("9b1f03aa"), "an id is no label");
    assert!(page(at, "/else").starts_with("HTTP/1.1 404 "));
}

#[test]
fn silent_readers_block_no_request() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| served());
    let at = unused_address();
    let file = File::new(&metrics(at, "readers = 2\ntimeout = \"600s\"\n"));
    let (sidecar, _said) = start(&discovery, &endpoint, &file);
    let stuck: Vec<_> = (0..2)
        .map(|_| TcpStream::connect(at).expect("it accepts"))
        .collect();
    wait_until("both are in", || page(at, "/metrics").is_empty());
    assert_eq!(ask(&sidecar), 200);
    drop(stuck);
    wait_until("there is room again", || {
        page(at, "/metrics").contains("sidecar_requests_total")
    });
}

#[test]
fn an_address_in_use_ends_the_start() {
    let holder = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = holder.local_addr().expect("an address");
    let file = File::new(&metrics(at, ""));
    let platform = File::new(&config(unused_address(), unused_address(), "null"));
    let output = run(
        &["--config", file.0.to_str().expect("text")],
        &[("LB_CONFIG", platform.0.to_str().expect("text"))],
    );
    let said = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(69), "{said}");
    assert!(
        said.starts_with(&format!("sidecar: cannot listen on metrics.address {at}: ")),
        "{said}"
    );
    assert_eq!(said.lines().count(), 1, "{said}");
}
