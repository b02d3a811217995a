//! A discovery that many sidecars share, and that refuses calls beyond what it can do.

use super::message::{answer, read_message};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A watch continues if the next call comes this soon after its last answer.
const WATCH_GAP: Duration = Duration::from_millis(200);
/// What a refused call costs, as a fraction of an admitted one.
const REFUSAL_COST: f64 = 1.0 / 20.0;

/// Admits a limited number of calls, except for those that continue a watch, and answers others with
/// 503.
pub struct OverloadedDiscovery {
    pub address: SocketAddr,
    state: Arc<State>,
}

struct State {
    listed: Mutex<Listed>,
    published: Condvar,
    load: Mutex<Load>,
    refused: AtomicUsize,
}

/// The latest version: the whole list, and the changes since version 1.
struct Listed {
    version: u64,
    whole: String,
    changes: String,
}

/// Admitted calls that are not worked off yet.
struct Load {
    backlog: f64,
    at: Instant,
    admitted_at_once: f64,
    admitted_per_second: f64,
}

impl Load {
    fn admits(&mut self, now: Instant) -> bool {
        let done = (now - self.at).as_secs_f64() * self.admitted_per_second;
        self.at = now;
        self.backlog = (self.backlog - done).max(0.0);
        let is_admitted = self.backlog + 1.0 <= self.admitted_at_once;
        self.backlog += if is_admitted { 1.0 } else { REFUSAL_COST };
        is_admitted
    }
}

impl OverloadedDiscovery {
    /// Admits that many calls at once, and as many in each second. Version 1 is this whole list.
    pub fn start(admitted: usize, whole: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(State {
            listed: Mutex::new(Listed {
                version: 1,
                whole,
                changes: String::new(),
            }),
            published: Condvar::new(),
            load: Mutex::new(Load {
                backlog: 0.0,
                at: Instant::now(),
                admitted_at_once: admitted as f64,
                admitted_per_second: admitted as f64,
            }),
            refused: AtomicUsize::default(),
        });
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = Arc::clone(&shared);
                thread::spawn(move || state.serve(stream));
            }
        });
        Self { address, state }
    }

    /// Publishes a version: the whole list, and the changes since version 1.
    pub fn publish(&self, version: u64, whole: String, changes: String) {
        let listed = Listed {
            version,
            whole,
            changes,
        };
        *self.state.listed.lock().expect("no stub panics") = listed;
        self.state.published.notify_all();
    }

    /// Number of refused calls.
    pub fn refused(&self) -> usize {
        self.state.refused.load(Ordering::SeqCst)
    }
}

impl State {
    /// Serves the calls of one connection.
    fn serve(&self, mut stream: TcpStream) {
        let mut watch_answered: Option<Instant> = None;
        while let Some(call) = read_message(&mut stream) {
            let now = Instant::now();
            let continues = watch_answered.is_some_and(|answered| now - answered < WATCH_GAP);
            if !continues && !self.load.lock().expect("no stub panics").admits(now) {
                self.refused.fetch_add(1, Ordering::SeqCst);
                return answer(&mut stream, 503, "Connection: close\r\n", b"");
            }
            let field = |name: &str| -> u64 {
                let value = call
                    .start
                    .split(['?', '&', ' '])
                    .find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok());
                value.unwrap_or(0)
            };
            let wait = Duration::from_millis(field("wait_ms"));
            let body = self.changes(field("after"), now + wait);
            answer(&mut stream, 200, "", body.as_bytes());
            watch_answered = (!wait.is_zero()).then(Instant::now);
        }
    }

    /// The changes after a version, once there are any, or none at that time; after 0, the whole list.
    fn changes(&self, after: u64, until: Instant) -> String {
        let mut listed = self.listed.lock().expect("no stub panics");
        loop {
            if after == 0 {
                return listed.whole.clone();
            }
            if listed.version > after {
                return listed.changes.clone();
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return super::discovery::list(after, false, &[]);
            }
            let waited = self.published.wait_timeout(listed, left);
            listed = waited.expect("no stub panics").0;
        }
    }
}
