//! What follows from the results of actions.

use crate::event::{Answer, Outcome, Refusal, Step};
use crate::machine::Machine;
use crate::window::State;

/// How far the tokens may be set forward at once by a token that was seen elsewhere: more is a wild
/// answer, and must not use the numbers up.
const MAX_SKIPPED: u64 = 1 << 32;

impl Machine {
    /// The window's and the slot's place.
    fn slot(&self, window: u64, server: &str) -> Result<usize, Outcome> {
        let found = self
            .windows
            .get(&window)
            .and_then(|w| w.slots.iter().position(|s| s.server == server));
        found.ok_or_else(|| {
            Outcome::Refused(Refusal::Unknown(format!(
                "window {window} with server {server:?}"
            )))
        })
    }

    /// Takes a window back.
    pub(crate) fn cancel(&mut self, window: u64) -> Outcome {
        match self.windows.get_mut(&window) {
            None => Outcome::Refused(Refusal::Unknown(format!("window {window}"))),
            Some(found) if found.cancelled || found.closed() => Outcome::Ignored,
            Some(found) => {
                found.cancelled = true;
                Outcome::Taken
            }
        }
    }

    /// A clear counts for the drain whose token it names, once that drain is confirmed.
    pub(crate) fn clear(&mut self, window: u64, server: &str, epoch: u64) -> Outcome {
        let index = match self.slot(window, server) {
            Ok(index) => index,
            Err(refused) => return refused,
        };
        match self.windows.get_mut(&window).map(|w| &mut w.slots[index]) {
            Some(slot) if slot.state == State::Draining && slot.drained && slot.token == epoch => {
                slot.state = State::Clear;
                Outcome::Taken
            }
            _ => Outcome::Ignored,
        }
    }

    /// The work on a server is finished.
    pub(crate) fn finished(&mut self, window: u64, server: &str) -> Outcome {
        let index = match self.slot(window, server) {
            Ok(index) => index,
            Err(refused) => return refused,
        };
        if self
            .windows
            .get(&window)
            .is_none_or(|w| w.slots[index].state != State::Away)
        {
            return Outcome::Ignored;
        }
        self.send_back(window, index, State::Returning, "");
        Outcome::Taken
    }

    /// Takes the answer to an act. One that belongs to another token or step than the slot's own
    /// changes nothing.
    pub(crate) fn record_result(
        &mut self,
        window: u64,
        server: &str,
        step: Step,
        token: u64,
        answer: Answer,
    ) -> Outcome {
        let index = match self.slot(window, server) {
            Ok(index) => index,
            Err(refused) => return refused,
        };
        let (at_ms, waits_for_clear) = (self.at_ms, self.waits_for_clear());
        let Some(slot) = self.windows.get_mut(&window).map(|w| &mut w.slots[index]) else {
            return Outcome::Ignored;
        };
        let takeable =
            slot.state == State::Clear || (!waits_for_clear && slot.state == State::Draining);
        let expected = match step {
            Step::Drain => slot.state == State::Draining && !slot.drained,
            Step::Take => takeable,
            Step::Return => slot.state == State::Returning && slot.returned_ms.is_none(),
            Step::CallBack => slot.state == State::CalledBack && slot.returned_ms.is_none(),
        };
        if slot.token != token || !expected {
            return Outcome::Ignored;
        }
        match (step, answer) {
            (_, Answer::Refused { seen }) => return self.overtaken(window, index, step, seen),
            (Step::Drain, Answer::Done { .. }) => slot.drained = true,
            (Step::Take, Answer::Done { .. }) => {
                slot.state = State::Away;
                slot.least_start = slot.least_start.saturating_add(1);
            }
            (Step::CallBack, Answer::Taken) => {
                slot.state = State::Away;
                slot.least_start = slot.least_start.saturating_add(1);
                slot.reason.clear();
            }
            (Step::Return, Answer::Done { started }) => {
                slot.returned_ms = Some(at_ms);
                // The platform knows whether the process is a new one; it can't be older than the
                // one that went.
                let before = slot.least_start.saturating_sub(1);
                slot.least_start = started.map_or(slot.least_start, |started| started.max(before));
            }
            (Step::CallBack, Answer::Done { .. }) => slot.returned_ms = Some(at_ms),
            (_, Answer::Failed | Answer::Taken) => return Outcome::Ignored,
        }
        Outcome::Taken
    }

    /// Somebody with a higher token has acted on the server. The slot goes on under one above that;
    /// but a clear of before says nothing of what the other did, so a server that was to be taken
    /// is given back first.
    fn overtaken(&mut self, window: u64, index: usize, step: Step, seen: u64) -> Outcome {
        if seen > self.token.saturating_add(MAX_SKIPPED) {
            return Outcome::Ignored;
        }
        self.token = self.token.max(seen);
        if step == Step::Take {
            self.send_back(
                window,
                index,
                State::CalledBack,
                "somebody else acted on it",
            );
            return Outcome::Taken;
        }
        self.token += 1;
        let token = self.token;
        if let Some(slot) = self.windows.get_mut(&window).map(|w| &mut w.slots[index]) {
            slot.token = token;
        }
        Outcome::Taken
    }
}
