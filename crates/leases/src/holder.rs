//! A process that claims a singleton task, and the times at which it may act.

use crate::event::{Claimant, Event, Outcome, Refusal};
use std::collections::VecDeque;

/// Messages per lease while they are answered, and while they are not: six in a row may be lost
/// before the lease expires.
const RENEWALS_PER_LEASE: u64 = 4;
const RETRIES_PER_LEASE: u64 = 8;
/// Messages that may be unanswered; older ones count as lost.
const MAX_UNANSWERED: usize = 8;

/// The limits that a holder measures time by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// The largest difference between the rates of two processes' clocks, in thousandths.
    pub clock_drift_permille: u64,
    /// A holder that did not run for longer than this, in milliseconds, was paused: it must not act
    /// until its lease has been confirmed again.
    pub max_pause_ms: u64,
}

/// The right to act now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The fencing token that each action carries.
    pub token: u64,
    /// The end of the right, by the holder's clock, in milliseconds.
    pub expires_ms: u64,
}

/// A message for the coordinators.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseMessage {
    /// Its number, to be given to [`Holder::receive`] with the answer.
    pub number: u64,
    /// The event it carries.
    pub event: Event,
}

/// One process's side of one task. Times are by the process's own monotonic clock, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    task: String,
    claimant: Claimant,
    terms: LeaseTerms,
    is_claiming: bool,
    /// Token, end, and whether the lease was confirmed since this process was last paused.
    lease: Option<(u64, u64, bool)>,
    requested_by: Option<String>,
    /// A token to be released, and the next holder if one is named.
    release: Option<(u64, Option<String>)>,
    last_number: u64,
    /// Messages without an answer yet: number and time of sending.
    unanswered: VecDeque<(u64, u64)>,
    last_tick_ms: Option<u64>,
    next_message_ms: u64,
}

impl Holder {
    /// A holder that claims the task.
    pub fn new(task: &str, claimant: Claimant, terms: LeaseTerms) -> Self {
        let (lease, requested_by, release, last_tick_ms) = (None, None, None, None);
        let (last_number, unanswered, next_message_ms, is_claiming) = (0, VecDeque::new(), 0, true);
        Self {
            task: task.to_owned(),
            claimant,
            terms,
            is_claiming,
            lease,
            requested_by,
            release,
            last_number,
            unanswered,
            last_tick_ms,
            next_message_ms,
        }
    }

    /// Returns the message to be sent now, if there is one. Must be called more often than every
    /// [`LeaseTerms::max_pause_ms`].
    pub fn tick(&mut self, now_ms: u64) -> Option<LeaseMessage> {
        self.detect_pause(now_ms);
        if self.lease.is_some_and(|(_, end, _)| end <= now_ms) {
            (self.lease, self.requested_by) = (None, None);
        }
        if now_ms < self.next_message_ms {
            return None;
        }
        let (task, name) = (self.task.clone(), self.claimant.name.clone());
        let event = match (&self.release, self.lease) {
            (Some((token, None)), _) => Event::Release {
                task,
                name,
                token: *token,
            },
            (Some((token, Some(successor))), _) => Event::Transfer {
                task,
                name,
                token: *token,
                successor: successor.clone(),
            },
            (None, _) if !self.is_claiming => return None,
            (None, Some((token, ..))) => Event::Renew { task, name, token },
            (None, None) => Event::Ask {
                task,
                by: self.claimant.clone(),
            },
        };
        self.next_message_ms = now_ms + (self.claimant.lease_ms / RETRIES_PER_LEASE).max(1);
        self.last_number += 1;
        if self.unanswered.len() >= MAX_UNANSWERED {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back((self.last_number, now_ms));
        Some(LeaseMessage {
            number: self.last_number,
            event,
        })
    }

    /// Takes the answer to the message of that number. A late answer counts from when its message
    /// was sent; an answer to a message from before a pause is ignored.
    pub fn receive(&mut self, now_ms: u64, number: u64, outcome: &Outcome) {
        self.detect_pause(now_ms);
        let Some(position) = self.unanswered.iter().position(|(open, _)| *open == number) else {
            return;
        };
        let sent_ms = self.unanswered.remove(position).map_or(0, |(_, sent)| sent);
        self.next_message_ms = self
            .next_message_ms
            .max(sent_ms + self.claimant.lease_ms / RENEWALS_PER_LEASE);
        match outcome {
            Outcome::Granted {
                token,
                lease_ms,
                wanted_by,
            } if self.release.is_none() && self.is_claiming => {
                let expires_ms =
                    sent_ms + lease_ms * (1000 - self.terms.clock_drift_permille.min(1000)) / 1000;
                // A delayed older answer must not shorten the lease.
                let longer_lease = self
                    .lease
                    .filter(|(held, last, _)| held == token && *last > expires_ms);
                if longer_lease.is_none() && self.lease.is_none_or(|(held, ..)| held <= *token) {
                    self.lease = Some((*token, expires_ms, true));
                    self.requested_by.clone_from(wanted_by);
                }
            }
            // The task was granted after the claim was given up.
            Outcome::Granted { token, .. } => {
                self.release = self.release.take().or(Some((*token, None)))
            }
            Outcome::Refused(Refusal::NotWaiting) => {
                // The next holder has withdrawn: release the task to any claimant.
                self.release = self.release.take().map(|(token, _)| (token, None));
                self.next_message_ms = now_ms;
            }
            Outcome::Taken | Outcome::Refused(Refusal::NotYours) => {
                // Outstanding messages are about the lease that ended.
                (self.lease, self.requested_by, self.release) = (None, None, None);
                self.unanswered.clear();
                self.next_message_ms = now_ms;
            }
            Outcome::Refused(Refusal::OldLife) => {
                (
                    self.lease,
                    self.requested_by,
                    self.release,
                    self.is_claiming,
                ) = (None, None, None, false);
            }
            Outcome::Waits { .. } | Outcome::Ignored | Outcome::Refused(_) => {}
        }
    }

    /// The right to act now. A long action must end before [`LeaseGrant::expires_ms`].
    pub fn may_act(&self, now_ms: u64) -> Option<LeaseGrant> {
        let (token, until_ms, is_confirmed) = self.lease?;
        let not_paused = self
            .last_tick_ms
            .is_some_and(|tick| now_ms.saturating_sub(tick) <= self.terms.max_pause_ms);
        (is_confirmed && not_paused && now_ms < until_ms).then_some(LeaseGrant {
            token,
            expires_ms: until_ms,
        })
    }

    /// The claimant of a higher rank that waits for the task this process holds.
    pub fn requested_by(&self) -> Option<&str> {
        self.requested_by.as_deref()
    }

    /// Sends the next message at once, after a change of the task's holder was reported.
    pub fn send_now(&mut self, now_ms: u64) {
        self.next_message_ms = self.next_message_ms.min(now_ms);
    }

    /// Stops acting at once and releases the task, to the successor if one is named and still waits
    /// for it. The process goes on claiming the task if `keep_claiming` is set.
    pub fn release(&mut self, now_ms: u64, successor: Option<&str>, keep_claiming: bool) {
        self.is_claiming = keep_claiming;
        if let Some((token, ..)) = self.lease.take() {
            self.release = Some((token, successor.map(str::to_owned)));
            // An answer in transit must not restore the released lease.
            self.unanswered.clear();
            (self.requested_by, self.next_message_ms) = (None, now_ms);
        }
    }

    fn detect_pause(&mut self, now_ms: u64) {
        let was_paused = self
            .last_tick_ms
            .is_some_and(|tick| now_ms.saturating_sub(tick) > self.terms.max_pause_ms);
        if was_paused {
            self.unanswered.clear();
            self.next_message_ms = now_ms;
            self.lease = self.lease.map(|(token, end, _)| (token, end, false));
        }
        self.last_tick_ms = Some(self.last_tick_ms.map_or(now_ms, |tick| tick.max(now_ms)));
    }

    /// Treats the message of that number as sent only now: a fault that the model plants.
    #[cfg(test)]
    pub(crate) fn restamp_message(&mut self, now_ms: u64, number: u64) {
        self.unanswered
            .iter_mut()
            .filter(|(open, _)| *open == number)
            .for_each(|(_, sent)| *sent = now_ms);
    }
}
