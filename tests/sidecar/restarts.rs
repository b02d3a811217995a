//! An endpoint whose process restarts at the same address.

use crate::ok;
use crate::stubs::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// One entry of the list, with the start time of its process.
fn started(version: u64, endpoint: &Endpoint, since: SystemTime) -> String {
    let since = since
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_millis();
    list(version, false, &[("s-1", endpoint.address, "active")])
        .replace("\"since_ms\":0", &format!("\"since_ms\":{since}"))
}

/// A sidecar with settings under which a process is warm at once, as slow start is not tested here.
fn sidecar(discovery: &Discovery, endpoint: &Endpoint) -> Sidecar {
    Sidecar::start_altered(discovery, &[("s-1", endpoint)], 1024, |config| {
        config.replace("\"WarmWithinUs\":8900000", "\"WarmWithinUs\":1")
    })
}

// A machine that vanishes leaves its connections open, and resets them once it is back: a request
// written on one of them may have been executed, and a non-idempotent one fails.
#[test]
fn a_connection_from_before_a_restart_is_not_reused() {
    let discovery = Discovery::start();
    let vanished = Arc::new(AtomicBool::new(false));
    let gone = Arc::clone(&vanished);
    let endpoint = Endpoint::start(move |message| match message.header("x-before") {
        // Requests on this connection after the restart are reset.
        Some(_) => {
            let gone = Arc::clone(&gone);
            Reply::By(Box::new(move |stream| {
                answer(stream, 200, "", b"before");
                let next = stream.peek(&mut [0]).unwrap_or(0);
                let reset = next > 0 && gone.load(Ordering::SeqCst);
                if reset {
                    Afterwards::Reset
                } else {
                    Afterwards::KeepOn
                }
            }))
        }
        None => ok("after"),
    });
    let sidecar = sidecar(&discovery, &endpoint);
    let before = sidecar
        .ask(&request("book", "X-Before: 1\r\n", ""))
        .expect("an answer");
    assert_eq!(before.body, b"before");
    vanished.store(true, Ordering::SeqCst);
    // Later than the connection was established.
    let restart = SystemTime::now() + Duration::from_millis(1);
    discovery.publish(2, started(2, &endpoint, restart));
    discovery.wait_for_watch(2);
    // Longer than the reuse delay: the connection would be reused.
    std::thread::sleep(Duration::from_millis(100));
    let after = sidecar.ask(&request("book", "", "")).expect("an answer");
    assert_eq!(
        (after.status(), endpoint.made.load(Ordering::SeqCst)),
        (200, 2)
    );
}

// A restart may be listed when connections to the new process are already in use.
#[test]
fn a_connection_from_after_a_restart_is_kept() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let restart = SystemTime::now();
    let sidecar = sidecar(&discovery, &endpoint);
    for version in [2, 3] {
        assert_eq!(
            sidecar
                .ask(&request("book", "", ""))
                .expect("an answer")
                .status(),
            200
        );
        // The second time it is listed as before.
        discovery.publish(version, started(version, &endpoint, restart));
        discovery.wait_for_watch(version);
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .status(),
        200
    );
    assert_eq!(endpoint.made.load(Ordering::SeqCst), 1);
}
