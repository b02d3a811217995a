//! A client that keeps the protocol, and notes what becomes of each of its requests.

use crate::fleet::Requests;
use crate::signals::Process;
use crate::stubs::*;
use crate::verdict::Verdict;
use fastrand::Rng;
use std::io::{ErrorKind, Write};
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

/// One of so many requests is written in pieces.
const IN_PIECES_ONE_IN: usize = 3;
/// Pauses between two pieces.
const PIECE_PAUSES_MS: std::ops::Range<u64> = 20..150;
/// One of so many requests comes on a connection that has rested so long, in milliseconds.
const RESTED_ONE_IN: usize = 25;
const RESTS_MS: std::ops::Range<u64> = 1700..2200;
/// What has arrived is read within this time, of which the sidecar may be held up for 0.15 s.
const READ_WITHIN: Duration = Duration::from_millis(200);

/// How one try of a request ended.
enum Try {
    Answered(Message),
    /// The connection was closed before any answer.
    Closed,
    /// The same so long after the request's first piece that this had been read.
    ClosedHalfRead,
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
            let rests = self.rng.usize(0..RESTED_ONE_IN) == 0;
            let pause = if rests { RESTS_MS } else { 1..MAX_PAUSE_MS };
            thread::sleep(Duration::from_millis(self.rng.u64(pause)));
        }
        verdict
    }

    /// The pauses between the pieces of a request, if it is written in pieces.
    fn pauses_between_pieces(&mut self) -> Vec<Duration> {
        if self.rng.usize(0..IN_PIECES_ONE_IN) > 0 {
            return Vec::new();
        }
        let number = self.rng.usize(1..3);
        let mut pause = || Duration::from_millis(self.rng.u64(PIECE_PAUSES_MS));
        (0..number).map(|_| pause()).collect()
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
            let pauses = self.pauses_between_pieces();
            let note_sent = || {
                let sent = Instant::now();
                self.requests.note_sent(id, class, sent, left);
                sent
            };
            match try_once(&mut stream, &text, &pauses, note_sent, left + LOST_AFTER) {
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
                Try::ClosedHalfRead => {
                    verdict
                        .lost
                        .push(format!("{id} ({class}) closed half read"));
                    return None;
                }
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

/// Writes a request, in pieces with these pauses between them, and waits for its answer. Its time
/// counts from its last piece.
fn try_once(
    stream: &mut TcpStream,
    text: &str,
    pauses: &[Duration],
    note_sent: impl Fn() -> Instant,
    limit: Duration,
) -> Try {
    let began = Instant::now();
    // An endpoint may see it before the last piece is known to be written.
    let mut sent = note_sent();
    let length = text.len().div_ceil(pauses.len() + 1);
    for (number, piece) in text.as_bytes().chunks(length).enumerate() {
        if number > 0 {
            match wait(stream, pauses[number - 1]) {
                Pause::Over => {}
                Pause::Answered => break,
                Pause::Closed if began.elapsed() > READ_WITHIN => return Try::ClosedHalfRead,
                Pause::Closed => return Try::Closed,
            }
            sent = note_sent();
        }
        if stream.write_all(piece).is_err() {
            return Try::Closed;
        }
    }
    match read_message_within(stream, limit) {
        Some(answer) if sent.elapsed() <= limit => Try::Answered(answer),
        None if sent.elapsed() < limit => Try::Closed,
        _ => Try::Silent,
    }
}

/// How a pause between two pieces ended.
enum Pause {
    Over,
    /// The sidecar has answered what it has read.
    Answered,
    Closed,
}

fn wait(stream: &TcpStream, pause: Duration) -> Pause {
    let until = Instant::now() + pause;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Pause::Over;
        }
        stream
            .set_read_timeout(Some(left))
            .expect("a time-out can be set");
        match stream.peek(&mut [0]) {
            Ok(0) => return Pause::Closed,
            Ok(_) => return Pause::Answered,
            Err(e) if is_temporary(e.kind()) => {}
            Err(_) => return Pause::Closed,
        }
    }
}

fn is_temporary(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
