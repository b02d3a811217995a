//! A client that keeps the protocol, and notes what becomes of each of its requests.

use crate::fleet::Requests;
use crate::signals::Process;
use crate::stubs::*;
use crate::verdict::Verdict;
use fastrand::Rng;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How long after its time an answer only earns nothing; later, its request is lost.
const LOST_AFTER: Duration = Duration::from_millis(550);
/// The longest pause between two requests.
const MAX_PAUSE_MS: u64 = 40;
/// How often a request is sent on new connections that are closed for want of places.
const MAX_TRIES: usize = 4;

/// One of so many requests with a body is large.
const LARGE_ONE_IN: usize = 8;
/// Lengths of large bodies.
const LARGE: std::ops::Range<usize> = 10_000..60_000;

/// How one try of a request ended.
enum Try {
    Answered(Message),
    /// The connection was closed before any answer.
    Closed,
    /// No answer came in time.
    Silent,
}

/// A client of its own thread.
pub struct SoundClient {
    pub number: usize,
    pub process: Arc<Process>,
    pub requests: Arc<Requests>,
    pub stopped: Arc<AtomicBool>,
    pub rng: Rng,
    pub max_time_left: Duration,
    /// Others take places, so that new connections may be closed unread.
    pub is_crowded: bool,
}

impl SoundClient {
    /// Sends one request after the other until it is stopped.
    pub fn run(mut self) -> Verdict {
        let mut verdict = Verdict::default();
        let mut connection = None;
        for number in 0.. {
            if self.stopped.load(Ordering::SeqCst) {
                return verdict;
            }
            let id = format!("c{}-{number}", self.number);
            connection = self.ask(&id, connection.take(), &mut verdict);
            thread::sleep(Duration::from_millis(self.rng.u64(1..MAX_PAUSE_MS)));
        }
        verdict
    }

    /// Sends a request; returns the connection if it stays open.
    fn ask(
        &mut self,
        id: &str,
        kept: Option<TcpStream>,
        verdict: &mut Verdict,
    ) -> Option<TcpStream> {
        let shortest = self.max_time_left / 4;
        let left = shortest.max(self.max_time_left.mul_f64(self.rng.f64()));
        let class = ["look", "pay", "book"][self.rng.usize(0..3)];
        let body = match class {
            "look" => String::new(),
            _ if self.rng.usize(0..LARGE_ONE_IN) == 0 => "b".repeat(self.rng.usize(LARGE)),
            _ => "{\"a\":1}".to_owned(),
        };
        let text = request_of(id, class, &body)
            .replace("19000m", &format!("{}m", left.as_millis()))
            .replace("5c0f6e1a", id);
        let kills = self.process.kills();
        let was_kept = kept.is_some();
        let mut next = kept;
        for tried in 0..MAX_TRIES {
            // Down or about to be: nobody has taken the request.
            let mut stream = next.take().or_else(|| self.process.connect())?;
            let sent = Instant::now();
            self.requests.note_sent(id, class, sent, left);
            match try_once(&mut stream, &text, sent, left + LOST_AFTER) {
                Try::Answered(answer) => {
                    note_answer(&answer, verdict);
                    return (answer.header("connection") != Some("close")).then_some(stream);
                }
                _ if self.process.kills() != kills => {
                    verdict.killed += 1;
                    return None;
                }
                // A close that crosses a request on a kept connection lets its client send it again.
                Try::Closed if (was_kept && tried == 0) || self.is_crowded => {}
                Try::Closed => {
                    verdict
                        .lost
                        .push(format!("{id} ({class}) closed unanswered"));
                    return None;
                }
                Try::Silent => {
                    verdict
                        .lost
                        .push(format!("{id} ({class}) silent for {left:?}"));
                    return None;
                }
            }
        }
        verdict
            .lost
            .push(format!("{id} ({class}) closed {MAX_TRIES} times"));
        None
    }
}

fn note_answer(answer: &Message, verdict: &mut Verdict) {
    match answer.status() {
        200 => verdict.served += 1,
        429 | 503 => verdict.refused += 1,
        _ => verdict.failed += 1,
    }
}

fn try_once(stream: &mut TcpStream, text: &str, sent: Instant, limit: Duration) -> Try {
    if stream.write_all(text.as_bytes()).is_err() {
        return Try::Closed;
    }
    match read_message_within(stream, limit) {
        Some(answer) if sent.elapsed() <= limit => Try::Answered(answer),
        None if sent.elapsed() < limit => Try::Closed,
        _ => Try::Silent,
    }
}
