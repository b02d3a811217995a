//! The lines for the people on call, and the count of requests given up. Changes with what is told.

use crate::api::{Action, Micros};

/// Least time from one line to the next.
const LINE_SPACING: Micros = 1_000_000;
/// Least time from one account of the requests given up to the next.
const ACCOUNT_SPACING: Micros = 5_000_000;

/// Why a request was given up.
#[derive(Clone, Copy)]
pub enum GaveUp {
    /// Load shedding did not let it in.
    Shed,
    /// Its time, or that for a bulwark, ran out.
    Waiting,
    /// No further try was allowed after a failed one.
    Failing,
}

/// The log, at most one line a second, so that trouble does not drown its own first sign.
#[derive(Default)]
pub struct Log {
    last: Option<Micros>,
    left_out: u64,
    accounted: Option<Micros>,
    given_up: [u64; 3],
    /// Since the start.
    pub given_up_in_all: [u64; 3],
}

impl Log {
    /// Writes a line, if it is time for one, and how many were left out since the last.
    pub fn say(&mut self, now: Micros, text: String, out: &mut Vec<Action>) {
        if self.last.is_some_and(|last| now - last < LINE_SPACING) {
            self.left_out += 1;
            return;
        }
        self.last = Some(now);
        let others = match std::mem::take(&mut self.left_out) {
            0 => String::new(),
            others => format!(" ({others} like it left out)"),
        };
        out.push(Action::Log(text + &others));
    }

    /// Counts a request given up; says now and then how many there were.
    pub fn gave_up(&mut self, now: Micros, why: GaveUp, out: &mut Vec<Action>) {
        self.given_up[why as usize] += 1;
        self.given_up_in_all[why as usize] += 1;
        if self
            .accounted
            .is_none_or(|last| now - last >= ACCOUNT_SPACING)
        {
            self.accounted = Some(now);
            let [shed, waiting, failing] = std::mem::take(&mut self.given_up);
            out.push(Action::Log(format!(
                "gave up {shed} shed, {waiting} waiting, {failing} failing"
            )));
        }
    }
}
