//! The endpoint list while the discovery agent is silent, slow or failing.

mod stubs;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use stubs::*;

/// The protocol assumes a missed change to be known this long after a watch stops answering, in
/// milliseconds.
const CHANGE_DEADLINE_MS: u64 = 6000;

/// An agent that never answers open watches, and answers other calls with its latest list.
struct Agent {
    address: SocketAddr,
    state: Arc<Mutex<Known>>,
}

#[derive(Default)]
struct Known {
    /// The latest version, and the answer to a call with an older one.
    version: u64,
    body: String,
    /// Whether calls are answered with 503.
    failing: bool,
    calls: Vec<String>,
    /// Connections with an unanswered call.
    silent: Vec<TcpStream>,
}

impl Agent {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let agent = Self {
            address: listener.local_addr().expect("an address"),
            state: Arc::default(),
        };
        let state = agent.state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = state.clone();
                thread::spawn(move || Self::serve(stream, &state));
            }
        });
        agent
    }

    fn serve(mut stream: TcpStream, state: &Mutex<Known>) {
        while let Some(call) = read_message(&mut stream) {
            let mut known = state.lock().expect("no stub panics");
            known.calls.push(call.start.clone());
            let after = field(&call.start, "after").unwrap_or(0);
            if known.failing {
                answer(&mut stream, 503, "", b"");
            } else if known.version > after {
                answer(&mut stream, 200, "", known.body.clone().as_bytes());
            } else {
                // A call that waits for changes is never answered.
                known
                    .silent
                    .push(stream.try_clone().expect("a socket can be cloned"));
            }
        }
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.state.lock().expect("no stub panics")
    }

    /// Number of calls for changes after that version so far.
    fn watches(&self, version: u64) -> usize {
        self.known()
            .calls
            .iter()
            .filter(|call| field(call, "after") == Some(version))
            .count()
    }

    fn sidecar(&self, discovery: &str, endpoints: &[(&str, &Endpoint)]) -> Sidecar {
        let altered = |config: String| config.replace("on_request", discovery);
        let at = self.address.to_string();
        let none = Discovery::start();
        Sidecar::start_adapted(&none, endpoints, 1024, altered, |command| {
            command.env("LB_DISCOVERY", at);
        })
    }
}

/// A numeric query parameter of a call.
fn field(call: &str, name: &str) -> Option<u64> {
    let (_, query) = call.split_once('?')?;
    let value = query
        .split(['&', ' '])
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    value?.parse().ok()
}

// Invariant: a change missed by a silent watch is received before it is assumed to be known, even
// if the next call fails too. So the wait that is requested leaves time for three answers of a
// second each.
#[test]
fn a_silent_watch_is_reopened_before_the_changes_it_misses_are_assumed_known() {
    for mode in ["pushed", "on_request"] {
        let agent = Agent::start();
        let (old, new) = (
            Endpoint::start(|_| served("old")),
            Endpoint::start(|_| served("new")),
        );
        let sidecar = agent.sidecar(mode, &[("s-old", &old)]);
        wait_until("the watch is open", || agent.watches(1) == 1);
        let wait = agent
            .known()
            .calls
            .iter()
            .find_map(|call| field(call, "wait_ms"));
        assert!(
            wait.is_some_and(|ms| ms > 0 && ms + 3000 <= CHANGE_DEADLINE_MS),
            "{mode}: {wait:?}"
        );
        {
            let mut known = agent.known();
            let changes = [
                ("s-old", old.address, "leaving"),
                ("s-new", new.address, "active"),
            ];
            (known.version, known.body) = (2, list(2, false, &changes));
        }
        wait_until("the silent watch is given up and opened anew", || {
            agent.watches(2) == 1
        });
        // It requests what it missed, not the whole list again,
        assert_eq!(agent.watches(1), 2, "{mode}");
        // and without a wait; otherwise a second silence would last as long as the first.
        let waits: Vec<_> = agent
            .known()
            .calls
            .iter()
            .filter_map(|call| field(call, "wait_ms"))
            .collect();
        assert!(
            waits[0] > 0 && waits[1] == 0 && waits[2] > 0,
            "{mode}: {waits:?}"
        );
        assert_eq!(
            sidecar
                .ask(&request("book", "", ""))
                .expect("an answer")
                .body,
            b"new"
        );
        assert_eq!(old.requests(), 0);
    }
}

#[test]
fn an_answer_to_an_abandoned_watch_changes_nothing() {
    let agent = Agent::start();
    let (old, new) = (
        Endpoint::start(|_| served("old")),
        Endpoint::start(|_| served("new")),
    );
    let sidecar = agent.sidecar("pushed", &[("s-old", &old)]);
    wait_until("the watch is open", || agent.watches(1) == 1);
    {
        let mut known = agent.known();
        (known.version, known.body) = (3, list(3, true, &[("s-new", new.address, "active")]));
    }
    wait_until("the newer list is followed", || agent.watches(3) == 1);
    // An older list, as the agent would have sent it while the watch was open.
    let late = list(2, true, &[("s-old", old.address, "active")]);
    let mut first = agent.known().silent.swap_remove(0);
    answer(&mut first, 200, "", late.as_bytes());
    assert!(wait_for_close(&mut first), "the given-up watch is closed");
    for _ in 0..5 {
        assert_eq!(
            sidecar
                .ask(&request("book", "", ""))
                .expect("an answer")
                .body,
            b"new"
        );
    }
    assert_eq!(old.requests(), 0);
}

#[test]
fn a_failed_call_does_not_change_the_list_and_is_repeated() {
    let agent = Agent::start();
    agent.known().failing = true;
    let (old, new) = (
        Endpoint::start(|_| served("old")),
        Endpoint::start(|_| served("new")),
    );
    let sidecar = agent.sidecar("pushed", &[("s-old", &old)]);
    wait_until("several calls have failed", || agent.watches(1) >= 3);
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .body,
        b"old"
    );
    {
        let mut known = agent.known();
        let changes = [
            ("s-old", old.address, "leaving"),
            ("s-new", new.address, "active"),
        ];
        (known.failing, known.version, known.body) = (false, 2, list(2, false, &changes));
    }
    wait_until("the list is followed again", || agent.watches(2) == 1);
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .body,
        b"new"
    );
}

fn served(body: &str) -> Reply {
    Reply::Answer(200, "", body.as_bytes().to_vec())
}
