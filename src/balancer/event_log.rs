//! Log lines for on-call engineers, and counts of the requests that were given up.

use crate::api::{Action, Micros, Timestamp};

/// Minimum time between two lines.
const MIN_LINE_INTERVAL: Micros = 1_000_000;
/// Minimum time between two lines on requests given up.
const MIN_GIVEN_UP_LINE_INTERVAL: Micros = 5_000_000;

/// Why a request was given up.
#[derive(Clone, Copy)]
pub enum GiveUpReason {
    /// Load was shed.
    Shed,
    /// The deadline, or the time limit in the queue, passed.
    Waiting,
    /// An attempt failed and no retry was allowed.
    Failing,
}

/// Numbers of requests given up, indexed by reason.
type GivenUpCounts = [u64; 3];

/// Writes at most one line per second, so that a flood of lines does not hide the first one.
#[derive(Default)]
pub struct EventLog {
    last_line: Option<Timestamp>,
    suppressed: u64,
    last_given_up_line: Option<Timestamp>,
    given_up: GivenUpCounts,
    given_up_since_start: GivenUpCounts,
}

impl EventLog {
    /// Writes a line unless the last one was too recent, and appends how many were suppressed
    /// since.
    pub fn write_line(&mut self, now: Timestamp, text: String, out: &mut Vec<Action>) {
        if self
            .last_line
            .is_some_and(|last| now - last < MIN_LINE_INTERVAL)
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

    /// Counts a request given up, and periodically writes the counts.
    pub fn record_given_up(&mut self, now: Timestamp, reason: GiveUpReason, out: &mut Vec<Action>) {
        self.given_up[reason as usize] += 1;
        self.given_up_since_start[reason as usize] += 1;
        let last = self.last_given_up_line;
        if last.is_none_or(|last| now - last >= MIN_GIVEN_UP_LINE_INTERVAL) {
            self.last_given_up_line = Some(now);
            let [shed, waiting, failing] = std::mem::take(&mut self.given_up);
            out.push(Action::Log(format!(
                "gave up {shed} shed, {waiting} waiting, {failing} failing"
            )));
        }
    }

    /// Returns the requests given up since the start: shed, waiting, failing.
    pub fn given_up_since_start(&self) -> GivenUpCounts {
        self.given_up_since_start
    }
}
