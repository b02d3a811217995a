//! The log lines for on-call engineers, and the count of requests that were given up.

use crate::api::{Action, Micros, Timestamp};

/// Least time from one line to the next.
const LINE_INTERVAL: Micros = 1_000_000;
/// Least time from one line on requests given up to the next.
const GIVEN_UP_INTERVAL: Micros = 5_000_000;

/// Why a request was given up.
#[derive(Clone, Copy)]
pub enum GiveUpReason {
    /// Load was shed.
    Shed,
    /// Its time, or its time in the queue, ran out.
    Waiting,
    /// No retry was allowed after a failure.
    Failing,
}

/// Requests given up, by reason.
type GivenUp = [u64; 3];

/// The log: at most one line a second, so that trouble does not drown its own first sign.
#[derive(Default)]
pub struct EventLog {
    last_line: Option<Timestamp>,
    suppressed: u64,
    last_given_up_line: Option<Timestamp>,
    given_up: GivenUp,
    given_up_since_start: GivenUp,
}

impl EventLog {
    /// Writes a line, if it is time for one, with the number of lines suppressed since the last.
    pub fn line(&mut self, now: Timestamp, text: String, out: &mut Vec<Action>) {
        if self
            .last_line
            .is_some_and(|last| now - last < LINE_INTERVAL)
        {
            self.suppressed += 1;
            return;
        }
        self.last_line = Some(now);
        let suppressed = match std::mem::take(&mut self.suppressed) {
            0 => String::new(),
            count => format!(" ({count} like it left out)"),
        };
        out.push(Action::Log(text + &suppressed));
    }

    /// Counts a request given up, and writes now and then how many there were.
    pub fn gave_up(&mut self, now: Timestamp, reason: GiveUpReason, out: &mut Vec<Action>) {
        self.given_up[reason as usize] += 1;
        self.given_up_since_start[reason as usize] += 1;
        let last = self.last_given_up_line;
        if last.is_none_or(|last| now - last >= GIVEN_UP_INTERVAL) {
            self.last_given_up_line = Some(now);
            let [shed, waiting, failing] = std::mem::take(&mut self.given_up);
            out.push(Action::Log(format!(
                "gave up {shed} shed, {waiting} waiting, {failing} failing"
            )));
        }
    }

    /// Requests given up since the start: shed, waiting, failing.
    pub fn given_up_since_start(&self) -> GivenUp {
        self.given_up_since_start
    }
}
