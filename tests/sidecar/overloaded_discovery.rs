//! Many sidecars at a discovery that refuses calls beyond what it can do: no request reaches an
//! endpoint that drains later than the protocol allows.

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
/// What a new discovery has counts as known this long after the reload.
const RELOAD_DEADLINE: Duration = Duration::from_secs(4);
/// How long after that requests may still reach an endpoint that drains, with the slack of rules on
/// sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(300 + 50);
/// How long requests are sent after that.
const OBSERVED_TIME: Duration = Duration::from_secs(1);
/// From one request of a client to the next.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Two endpoints, one of which begins to drain.
struct Endpoints {
    leaving: Endpoint,
    staying: Endpoint,
    /// When no request may reach the draining one any more.
    closed_at: Arc<Mutex<Option<Instant>>>,
    late_requests: Arc<AtomicUsize>,
}

impl Endpoints {
    fn start() -> Self {
        let closed_at: Arc<Mutex<Option<Instant>>> = Arc::default();
        let late_requests = Arc::new(AtomicUsize::new(0));
        let (closed, late) = (Arc::clone(&closed_at), Arc::clone(&late_requests));
        let leaving = Endpoint::start(move |_| {
            let closed = *closed.lock().expect("no stub panics");
            if closed.is_some_and(|at| Instant::now() > at) {
                late.fetch_add(1, Ordering::SeqCst);
            }
            ok("leaving")
        });
        Self {
            leaving,
            staying: Endpoint::start(|_| ok("staying")),
            closed_at,
            late_requests,
        }
    }

    fn known(&self) -> [(&str, &Endpoint); 2] {
        [("s-leaving", &self.leaving), ("s-staying", &self.staying)]
    }

    /// The whole list as of a version.
    fn list(&self, version: u64, status: &str) -> String {
        let entries = [
            ("s-leaving", self.leaving.address, status),
            ("s-staying", self.staying.address, "active"),
        ];
        list(version, true, &entries)
    }

    /// Makes one endpoint drain as of version 2.
    fn publish_drain(&self, discovery: &OverloadedDiscovery) {
        let change = [("s-leaving", self.leaving.address, "leaving")];
        discovery.publish(2, self.list(2, "leaving"), list(2, false, &change));
    }

    /// From that time on no request may reach the draining endpoint.
    fn close(&self, at: Instant) {
        *self.closed_at.lock().expect("no stub panics") = Some(at);
    }

    /// Sends requests through all sidecars while `act` makes the endpoint drain, and then up to the
    /// time that it returns; checks that none reaches the endpoint after it.
    fn check_drain(
        &self,
        sidecars: &[Sidecar],
        discovery: &OverloadedDiscovery,
        act: impl FnOnce() -> Instant,
    ) {
        let ended = AtomicBool::new(false);
        thread::scope(|scope| {
            for sidecar in sidecars {
                let ended = &ended;
                scope.spawn(move || send_requests(sidecar, ended));
            }
            wait_until("both serve", || {
                self.leaving.requests() > 0 && self.staying.requests() > 0
            });
            let closed_at = act();
            self.close(closed_at);
            thread::sleep((closed_at + OBSERVED_TIME).saturating_duration_since(Instant::now()));
            ended.store(true, Ordering::SeqCst);
        });
        assert!(discovery.refused() > 0, "every call was admitted");
        assert_eq!(
            self.late_requests.load(Ordering::SeqCst),
            0,
            "requests reached it later than allowed, {} calls were refused",
            discovery.refused()
        );
    }
}

fn send_requests(sidecar: &Sidecar, ended: &AtomicBool) {
    while !ended.load(Ordering::SeqCst) {
        let answer = sidecar.ask(&request("look", "", "")).expect("an answer");
        // Without a list yet, requests are rejected.
        assert!([200, 503].contains(&answer.status()), "{}", answer.start);
        thread::sleep(REQUEST_INTERVAL);
    }
}

/// Starts sidecars at the same time, so that their first calls come together.
fn start_together(
    discovery: SocketAddr,
    known: &[(&str, &Endpoint)],
    alter: impl Fn(String) -> String + Sync,
) -> Vec<Sidecar> {
    let nobody = Discovery::start();
    let (nowhere, there) = (nobody.address.to_string(), discovery.to_string());
    let start = |number: usize| {
        let seed = format!("{number:016x}");
        let alter = |config: String| {
            alter(config)
                .replace(&nowhere, &there)
                .replace("8c1f30d27a5be964", &seed)
        };
        Sidecar::start_adapted(&nobody, known, 1024, alter, |command| {
            command.env("LB_DISCOVERY", &there);
        })
    };
    thread::scope(|scope| {
        let start = &start;
        let starts: Vec<_> = (0..SIDECARS)
            .map(|number| scope.spawn(move || start(number)))
            .collect();
        let started = starts.into_iter().map(|start| start.join());
        started.map(|sidecar| sidecar.expect("it starts")).collect()
    })
}

// Sidecars whose first watch was refused asked again without a wait, three times a second each: the
// refused calls kept discovery overloaded, and an admitted one opened no watch, so that most never
// got one and sent to servers that drained.
#[test]
fn no_request_reaches_a_draining_endpoint_although_discovery_refuses_most_calls() {
    let endpoints = Endpoints::start();
    let discovery = OverloadedDiscovery::start(SIDECARS / 4, endpoints.list(1, "active"));
    let sidecars = start_together(discovery.address, &endpoints.known(), |config| config);
    endpoints.check_drain(&sidecars, &discovery, || {
        endpoints.publish_drain(&discovery);
        Instant::now() + CHANGE_DEADLINE + DRAIN_GRACE
    });
}

// Each needs two calls, one for the list and one for its watch.
#[test]
fn processes_that_start_without_a_list_learn_of_a_drain_although_calls_are_refused() {
    let endpoints = Endpoints::start();
    let discovery = OverloadedDiscovery::start(SIDECARS / 2, endpoints.list(1, "active"));
    let sidecars = start_together(discovery.address, &[], |config| {
        let mut config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
        config["known"] = serde_json::Value::Null;
        config.to_string()
    });
    endpoints.check_drain(&sidecars, &discovery, || {
        endpoints.publish_drain(&discovery);
        Instant::now() + CHANGE_DEADLINE + DRAIN_GRACE
    });
}

#[test]
fn a_reload_that_moves_all_sidecars_to_an_overloaded_discovery_is_followed_in_time() {
    let endpoints = Endpoints::start();
    let before = Discovery::start();
    let discovery = OverloadedDiscovery::start(SIDECARS / 2, endpoints.list(1, "active"));
    endpoints.publish_drain(&discovery);
    let sidecars = start_together(before.address, &endpoints.known(), |config| config);
    before.wait_for_watch(1);
    let [from, to] =
        [before.address, discovery.address].map(|at| format!("\"discovery\":\"{at}\""));
    endpoints.check_drain(&sidecars, &discovery, || {
        for sidecar in &sidecars {
            sidecar.reconfigure(|config| config.replace(&from, &to));
        }
        Instant::now() + RELOAD_DEADLINE + DRAIN_GRACE
    });
}
