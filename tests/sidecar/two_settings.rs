//! One build under two settings, with the same servers and requests: the behaviour of each
//! deployment follows its own settings.

use crate::ok;
use crate::stubs::*;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::mpsc;
use std::thread;

/// A freight terminal: four attempts, Retry-After is sent, retries are deduplicated everywhere and
/// for long.
const FREIGHT: &str = r#"{"Balancers":3,"Discovery":"on_request","Index":0,
"Lanes":[{"AimUs":2000000,"DeadlineUs":3000000,"Effect":"pure","Name":"status"},
{"AimUs":2000000,"DeadlineUs":3000000,"Effect":"pure","Name":"manifest"},
{"AimUs":2000000,"DeadlineUs":3000000,"Effect":"side_effect","Name":"release"},
{"AimUs":2000000,"DeadlineUs":3000000,"DedupScope":"all","Effect":"token","KeyTtlUs":60000000,"Name":"tally"},
{"AimUs":2000000,"DeadlineUs":3000000,"DedupScope":"all","Effect":"token","KeyTtlUs":60000000,"Name":"order"}],
"Limits":{"DialTimeoutUs":5000000,"IdleCloseUs":2000000,"MaxAttempts":4,"MaxRetryAfterUs":300000,"MayCancel":true,
"MayDuplicate":false,"RetryAfter":true},
"Rules":{"AskWithinUs":2000000,"ColdShare":0.3,"OverloadFactor":3.0,"TipAfterUs":1500000,"WarmWithinUs":8900000},
"Tenants":[{"Name":"north-line","QuotaPerS":98.0,"Share":1.0}],"TickUs":5000,"Zone":"quay","Zones":["quay","yard"]}"#;

/// A hospital: two attempts, no Retry-After, retries are deduplicated only in the own cell, or for
/// no time at all.
const CLINIC: &str = r#"{"Balancers":1,"Discovery":"pushed","Index":0,
"Lanes":[{"AimUs":1000000,"DeadlineUs":1000000,"Effect":"side_effect","Name":"discharge"},
{"AimUs":1000000,"DeadlineUs":1000000,"DedupScope":"all","Effect":"token","KeyTtlUs":5001,"Name":"tally"},
{"AimUs":1000000,"DeadlineUs":1000000,"DedupScope":"cell","Effect":"token","KeyTtlUs":60000000,"Name":"order"},
{"AimUs":1000000,"DeadlineUs":1000000,"Effect":"pure","Name":"release"},
{"AimUs":1000000,"DeadlineUs":1000000,"Effect":"pure","Name":"status"}],
"Limits":{"DialTimeoutUs":5000000,"IdleCloseUs":2000000,"MaxAttempts":2,"MaxRetryAfterUs":300000,"MayCancel":true,
"MayDuplicate":true,"RetryAfter":false},
"Rules":{"AskWithinUs":2000000,"ColdShare":0.3,"OverloadFactor":2.0,"TipAfterUs":1000000,"WarmWithinUs":5000000},
"Tenants":[],"TickUs":5000,"Zone":"ward","Zones":["ward"]}"#;

const SERVERS: usize = 4;

/// Four servers, each a cell of its own, which respond as the request says, and two sidecars of the
/// same build.
struct Two {
    servers: Vec<Endpoint>,
    freight: Sidecar,
    clinic: Sidecar,
    _discovery: [Discovery; 2],
}

/// The client's result, and the servers that its request reached, one entry per attempt.
#[derive(Debug)]
struct Seen {
    status: u16,
    hold_off: Option<String>,
    reached: Vec<usize>,
}

impl Seen {
    fn servers(&self) -> usize {
        self.reached.iter().collect::<BTreeSet<_>>().len()
    }
}

fn does(message: &Message) -> Reply {
    match message.header("x-do") {
        Some("break") => Reply::Close,
        Some("turn-away") => Reply::Answer(503, "X-Unprocessed: 1\r\n", Vec::new()),
        Some("hang") => Reply::Silence,
        _ => ok("served"),
    }
}

impl Two {
    fn start() -> Self {
        let servers: Vec<_> = (0..SERVERS).map(|_| Endpoint::start(does)).collect();
        let discovery = [Discovery::start(), Discovery::start()];
        let begin = |discovery: &Discovery, settings: &str| {
            let known = known(&servers);
            let alter = |text: String| {
                text.replace(SETTINGS, settings)
                    .replace(&list(1, true, &[]), &known)
            };
            Sidecar::start_adapted(discovery, &[], 1024, alter, |command| {
                command.stderr(Stdio::piped());
            })
        };
        let (freight, clinic) = (begin(&discovery[0], FREIGHT), begin(&discovery[1], CLINIC));
        Self {
            servers,
            freight,
            clinic,
            _discovery: discovery,
        }
    }

    /// Sends the same request to both.
    fn ask(&self, request: &str) -> [Seen; 2] {
        [&self.freight, &self.clinic].map(|sidecar| self.ask_at(sidecar, request))
    }

    fn ask_at(&self, sidecar: &Sidecar, request: &str) -> Seen {
        let id = sidecar.address.to_string();
        let before: Vec<_> = (0..SERVERS).map(|s| self.reached(s, &id)).collect();
        let answer = sidecar
            .ask(&request.replace("9b1f03aa", &id))
            .expect("an answer");
        let new = |s: usize| vec![s; self.reached(s, &id) - before[s]];
        Seen {
            status: answer.status(),
            hold_off: answer.header("retry-after").map(str::to_owned),
            reached: (0..SERVERS).flat_map(new).collect(),
        }
    }

    fn reached(&self, server: usize, id: &str) -> usize {
        let seen = self.servers[server].seen.lock().expect("no stub panics");
        seen.iter()
            .filter(|m| m.header("x-correlation-id") == Some(id))
            .count()
    }
}

/// The cached list of both: each server is a cell of its own.
fn known(servers: &[Endpoint]) -> String {
    let entries: Vec<(String, SocketAddr)> = servers
        .iter()
        .enumerate()
        .map(|(n, s)| (format!("s-{n}"), s.address))
        .collect();
    let entries: Vec<_> = entries
        .iter()
        .map(|(name, at)| (name.as_str(), *at, "active"))
        .collect();
    let mut text = list(1, true, &entries);
    for cell in 1..=SERVERS {
        text = text.replacen("\"group\":1,", &format!("\"group\" :{},", 10 + cell), 1);
    }
    text
}

fn of(class: &str, form: &str, does: &str) -> String {
    request(form, &format!("X-Do: {does}\r\n"), "").replace(
        &format!("X-Service-Class: {form}\r\n"),
        &format!("X-Service-Class: {class}\r\n"),
    )
}

const GET: &str = "look";
const POST: &str = "book";
const POST_WITH_KEY: &str = "pay";

#[test]
fn each_deployment_has_its_own_classes_and_retry_rules() {
    let two = Two::start();
    for (class, form, statuses) in [
        ("status", GET, [200, 200]),
        ("manifest", GET, [200, 400]),
        ("discharge", POST, [400, 200]),
        ("release", POST, [200, 400]),
        ("release", GET, [400, 200]),
        ("tally", POST_WITH_KEY, [200, 200]),
        ("tally", POST, [400, 400]),
        ("look", GET, [400, 400]),
        ("", GET, [400, 400]),
    ] {
        let seen = two.ask(&of(class, form, "serve"));
        for (seen, status) in seen.iter().zip(statuses) {
            assert_eq!(seen.status, status, "{class}: {seen:?}");
            assert_eq!(
                seen.reached.len(),
                usize::from(status == 200),
                "{class}: {seen:?}"
            );
        }
    }
    // A tenant that is unknown here is served like a request without one.
    for account in ["north-line", "delta-cargo", ""] {
        let seen = two.ask(&of("status", GET, "serve").replace("acme", account));
        assert_eq!([seen[0].status, seen[1].status], [200, 200], "{account}");
    }
}

#[test]
fn attempts_and_retry_after_follow_the_limits_of_each_deployment() {
    let two = Two::start();
    let [freight, clinic] = two.ask(&of("status", GET, "turn-away"));
    assert_eq!(
        [freight.reached.len(), clinic.reached.len()],
        [4, 2],
        "{freight:?} {clinic:?}"
    );
    assert_eq!([freight.status, clinic.status], [503, 503]);
    // A quarter of the latency objective, but at most what clients honour, where Retry-After is
    // sent.
    assert_eq!(
        [freight.hold_off.as_deref(), clinic.hold_off.as_deref()],
        [Some("0.300"), None]
    );
}

#[test]
fn retries_after_a_broken_connection_follow_effect_and_window() {
    let two = Two::start();
    // Non-idempotent in one deployment, idempotent in the other.
    let once = two.ask_at(&two.freight, &of("release", POST, "break"));
    assert_eq!((once.status, once.reached.len()), (502, 1), "{once:?}");
    let again = two.ask_at(&two.clinic, &of("release", GET, "break"));
    assert_eq!((again.status, again.reached.len()), (503, 2), "{again:?}");
}

#[test]
fn the_deduplication_window_is_that_of_the_deployment() {
    let two = Two::start();
    // Long in one; over before any retry in the other, whose backoff is at least 15 ms.
    let [freight, clinic] = two.ask(&of("tally", POST_WITH_KEY, "break"));
    assert!(freight.reached.len() > 1, "{freight:?}");
    assert_eq!(clinic.reached.len(), 1, "{clinic:?}");
}

#[test]
fn the_deduplicating_servers_are_those_of_the_deployment() {
    let two = Two::start();
    // Everywhere in one; only in the own cell in the other, whose client then must not retry
    // elsewhere.
    let [freight, clinic] = two.ask(&of("order", POST_WITH_KEY, "break"));
    assert!(
        freight.servers() > 1 && freight.status == 503,
        "{freight:?}"
    );
    assert_eq!(
        (clinic.reached.len(), clinic.servers(), clinic.status),
        (2, 1, 502),
        "{clinic:?}"
    );
}

#[test]
fn servers_receive_the_same_from_both_except_for_the_time_left() {
    let two = Two::start();
    let request = of("status", GET, "serve").replace("9b1f03aa", "the-same");
    let heads = [&two.freight, &two.clinic].map(|sidecar| {
        two.servers
            .iter()
            .for_each(|s| s.seen.lock().expect("no stub panics").clear());
        assert_eq!(sidecar.ask(&request).expect("an answer").status(), 200);
        let seen = two
            .servers
            .iter()
            .flat_map(|s| s.seen.lock().expect("no stub panics").clone());
        let mut message = seen.last().expect("one server was reached");
        message
            .headers
            .retain(|(name, _)| !name.eq_ignore_ascii_case("x-time-left"));
        (message.start, message.headers, message.body)
    });
    assert_eq!(heads[0], heads[1]);
}

// The time from SIGTERM to exit follows the longest deadline: 1 s in one deployment, 3 s in the
// other.
#[test]
fn a_shutdown_waits_for_the_longest_deadline_of_the_deployment() {
    let two = Two::start();
    let (order, ended) = mpsc::channel();
    let held: Vec<_> = [("freight", &two.freight), ("clinic", &two.clinic)]
        .into_iter()
        .map(|(name, sidecar)| {
            let mut stream = sidecar.connect();
            let request = of("status", GET, "hang").replace("19000m", "600000m");
            stream
                .write_all(request.as_bytes())
                .expect("the sidecar takes it");
            let order = order.clone();
            thread::spawn(move || order.send((name, read_message(&mut stream).map(|m| m.status()))))
        })
        .collect();
    wait_until("both requests are out", || {
        two.servers.iter().map(Endpoint::requests).sum::<usize>() >= 2
    });
    // The one with the longer deadline is told first.
    two.freight.terminate();
    two.clinic.terminate();
    let all: Vec<_> = (0..held.len())
        .map(|_| ended.recv_timeout(TEST_TIMEOUT).expect("it ends"))
        .collect();
    assert_eq!(
        all.iter().map(|(name, _)| *name).collect::<Vec<_>>(),
        ["clinic", "freight"],
        "{all:?}"
    );
    assert!(
        all.iter()
            .all(|(_, status)| status.is_some_and(|s| s >= 500)),
        "{all:?}"
    );
}
