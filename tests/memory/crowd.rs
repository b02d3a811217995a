//! Many clients of one sidecar whose memory is limited, and a sound client among them.

use crate::stubs::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The least memory of a sidecar that the platform names.
pub const MEMORY_MB: usize = 32;
/// Descriptors of the sidecar, and how many connections clients open for their requests, a third.
pub const DESCRIPTORS: u32 = 1024;
pub const CROWD: usize = DESCRIPTORS as usize / 3;
/// Endpoints of a sidecar.
const ENDPOINTS: usize = 8;
/// How long a sound client waits, and after which further time its request counts as lost.
const TIME_LEFT: Duration = Duration::from_millis(2000);
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Time between requests of the sound client.
const SOUND_INTERVAL: Duration = Duration::from_millis(20);

/// Each test needs several hundred descriptors of this process, so one runs at a time.
pub fn one_at_a_time() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A sidecar with the least memory before several endpoints of one kind.
pub struct SmallSidecar {
    pub sidecar: Sidecar,
    pub endpoints: Vec<Endpoint>,
    pub discovery: Discovery,
}

impl SmallSidecar {
    /// Starts it with endpoints that reply so.
    pub fn start(reply: impl Fn(&Message) -> Reply + Clone + Send + Sync + 'static) -> Self {
        Self::start_altered(reply, |config| config)
    }

    /// As above, with a modified configuration.
    pub fn start_altered(
        reply: impl Fn(&Message) -> Reply + Clone + Send + Sync + 'static,
        alter: impl Fn(String) -> String,
    ) -> Self {
        Self::with_endpoints(ENDPOINTS, reply, alter)
    }

    /// As above, with that many endpoints.
    pub fn with_endpoints(
        number: usize,
        reply: impl Fn(&Message) -> Reply + Clone + Send + Sync + 'static,
        alter: impl Fn(String) -> String,
    ) -> Self {
        let discovery = Discovery::start();
        let start = |_| Endpoint::start(reply.clone());
        let endpoints: Vec<_> = (0..number).map(start).collect();
        let names: Vec<_> = (0..endpoints.len()).map(|n| format!("s-{n}")).collect();
        let listed: Vec<_> = names.iter().map(String::as_str).zip(&endpoints).collect();
        let memory = format!("\"memory_mb\":{MEMORY_MB}");
        let sidecar = Sidecar::start_altered(&discovery, &listed, DESCRIPTORS, |config| {
            alter(config.replace("\"memory_mb\":192", &memory))
        });
        Self {
            sidecar,
            endpoints,
            discovery,
        }
    }

    /// Connections of a crowd.
    pub fn crowd(&self) -> Vec<TcpStream> {
        (0..CROWD).map(|_| self.sidecar.connect()).collect()
    }

    /// Fails if the process has ended or has ever held more memory than its settings give it.
    pub fn assert_within_memory(&mut self, what: &str) {
        let peak_kb = self.sidecar.peak_memory_kb();
        println!("{what}: peak {peak_kb} KiB");
        assert!(
            peak_kb <= MEMORY_MB * 1024,
            "{what}: {peak_kb} KiB of {MEMORY_MB} MiB"
        );
    }

    /// Sends requests as a sound client, on one connection as long as it stays open, until it is
    /// stopped.
    pub fn sound_client(&self) -> SoundClient {
        SoundClient::start(self.sidecar.address)
    }
}

/// A client that sends small requests one after the other.
pub struct SoundClient {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<SoundResult>,
}

/// The answers of a sound client.
#[derive(Debug, Default)]
pub struct SoundResult {
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// Late or without an answer.
    pub lost: usize,
    /// The longest time to an answer.
    pub longest: Duration,
}

impl SoundClient {
    fn start(address: std::net::SocketAddr) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let until = Arc::clone(&stopped);
        let thread = thread::spawn(move || {
            let mut result = SoundResult::default();
            let mut connection = None;
            while !until.load(Ordering::SeqCst) {
                let began = Instant::now();
                match ask(address, &mut connection) {
                    Some(200) => result.served += 1,
                    Some(429 | 503) => result.refused += 1,
                    Some(_) => result.failed += 1,
                    None => result.lost += 1,
                }
                result.longest = result.longest.max(began.elapsed());
                thread::sleep(SOUND_INTERVAL);
            }
            result
        });
        Self { stopped, thread }
    }

    /// Stops it and returns what became of its requests.
    pub fn finish(self) -> SoundResult {
        self.stopped.store(true, Ordering::SeqCst);
        self.thread.join().expect("the client does not panic")
    }
}

/// Sends a request, once more on a new connection if the old one was closed; returns the status of
/// an answer in time.
fn ask(address: std::net::SocketAddr, connection: &mut Option<TcpStream>) -> Option<u16> {
    let left = format!("X-Time-Left: {}m", TIME_LEFT.as_millis());
    let text = request("look", "X-Sound: 1\r\n", "").replace("X-Time-Left: 19000m", &left);
    let began = Instant::now();
    let kept = connection.take();
    let tries = if kept.is_some() { 2 } else { 1 };
    let mut next = kept;
    for _ in 0..tries {
        let mut stream = match next.take() {
            Some(stream) => stream,
            None => TcpStream::connect(address).ok()?,
        };
        let sent = stream.write_all(text.as_bytes());
        let silence = (TIME_LEFT + LOST_AFTER).saturating_sub(began.elapsed());
        if silence.is_zero() {
            return None;
        }
        if sent.is_ok()
            && let Some(answer) = read_message_within(&mut stream, silence)
        {
            *connection = (answer.header("connection") != Some("close")).then_some(stream);
            return (began.elapsed() < TIME_LEFT + LOST_AFTER).then(|| answer.status());
        }
    }
    None
}

/// Writes what the socket takes at once; returns how many bytes that were.
pub fn write_some(mut stream: &TcpStream, bytes: &[u8]) -> usize {
    stream.set_nonblocking(true).expect("it can be set");
    let written = stream.write(bytes).unwrap_or(0);
    stream.set_nonblocking(false).expect("it can be set");
    written
}
