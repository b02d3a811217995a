//! Rules that every attempt must satisfy, whichever policy selected it.

use super::endpoint::Endpoint;
use super::request::{Attempt, Request, RequestState};
use super::time::END_OF_TIME;
use crate::api::*;

/// Returns whether an attempt may be sent to an endpoint now: the request is open and has attempts
/// left, hedged requests are allowed if another attempt is in flight, the endpoint is ready, and
/// the class permits running the request there.
pub fn may_send(
    settings: &Settings,
    now: Timestamp,
    request: &Request,
    endpoint: &Endpoint,
) -> bool {
    let limits = &settings.limits;
    endpoint.ready
        && now < request.deadline
        && request.state != RequestState::Streaming
        && (request.attempts.len() as u32) < limits.max_attempts
        && (limits.may_duplicate || request.in_flight() == 0)
        && may_run(settings, now, request, endpoint)
}

/// Returns whether a request may run at an endpoint. A request that may have run already may run
/// again only if it is idempotent, or where and while repeats of its idempotency key are dropped.
fn may_run(settings: &Settings, now: Timestamp, request: &Request, endpoint: &Endpoint) -> bool {
    match settings.classes[request.class].effect {
        Effect::Idempotent => true,
        Effect::NonIdempotent => !request.may_have_run(),
        Effect::IdempotentByKey { scope, .. } => {
            let mut attempts_that_may_have_run = request
                .attempts
                .iter()
                .filter(|attempt| attempt.may_have_run);
            attempts_that_may_have_run.all(|attempt| {
                deduplicates(scope, attempt, endpoint) && now < repeat_deadline(settings, request)
            })
        }
    }
}

/// Returns whether an endpoint drops a repeat of an attempt that may have run.
fn deduplicates(scope: DedupScope, attempt: &Attempt, endpoint: &Endpoint) -> bool {
    match scope {
        DedupScope::All => true,
        DedupScope::Zone => attempt.zone == endpoint.zone,
        DedupScope::Cell => attempt.cell == endpoint.cell,
    }
}

/// Returns until when repeats are dropped, counted from the earliest attempt that may have run.
pub fn repeat_deadline(settings: &Settings, request: &Request) -> Timestamp {
    let Effect::IdempotentByKey { ttl, .. } = settings.classes[request.class].effect else {
        return END_OF_TIME;
    };
    let earliest = request.attempts.iter().find(|attempt| attempt.may_have_run);
    earliest.map_or(END_OF_TIME, |attempt| {
        attempt.sent_at + ttl.clamp(0, END_OF_TIME) - settings.clock_granularity
    })
}
