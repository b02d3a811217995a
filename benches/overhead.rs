//! What counting costs against what deciding costs: the same requests through the module, alone and
//! with the operations that the sidecar's observer does for each. Prints the ratio of several
//! pairs; judges nothing.
//!
//! `cargo bench --features product --profile product --bench overhead`

use load_balancer::settings::decode;
use load_balancer::{
    Action, AttemptEnd, Balancer, EndpointStatus, Event, ListUpdate, ListedEndpoint, LoadReport,
    Micros, NewRequest, Outcome,
};
use load_balancer_common::metering::MetricsRegistry;
use std::time::{Duration, Instant};

/// Endpoints on the list: the size of the whole fleet.
const ENDPOINTS: usize = 200;
/// Requests in one run, and pairs of runs.
const REQUESTS: u64 = 20_000;
const PAIRS: usize = 15;
/// Time between requests and until their answers: ten requests a second, answered in 80 ms.
const SPACING: Micros = 100_000;
const TAKES: Micros = 80_000;

const SETTINGS: &str = r#"{"Balancers":300,"Discovery":"pushed","Index":0,
"Lanes":[{"AimUs":1000000,"DeadlineUs":3000000,"Effect":"pure","Name":"look"}],
"Limits":{"MaxAttempts":3,"MayCancel":true,"MayDuplicate":true},
"Rules":{"ColdShare":0.3,"OverloadFactor":2.5,"TipAfterUs":1000000,"WarmWithinUs":7400000},"TickUs":5000}"#;

/// Passes all requests through a fresh module; `each` is called where the observer would be.
fn pass(mut each: impl FnMut()) -> Duration {
    let decoded = decode(SETTINGS).expect("the settings are good");
    let mut balancer = Balancer::new(decoded.settings, 7).expect("the settings can be used");
    let listing = |endpoint| ListedEndpoint {
        endpoint,
        zone: None,
        cell: endpoint as u64 / 6,
        kind: Some(endpoint % 3),
        status: EndpointStatus::Ready,
        size: 1.0,
        started: None,
        alias: 0,
    };
    let mut out = Vec::new();
    let list = ListUpdate::Full((0..ENDPOINTS).map(listing).collect());
    balancer.handle(0, Event::Endpoints(list), &mut out);
    let start = Instant::now();
    for id in 1..=REQUESTS {
        let now = id as Micros * SPACING;
        out.clear();
        let deadline = now + 3_000_000;
        let request = NewRequest {
            id,
            class: 0,
            tenant: None,
            key: None,
            affinity_endpoints: Vec::new(),
            deadline,
            work: None,
            is_retry: false,
        };
        balancer.handle(now, Event::Request(request), &mut out);
        let sent = out.iter().find_map(|a| match a {
            Action::Send { endpoint, .. } => Some(*endpoint),
            _ => None,
        });
        let endpoint = sent.expect("servers have room");
        each();
        let end = AttemptEnd {
            request: id,
            attempt: 0,
            endpoint,
            outcome: Outcome::Ok,
            elapsed: TAKES,
            request_answered: true,
            load: LoadReport::default(),
        };
        balancer.handle(now + TAKES, Event::AttemptEnded(end), &mut out);
    }
    start.elapsed()
}

fn main() {
    let figures = MetricsRegistry::new();
    let (attempts, requests) = (
        figures.counter("a_total", "", &[]),
        figures.counter("b_total", "", &[]),
    );
    let (of_attempt, of_request) = (
        figures.seconds("a_seconds", "", &[]),
        figures.seconds("b_seconds", "", &[]),
    );
    let counted = || {
        attempts.increment(1);
        of_attempt.record(0.08);
        requests.increment(1);
        of_request.record(0.08);
    };
    let mut ratios: Vec<f64> = Vec::new();
    for _ in 0..PAIRS {
        let (alone, with) = (pass(|| {}), pass(counted));
        // As the sidecar does every few seconds.
        std::hint::black_box(figures.render());
        ratios.push(with.as_secs_f64() / alone.as_secs_f64());
    }
    ratios.sort_by(f64::total_cmp);
    let per_request = pass(|| {}).as_secs_f64() / REQUESTS as f64 * 1e6;
    println!(
        "deciding one request: {per_request:.2} us, {ENDPOINTS} endpoints, {REQUESTS} requests a run"
    );
    println!(
        "with counting over without, {PAIRS} pairs: least {:.3}, median {:.3}, most {:.3}",
        ratios[0],
        ratios[PAIRS / 2],
        ratios[PAIRS - 1]
    );
}
