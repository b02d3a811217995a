//! The endpoints of a play, what they observe, and the play itself.

use crate::crowd;
use crate::plan::{Crowd, Plan};
use crate::signals::Supervisor;
use crate::sound_client::SoundClient;
use crate::stubs::*;
use crate::verdict::Verdict;
use fastrand::Rng;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How much more time than its client has an endpoint may be told.
const TOLD_SLACK: Duration = Duration::from_millis(150);
/// An attempt may begin this long after its client has left: 0.1 s, 0.05 s more on sockets, and 0.15 s
/// for which a sidecar may be held up.
const AFTER_LEAVING: Duration = Duration::from_millis(300);
/// How long an endpoint works on a request.
const MAX_WORK_MS: u64 = 30;
/// After the last signal.
const LAST_WATCH: Duration = Duration::from_millis(700);

/// The requests that clients sent, and what endpoints saw of them.
#[derive(Default)]
pub struct Requests {
    sent: Mutex<HashMap<String, SentRequest>>,
    told_too_much: Mutex<Vec<String>>,
    repeated: Mutex<Vec<String>>,
}

struct SentRequest {
    class: String,
    sent: Instant,
    time_left: Duration,
    left: Option<Instant>,
    /// When an endpoint last received it: later attempts began after that.
    last_received: Option<Instant>,
    /// An endpoint has received it and may have run it.
    may_have_run: bool,
}

impl Requests {
    pub fn note_sent(&self, id: &str, class: &str, sent: Instant, time_left: Duration) {
        let mut requests = self.sent.lock().expect("no holder panics");
        let request = requests.entry(id.to_owned()).or_insert(SentRequest {
            class: class.to_owned(),
            sent,
            time_left,
            left: None,
            last_received: None,
            may_have_run: false,
        });
        request.sent = sent;
    }

    pub fn note_left(&self, id: &str) {
        let mut requests = self.sent.lock().expect("no holder panics");
        if let Some(request) = requests.get_mut(id) {
            request.left = Some(Instant::now());
        }
    }

    /// Checks a request that an endpoint received; `is_rejected` tells whether it never runs.
    fn check_received(&self, message: &Message, is_rejected: bool) {
        let now = Instant::now();
        let id = message.header("x-correlation-id").unwrap_or("").to_owned();
        let mut requests = self.sent.lock().expect("no holder panics");
        let Some(request) = requests.get_mut(&id) else {
            return;
        };
        let told = message
            .header("x-time-left")
            .and_then(|v| v.strip_suffix('u')?.parse().ok());
        let told = Duration::from_micros(told.unwrap_or(0));
        // When it was written is not known here, only what it was not before.
        let not_before = request.last_received.replace(now).unwrap_or(request.sent);
        let passed = not_before.saturating_duration_since(request.sent);
        let has = request.time_left.saturating_sub(passed) + TOLD_SLACK;
        if told > has {
            let case = format!("{id} told {told:?} of {:?}", request.time_left);
            self.told_too_much
                .lock()
                .expect("no holder panics")
                .push(case);
        }
        if request.class == "book" && request.may_have_run {
            self.repeated
                .lock()
                .expect("no holder panics")
                .push(id.clone());
        }
        if request.left.is_some_and(|left| now > left + AFTER_LEAVING) {
            let late = request.left.map(|left| now - left);
            let case = format!("{id} began {late:?} after its client had left");
            self.repeated.lock().expect("no holder panics").push(case);
        }
        request.may_have_run |= !is_rejected;
    }
}

/// An endpoint that fails some requests.
fn endpoint(plan: &Plan, number: usize, requests: &Arc<Requests>) -> Endpoint {
    let rng = Mutex::new(Rng::with_seed(plan.seed * 100 + number as u64));
    let (faults, requests) = (plan.faults_per_mille, Arc::clone(requests));
    Endpoint::start(move |message| {
        let mut rng = rng.lock().expect("no holder panics");
        let fault = (rng.u32(0..1000) < faults).then(|| rng.u32(0..4));
        requests.check_received(message, fault == Some(0));
        let body = match message.header("x-large") {
            Some(_) => vec![b'a'; 60_000],
            None => b"served".to_vec(),
        };
        match fault {
            Some(0) => Reply::Answer(503, "X-Unprocessed: 1\r\n", Vec::new()),
            Some(1) => Reply::Answer(500, "", Vec::new()),
            Some(2) => Reply::Close,
            Some(_) => Reply::Silence,
            None => Reply::Later(Duration::from_millis(rng.u64(1..MAX_WORK_MS)), body),
        }
    })
}

/// Plays a plan.
pub fn play(plan: &Plan) -> Verdict {
    let discovery = Discovery::start();
    let requests = Arc::new(Requests::default());
    let start = |number| endpoint(plan, number, &requests);
    let endpoints: Vec<_> = (0..plan.endpoints).map(start).collect();
    let names: Vec<_> = (0..plan.endpoints).map(|n| format!("s-{n}")).collect();
    let known: Vec<_> = names
        .iter()
        .zip(&endpoints)
        .map(|(name, endpoint)| (name.as_str(), endpoint.address, "active"))
        .collect();
    let mut supervisor = Supervisor::start(plan, discovery.address, &list(1, true, &known));
    let stopped = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..plan.sound_clients)
        .map(|number| {
            let client = SoundClient {
                number,
                process: Arc::clone(&supervisor.process),
                requests: Arc::clone(&requests),
                stopped: Arc::clone(&stopped),
                rng: Rng::with_seed(plan.seed * 1000 + number as u64),
                max_time_left: plan.deadline,
                is_crowded: plan.crowd != Crowd::Absent,
            };
            thread::spawn(move || client.run())
        })
        .collect();
    let crowd = {
        let (plan, process) = (plan.clone(), Arc::clone(&supervisor.process));
        let (requests, stopped) = (Arc::clone(&requests), Arc::clone(&stopped));
        thread::spawn(move || {
            crowd::run(plan.crowd, plan.descriptors, &process, &requests, &stopped);
        })
    };
    let mut verdict = Verdict {
        what: format!("{plan:?}"),
        memory_limit_kb: plan.memory_mb * 1024,
        descriptor_limit: plan.descriptors as usize,
        ..Verdict::default()
    };
    for (pause, signal) in &plan.signals {
        supervisor.watch(*pause, &mut verdict);
        supervisor.send(*signal, &mut verdict);
    }
    supervisor.watch(LAST_WATCH, &mut verdict);
    stopped.store(true, Ordering::SeqCst);
    for client in clients {
        verdict.add(client.join().expect("no client panics"));
    }
    crowd.join().expect("the crowd does not panic");
    verdict.told_too_much =
        std::mem::take(&mut requests.told_too_much.lock().expect("no holder panics"));
    verdict.repeated = std::mem::take(&mut requests.repeated.lock().expect("no holder panics"));
    verdict
}
