//! A process that claims a singleton task, and when it must stop acting.

use crate::event::{Claimant, Event, Outcome, Refusal};
use std::collections::VecDeque;

/// Askings in a lease while they are answered, and while they are not: six in a row may be lost
/// before the task is.
const ASKS: u64 = 4;
const ASKS_AGAIN: u64 = 8;
/// Askings whose answers are still waited for; older ones count as lost.
const OPEN: usize = 8;

/// How a holder keeps time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// By how much the rates of two processes' clocks may differ, in thousandths.
    pub rate_permille: u64,
    /// A holder that was not run for that long, in milliseconds, has been stopped: it acts on
    /// nothing until it has asked again.
    pub pause_ms: u64,
}

/// The right to act, now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// What each act goes with.
    pub token: u64,
    /// The right ends at this moment of the holder's clock, in milliseconds.
    pub until_ms: u64,
}

/// Something to send to those who agree.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseMessage {
    /// Its number; [`Holder::receive`] wants it with the answer.
    pub number: u64,
    /// What is said.
    pub event: Event,
}

/// One process's side of one task. Times are of the process's own monotonic clock, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    task: String,
    by: Claimant,
    terms: LeaseTerms,
    wants: bool,
    /// Token, end, and whether it has been said again since this process was last stopped.
    held: Option<(u64, u64, bool)>,
    wanted_by: Option<String>,
    /// A token that is to be given back, and to whom.
    back: Option<(u64, Option<String>)>,
    number: u64,
    /// Askings without an answer yet: number, when it was sent.
    open: VecDeque<(u64, u64)>,
    beat_ms: Option<u64>,
    next_ms: u64,
}

impl Holder {
    /// One that wants the task.
    pub fn new(task: &str, by: Claimant, terms: LeaseTerms) -> Self {
        let (held, wanted_by, back, beat_ms) = (None, None, None, None);
        let (number, open, next_ms, wants) = (0, VecDeque::new(), 0, true);
        Self {
            task: task.to_owned(),
            by,
            terms,
            wants,
            held,
            wanted_by,
            back,
            number,
            open,
            beat_ms,
            next_ms,
        }
    }

    /// Is to be called more often than each [`LeaseTerms::pause_ms`]; says what is to be sent now,
    /// if anything is.
    pub fn tick(&mut self, now_ms: u64) -> Option<LeaseMessage> {
        self.notice_pause(now_ms);
        if self.held.is_some_and(|(_, end, _)| end <= now_ms) {
            (self.held, self.wanted_by) = (None, None);
        }
        if now_ms < self.next_ms {
            return None;
        }
        let (task, name) = (self.task.clone(), self.by.name.clone());
        let event = match (&self.back, self.held) {
            (Some((token, None)), _) => Event::Release {
                task,
                name,
                token: *token,
            },
            (Some((token, Some(heir))), _) => Event::Transfer {
                task,
                name,
                token: *token,
                heir: heir.clone(),
            },
            (None, _) if !self.wants => return None,
            (None, Some((token, ..))) => Event::Renew { task, name, token },
            (None, None) => Event::Ask {
                task,
                by: self.by.clone(),
            },
        };
        self.next_ms = now_ms + (self.by.lease_ms / ASKS_AGAIN).max(1);
        self.number += 1;
        if self.open.len() >= OPEN {
            self.open.pop_front();
        }
        self.open.push_back((self.number, now_ms));
        Some(LeaseMessage {
            number: self.number,
            event,
        })
    }

    /// Takes the answer to the message of that number. One that comes late counts from when its
    /// message was sent; one to a message of before a stop counts for nothing.
    pub fn receive(&mut self, now_ms: u64, number: u64, outcome: &Outcome) {
        self.notice_pause(now_ms);
        let Some(place) = self.open.iter().position(|(open, _)| *open == number) else {
            return;
        };
        let sent_ms = self.open.remove(place).map_or(0, |(_, sent)| sent);
        self.next_ms = self.next_ms.max(sent_ms + self.by.lease_ms / ASKS);
        match outcome {
            Outcome::Granted {
                token,
                lease_ms,
                wanted_by,
            } if self.back.is_none() && self.wants => {
                let end = sent_ms + lease_ms * (1000 - self.terms.rate_permille.min(1000)) / 1000;
                // An older answer that comes last takes nothing back.
                let last = self
                    .held
                    .filter(|(held, last, _)| held == token && *last > end);
                if last.is_none() && self.held.is_none_or(|(held, ..)| held <= *token) {
                    self.held = Some((*token, end, true));
                    self.wanted_by.clone_from(wanted_by);
                }
            }
            // The task came to somebody who wants it no more.
            Outcome::Granted { token, .. } => self.back = self.back.take().or(Some((*token, None))),
            Outcome::Refused(Refusal::NotWaiting) => {
                // The heir has gone meanwhile: whoever waits may have it.
                self.back = self.back.take().map(|(token, _)| (token, None));
                self.next_ms = now_ms;
            }
            Outcome::Taken | Outcome::Refused(Refusal::NotYours) => {
                // What was said before this says nothing of what comes now.
                (self.held, self.wanted_by, self.back) = (None, None, None);
                self.open.clear();
                self.next_ms = now_ms;
            }
            Outcome::Refused(Refusal::OldLife) => {
                (self.held, self.wanted_by, self.back, self.wants) = (None, None, None, false);
            }
            Outcome::Waits { .. } | Outcome::Ignored | Outcome::Refused(_) => {}
        }
    }

    /// The right to act at this moment. An act that takes long is to be ended before
    /// [`LeaseGrant::until_ms`].
    pub fn may_act(&self, now_ms: u64) -> Option<LeaseGrant> {
        let (token, until_ms, fresh) = self.held?;
        let awake = self
            .beat_ms
            .is_some_and(|tick| now_ms.saturating_sub(tick) <= self.terms.pause_ms);
        (fresh && awake && now_ms < until_ms).then_some(LeaseGrant { token, until_ms })
    }

    /// Somebody of a higher rank waits for what this one holds.
    pub fn wanted_by(&self) -> Option<&str> {
        self.wanted_by.as_deref()
    }

    /// Something was said of the task's holder: ask at once.
    pub fn hurry(&mut self, now_ms: u64) {
        self.next_ms = self.next_ms.min(now_ms);
    }

    /// Stops acting at once and gives the task back, to the heir if one is named who waits for it.
    /// It goes on to want the task if `wants`.
    pub fn release(&mut self, now_ms: u64, heir: Option<&str>, wants: bool) {
        self.wants = wants;
        if let Some((token, ..)) = self.held.take() {
            self.back = Some((token, heir.map(str::to_owned)));
            // An answer that is still on its way must not bring back what was given away.
            self.open.clear();
            (self.wanted_by, self.next_ms) = (None, now_ms);
        }
    }

    fn notice_pause(&mut self, now_ms: u64) {
        let slept = self
            .beat_ms
            .is_some_and(|tick| now_ms.saturating_sub(tick) > self.terms.pause_ms);
        if slept {
            self.open.clear();
            self.next_ms = now_ms;
            self.held = self.held.map(|(token, end, _)| (token, end, false));
        }
        self.beat_ms = Some(self.beat_ms.map_or(now_ms, |tick| tick.max(now_ms)));
    }

    /// As if the message of that number were sent only now: a fault that the model plants.
    #[cfg(test)]
    pub(crate) fn sent_now(&mut self, now_ms: u64, number: u64) {
        self.open
            .iter_mut()
            .filter(|(open, _)| *open == number)
            .for_each(|(_, sent)| *sent = now_ms);
    }
}
