//! The rules that no attempt may break, whatever policy chose it.

use super::endpoint::Endpoint;
use super::request::{Attempt, Request, RequestState};
use super::time::END_OF_TIME;
use crate::api::*;

/// Whether an attempt may go to an endpoint now: the request is open, attempts are left, hedged
/// requests are allowed, the endpoint is listed ready, and the class may run again there.
pub fn may_send(settings: &Settings, now: Timestamp, request: &Request, to: &Endpoint) -> bool {
    let limits = &settings.limits;
    to.ready
        && now < request.deadline
        && request.state != RequestState::Streaming
        && (request.attempts.len() as u32) < limits.max_attempts
        && (limits.may_duplicate || request.in_flight() == 0)
        && may_run(settings, now, request, to)
}

/// No effect twice: a request that may have run runs again only if it is idempotent, or where and
/// while repeats of its key are dropped.
fn may_run(settings: &Settings, now: Timestamp, request: &Request, to: &Endpoint) -> bool {
    match settings.classes[request.class].effect {
        Effect::Safe => true,
        Effect::Unsafe => !request.may_have_run(),
        Effect::Keyed { scope, .. } => {
            let mut ran = request
                .attempts
                .iter()
                .filter(|attempt| attempt.may_have_run);
            ran.all(|attempt| {
                drops_repeat(scope, attempt, to) && now < repeat_deadline(settings, request)
            })
        }
    }
}

/// Whether an endpoint drops a repeat of an attempt that may have run.
fn drops_repeat(scope: DedupScope, attempt: &Attempt, to: &Endpoint) -> bool {
    match scope {
        DedupScope::All => true,
        DedupScope::Zone => attempt.zone == to.zone,
        DedupScope::Cell => attempt.cell == to.cell,
    }
}

/// Until when a repeat is dropped where the request may have run, by the earliest such attempt.
pub fn repeat_deadline(settings: &Settings, request: &Request) -> Timestamp {
    let Effect::Keyed { ttl, .. } = settings.classes[request.class].effect else {
        return END_OF_TIME;
    };
    let earliest = request.attempts.iter().find(|attempt| attempt.may_have_run);
    earliest.map_or(END_OF_TIME, |attempt| {
        attempt.sent_at + ttl.clamp(0, END_OF_TIME) - settings.clock_granularity
    })
}
