//! Many sidecars at a discovery that refuses calls beyond what it can do.

use crate::ok;
use crate::stubs::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SIDECARS: usize = 32;
/// A change counts as known this long after discovery had it, whatever calls were refused.
const CHANGE_DEADLINE: Duration = Duration::from_secs(6);
/// How long after that requests may still reach an endpoint that drains, with the slack of rules on
/// sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(300 + 50);
/// From one request of a client to the next.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Starts sidecars at the same time, so that their first calls come together.
fn start_together(discovery: SocketAddr, endpoints: &[(&str, &Endpoint)]) -> Vec<Sidecar> {
    let nobody = Discovery::start();
    thread::scope(|scope| {
        let starts: Vec<_> = (0..SIDECARS)
            .map(|number| {
                let nobody = &nobody;
                scope.spawn(move || start(nobody, discovery, endpoints, number))
            })
            .collect();
        let started = starts.into_iter().map(|start| start.join());
        started.map(|sidecar| sidecar.expect("it starts")).collect()
    })
}

fn start(
    nobody: &Discovery,
    discovery: SocketAddr,
    endpoints: &[(&str, &Endpoint)],
    number: usize,
) -> Sidecar {
    let (nowhere, there) = (nobody.address.to_string(), discovery.to_string());
    let seed = format!("{number:016x}");
    let alter = |config: String| {
        config
            .replace(&nowhere, &there)
            .replace("8c1f30d27a5be964", &seed)
    };
    Sidecar::start_adapted(nobody, endpoints, 1024, alter, |command| {
        command.env("LB_DISCOVERY", &there);
    })
}

// Sidecars whose first watch was refused asked again without a wait, three times a second each: the
// refused calls kept discovery overloaded, and an admitted one opened no watch, so that most never
// got one and sent to servers that drained.
#[test]
fn no_request_reaches_a_draining_endpoint_although_discovery_refuses_most_calls() {
    let discovery = OverloadedDiscovery::start(SIDECARS / 4);
    let drained_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let late = Arc::new(AtomicUsize::new(0));
    let (drained, counted) = (Arc::clone(&drained_at), Arc::clone(&late));
    let leaving = Endpoint::start(move |_| {
        let drained = *drained.lock().expect("no stub panics");
        if drained.is_some_and(|at| at.elapsed() > CHANGE_DEADLINE + DRAIN_GRACE) {
            counted.fetch_add(1, Ordering::SeqCst);
        }
        ok("leaving")
    });
    let staying = Endpoint::start(|_| ok("staying"));
    let endpoints = [("s-leaving", &leaving), ("s-staying", &staying)];
    let sidecars = start_together(discovery.address, &endpoints);
    let ended = AtomicBool::new(false);
    thread::scope(|scope| {
        for sidecar in &sidecars {
            let ended = &ended;
            scope.spawn(move || {
                while !ended.load(Ordering::SeqCst) {
                    let answer = sidecar.ask(&request("look", "", ""));
                    assert_eq!(answer.expect("an answer").status(), 200);
                    thread::sleep(REQUEST_INTERVAL);
                }
            });
        }
        wait_until("both serve", || {
            leaving.requests() > 0 && staying.requests() > 0
        });
        let change = [("s-leaving", leaving.address, "leaving")];
        discovery.publish(2, list(2, false, &change));
        *drained_at.lock().expect("no stub panics") = Some(Instant::now());
        thread::sleep(CHANGE_DEADLINE + DRAIN_GRACE + Duration::from_secs(1));
        ended.store(true, Ordering::SeqCst);
    });
    assert!(discovery.refused() > 0, "every call was admitted");
    assert_eq!(
        late.load(Ordering::SeqCst),
        0,
        "requests reached it later than allowed, {} calls were refused",
        discovery.refused()
    );
}
