//! What is remembered of an open request and its attempts.

use super::wait_queue::QueuePosition;
use crate::api::*;

/// An attempt as its request remembers it.
pub struct Attempt {
    pub endpoint: EndpointId,
    /// Where the endpoint was when the attempt was sent: a later list may move it, and a repeat is
    /// dropped by those who shared what it had seen then.
    pub zone: Option<ZoneId>,
    /// See `zone`.
    pub cell: u64,
    pub sent_at: Timestamp,
    pub in_flight: bool,
    /// Also while it is in flight.
    pub may_have_run: bool,
}

/// How far a request has come.
#[derive(Default, PartialEq)]
pub enum RequestState {
    /// An attempt is in flight, or the request has just arrived.
    #[default]
    Sent,
    /// It waits until its next attempt may be made.
    Backoff,
    /// It waits for an endpoint with room.
    Queued,
    /// Its answer has begun.
    Streaming,
}

/// An open request.
#[derive(Default)]
pub struct Request {
    pub class: ClassId,
    /// Its latency objective in microseconds.
    pub objective: f64,
    pub arrived: Timestamp,
    pub key: Option<u64>,
    pub affinity_endpoints: Vec<EndpointId>,
    /// When it stops waiting in the queue.
    pub queue_deadline: Timestamp,
    /// When it must have its final answer.
    pub deadline: Timestamp,
    /// Expected work in microseconds.
    pub work: f64,
    /// A retry of its client, or beyond its tenant's quota.
    pub low_priority: bool,
    /// Failed attempts, and selections that found every circuit open.
    pub failures: u32,
    pub attempts: Vec<Attempt>,
    pub state: RequestState,
}

impl Request {
    /// Cancels what is still in flight for it, but for one attempt to keep.
    pub fn cancel_in_flight(
        &self,
        id: RequestId,
        keep: Option<AttemptNo>,
        limits: &Limits,
        out: &mut Vec<Action>,
    ) {
        if !limits.may_cancel {
            return;
        }
        for (number, attempt) in (0..).zip(&self.attempts) {
            if attempt.in_flight && Some(number) != keep {
                out.push(Action::Cancel {
                    request: id,
                    attempt: number,
                });
            }
        }
    }

    /// Its position in the queue while it waits there.
    pub fn queue_position(&self, id: RequestId) -> QueuePosition {
        QueuePosition {
            low_priority: self.low_priority,
            deadline: self.queue_deadline,
            request: id,
        }
    }

    /// Whether its time is up, or it has been queued for long enough.
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        let waited = self.state == RequestState::Queued && self.queue_deadline <= now;
        waited || (self.deadline <= now && self.state != RequestState::Streaming)
    }

    /// Attempts in flight.
    pub fn in_flight(&self) -> usize {
        let in_flight = self.attempts.iter().filter(|attempt| attempt.in_flight);
        in_flight.count()
    }

    /// Whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }
}
