//! State of an open request and its attempts.

use super::wait_queue::QueuePosition;
use crate::api::*;

/// An attempt, as recorded in its request.
pub struct Attempt {
    pub endpoint: EndpointId,
    /// Zone of the endpoint when the attempt was sent: a later list may move the endpoint, and a
    /// repeat is dropped by the endpoints that shared its idempotency keys at that time.
    pub zone: Option<ZoneId>,
    /// Cell of the endpoint when the attempt was sent; see `zone`.
    pub cell: u64,
    pub sent_at: Timestamp,
    pub in_flight: bool,
    /// Also true while the attempt is in flight.
    pub may_have_run: bool,
}

/// Progress of a request.
#[derive(Default, PartialEq)]
pub enum RequestState {
    /// An attempt is in flight, or the request has just arrived.
    #[default]
    Sent,
    /// Waiting for the backoff before the next attempt.
    Backoff,
    /// Waiting for an endpoint with capacity.
    Queued,
    /// The answer has begun.
    Streaming,
}

/// An open request.
#[derive(Default)]
pub struct Request {
    pub class: ClassId,
    /// Latency objective in microseconds.
    pub objective: f64,
    pub arrived: Timestamp,
    pub key: Option<u64>,
    pub affinity_endpoints: Vec<EndpointId>,
    /// When the request stops waiting in the queue.
    pub queue_deadline: Timestamp,
    /// When the final answer is due.
    pub deadline: Timestamp,
    /// Expected work in microseconds.
    pub work: f64,
    /// Marked by its client as a retry, or over its tenant's quota.
    pub low_priority: bool,
    /// Failed attempts, and selections that found no endpoint.
    pub failures: u32,
    pub attempts: Vec<Attempt>,
    pub state: RequestState,
}

impl Request {
    /// Cancels the attempts in flight, except for one.
    pub fn cancel_in_flight(
        &self,
        id: RequestId,
        except: Option<AttemptIndex>,
        limits: &Limits,
        out: &mut Vec<Action>,
    ) {
        if !limits.may_cancel {
            return;
        }
        for (number, attempt) in (0..).zip(&self.attempts) {
            if attempt.in_flight && Some(number) != except {
                out.push(Action::Cancel {
                    request: id,
                    attempt: number,
                });
            }
        }
    }

    /// Returns the position of the request in the queue.
    pub fn queue_position(&self, id: RequestId) -> QueuePosition {
        QueuePosition {
            low_priority: self.low_priority,
            deadline: self.queue_deadline,
            request: id,
        }
    }

    /// Returns whether the deadline, or the time limit in the queue, has passed.
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        let queue_timed_out = self.state == RequestState::Queued && self.queue_deadline <= now;
        queue_timed_out || (self.deadline <= now && self.state != RequestState::Streaming)
    }

    /// Returns the number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        let in_flight = self.attempts.iter().filter(|attempt| attempt.in_flight);
        in_flight.count()
    }

    /// Returns whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }
}
