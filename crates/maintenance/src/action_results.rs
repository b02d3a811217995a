//! Applies the results of actions.

use crate::event::{Answer, Outcome, Refusal, Step};
use crate::machine::Machine;
use crate::window::State;

/// How far a token seen elsewhere may advance ours at once: a larger gap comes from a faulty answer
/// and must not exhaust the numbers.
const MAX_TOKEN_GAP: u64 = 1 << 32;

impl Machine {
    /// The index of a server's slot within its window.
    fn slot_index(&self, window: u64, server: &str) -> Result<usize, Outcome> {
        let index = self
            .windows
            .get(&window)
            .and_then(|w| w.slots.iter().position(|s| s.server == server));
        index.ok_or_else(|| {
            Outcome::Refused(Refusal::Unknown(format!(
                "window {window} with server {server:?}"
            )))
        })
    }

    /// Cancels a window.
    pub(crate) fn cancel(&mut self, window: u64) -> Outcome {
        match self.windows.get_mut(&window) {
            None => Outcome::Refused(Refusal::Unknown(format!("window {window}"))),
            Some(found) if found.cancelled || found.is_closed() => Outcome::Ignored,
            Some(found) => {
                found.cancelled = true;
                Outcome::Taken
            }
        }
    }

    /// Records that a server is clear: valid only for the drain whose token it names, once that
    /// drain is confirmed.
    pub(crate) fn record_clear(&mut self, window: u64, server: &str, epoch: u64) -> Outcome {
        let index = match self.slot_index(window, server) {
            Ok(index) => index,
            Err(refusal) => return refusal,
        };
        match self.windows.get_mut(&window).map(|w| &mut w.slots[index]) {
            Some(slot) if slot.state == State::Draining && slot.drained && slot.token == epoch => {
                slot.state = State::Clear;
                Outcome::Taken
            }
            _ => Outcome::Ignored,
        }
    }

    /// Records that the work on a server is finished.
    pub(crate) fn record_finished(&mut self, window: u64, server: &str) -> Outcome {
        let index = match self.slot_index(window, server) {
            Ok(index) => index,
            Err(refusal) => return refusal,
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

    /// Applies the answer to an action. An answer for another token or step than the slot's current
    /// ones changes nothing.
    pub(crate) fn record_result(
        &mut self,
        window: u64,
        server: &str,
        step: Step,
        token: u64,
        answer: Answer,
    ) -> Outcome {
        let index = match self.slot_index(window, server) {
            Ok(index) => index,
            Err(refusal) => return refusal,
        };
        let (at_ms, waits_for_clear) = (self.at_ms, self.waits_for_clear());
        let Some(slot) = self.windows.get_mut(&window).map(|w| &mut w.slots[index]) else {
            return Outcome::Ignored;
        };
        let can_be_taken =
            slot.state == State::Clear || (!waits_for_clear && slot.state == State::Draining);
        let expected = match step {
            Step::Drain => slot.state == State::Draining && !slot.drained,
            Step::Take => can_be_taken,
            Step::Return => slot.state == State::Returning && slot.returned_ms.is_none(),
            Step::CallBack => slot.state == State::CalledBack && slot.returned_ms.is_none(),
        };
        if slot.token != token || !expected {
            return Outcome::Ignored;
        }
        match (step, answer) {
            (_, Answer::Refused { seen }) => {
                return self.record_overtaken(window, index, step, seen);
            }
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
                // one that was taken.
                let previous_start = slot.least_start.saturating_sub(1);
                slot.least_start =
                    started.map_or(slot.least_start, |started| started.max(previous_start));
            }
            (Step::CallBack, Answer::Done { .. }) => slot.returned_ms = Some(at_ms),
            (_, Answer::Failed | Answer::Taken) => return Outcome::Ignored,
        }
        Outcome::Taken
    }

    /// Handles an action rejected because someone else acted on the server under a higher token.
    /// The slot goes on under a token above that one. An earlier clear says nothing about what the
    /// other one did, so a server that was to be taken is cancelled first.
    fn record_overtaken(&mut self, window: u64, index: usize, step: Step, seen: u64) -> Outcome {
        if seen > self.token.saturating_add(MAX_TOKEN_GAP) {
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
