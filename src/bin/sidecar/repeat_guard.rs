//! Recognizes a request that must not run twice and comes again. Pure.
//!
//! A client that has left without its answer may send the same request, with the same id, on another
//! connection. If the first one was sent to an endpoint, it may have run.

use load_balancer::{Micros, RequestId};
use std::collections::{HashMap, VecDeque};

/// How long a request whose client has left is remembered.
const RETENTION_US: Micros = 60_000_000;
/// How many of them at most; the oldest are forgotten first.
const MAX_ABANDONED: usize = 4096;

/// Identifies a request across connections: a hash of the id that its client gave it.
pub type RepeatId = u64;

/// What happens to a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is new.
    New,
    /// Its client has left an earlier connection on which it was not sent to an endpoint: that
    /// request has to be withdrawn.
    Replaces(RequestId),
    /// It may have run.
    Repeated,
}

/// The requests that must not run twice and have no answer.
#[derive(Default)]
pub struct RepeatGuard {
    open: HashMap<RepeatId, OpenRequest>,
    abandoned: VecDeque<(Micros, RepeatId)>,
}

struct OpenRequest {
    request: RequestId,
    /// Attempts that were sent and may have run.
    attempts: u32,
}

impl RepeatGuard {
    /// Admits a new request, unless it may have run.
    pub fn admit(&mut self, id: RepeatId, request: RequestId, now: Micros) -> Admission {
        self.forget_old(now);
        let earlier = self.open.get(&id);
        let is_abandoned = self.abandoned.iter().any(|(_, known)| *known == id);
        if is_abandoned || earlier.is_some_and(|earlier| earlier.attempts > 0) {
            return Admission::Repeated;
        }
        let open = OpenRequest {
            request,
            attempts: 0,
        };
        match self.open.insert(id, open) {
            Some(earlier) => Admission::Replaces(earlier.request),
            None => Admission::New,
        }
    }

    /// Records that an attempt of the request is sent.
    pub fn record_sent(&mut self, id: RepeatId, request: RequestId) {
        if let Some(open) = self.open.get_mut(&id).filter(|o| o.request == request) {
            open.attempts += 1;
        }
    }

    /// Records that an attempt of the request has ended without having run.
    pub fn record_not_run(&mut self, id: RepeatId, request: RequestId) {
        if let Some(open) = self.open.get_mut(&id).filter(|o| o.request == request) {
            open.attempts = open.attempts.saturating_sub(1);
        }
    }

    /// Records that the request's client has its answer.
    pub fn record_answered(&mut self, id: RepeatId, request: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.request == request) {
            self.open.remove(&id);
        }
    }

    /// Records that the request's client has left without an answer.
    pub fn record_abandoned(&mut self, id: RepeatId, request: RequestId, now: Micros) {
        let open = self.open.get(&id).filter(|o| o.request == request);
        if open.is_some_and(|open| open.attempts > 0) {
            self.abandoned.push_back((now, id));
        }
        self.record_answered(id, request);
        if self.abandoned.len() > MAX_ABANDONED {
            self.abandoned.pop_front();
        }
    }

    fn forget_old(&mut self, now: Micros) {
        let is_old = |(since, _): &(Micros, RepeatId)| now - since > RETENTION_US;
        while self.abandoned.front().is_some_and(is_old) {
            self.abandoned.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
