//! Attempts at endpoints: sends a request and interprets the response.

mod probe;

use crate::answer_progress::AnswerProgress;
use crate::attempt::{
    AttemptResult, AttemptTarget, AttemptTimes, Destination, attempt_result, prevented_outcome,
};
use crate::body::collect_body;
use crate::connection::{Connection, WriteProgress};
use crate::message_size::MessageSize;
use crate::messages::{
    AttemptId, EndedAttempt, Input, InputSender, MAX_BODY_BYTES, OutgoingRequest,
};
use crate::pool::{DialError, Pool};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::{Response, StatusCode};
use load_balancer::Outcome;
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Makes attempts over the connections of a pool.
pub struct Upstream {
    pool: Rc<Pool>,
}

impl Upstream {
    /// Uses the connections of that pool.
    pub fn new(pool: Rc<Pool>) -> Self {
        Self { pool }
    }

    /// Makes one attempt and reports its end.
    pub async fn attempt(
        self: Rc<Self>,
        id: AttemptId,
        destination: Destination,
        outgoing: Rc<OutgoingRequest>,
        times: AttemptTimes,
        inputs: InputSender,
    ) {
        let endpoint = &*destination.endpoint;
        let reply = match destination.target {
            Some(target) => {
                let target_endpoint = AttemptTarget { target, endpoint };
                self.exchange_within(times, target_endpoint, &outgoing)
                    .await
            }
            None => Outcome::NotSent.into(),
        };
        inputs.send(Input::AttemptEnded(EndedAttempt {
            id,
            outcome: reply.outcome,
            served: reply.served,
            load: reply.load,
        }));
    }

    /// An exchange within its time limits.
    async fn exchange_within(
        &self,
        times: AttemptTimes,
        target_endpoint: AttemptTarget<'_>,
        outgoing: &OutgoingRequest,
    ) -> AttemptResult {
        let progress = ExchangeProgress {
            written: WriteProgress::new(outgoing.body.len()),
            answer: AnswerProgress::default(),
        };
        let mut exchange = pin!(self.exchange(target_endpoint, outgoing, &progress, times));
        tokio::select! {
            biased;
            () = sleep_until(times.write_by) => {}
            reply = exchange.as_mut() => return reply,
        }
        // A request that was not written completely has not begun, and must not begin any more.
        if !progress.written.is_complete() {
            return Outcome::ConnectFailed.into();
        }
        tokio::select! {
            biased;
            reply = exchange.as_mut() => return reply,
            () = sleep_until(times.deadline) => {}
        }
        // A response that has arrived by then counts, even if the process was suspended and has not
        // read it yet.
        yield_now().await;
        let mut until = times.deadline;
        loop {
            if let Ok(reply) = timeout_at(until, exchange.as_mut()).await {
                return reply;
            }
            match progress.answer.wait_until(Instant::now(), times.answer_by) {
                Some(next) => until = next,
                None => return Outcome::TimedOut.into(),
            }
        }
    }

    async fn exchange(
        &self,
        target_endpoint: AttemptTarget<'_>,
        outgoing: &OutgoingRequest,
        progress: &ExchangeProgress,
        times: AttemptTimes,
    ) -> AttemptResult {
        loop {
            if let Some(outcome) = prevented_outcome(target_endpoint, outgoing, times) {
                return outcome.into();
            }
            let mut ready = match self.connect(target_endpoint).await {
                Ok(ready) => ready,
                Err(outcome) => return outcome.into(),
            };
            // The destination may have changed while dialling.
            if let Some(outcome) = prevented_outcome(target_endpoint, outgoing, times) {
                return outcome.into();
            }
            let Some(request) = outgoing.request(times.deadline) else {
                return Outcome::NotSent.into();
            };
            let response = ready
                .connection
                .request(request, progress.written.clone())
                .await;
            match response {
                Ok(response) => {
                    let received = self.receive(target_endpoint, ready, response, &progress.answer);
                    return received.await;
                }
                // The endpoint closed the connection just as it was reused, before anything was
                // written.
                Err(_) if ready.is_reused && !progress.written.has_started() => {}
                Err(_) if progress.written.is_complete() => return Outcome::Reset.into(),
                Err(_) => return Outcome::ConnectFailed.into(),
            }
        }
    }

    /// Takes an idle connection to the endpoint, or else dials a new one; the outcome of the attempt
    /// if there is none.
    async fn connect(&self, to: AttemptTarget<'_>) -> Result<ReadyConnection, Outcome> {
        if let Some((mut connection, permit)) = self.pool.take_idle(to.endpoint).await {
            connection.prepare().await;
            return Ok(ReadyConnection {
                connection,
                permit,
                is_reused: true,
            });
        }
        match self.pool.dial(to.target.address).await {
            Ok((mut connection, permit)) => {
                // Makes the connection ready to write, and then handles what has happened in the
                // meantime, such as a client's disconnect or a new list.
                connection.prepare().await;
                yield_now().await;
                Ok(ReadyConnection {
                    connection,
                    permit,
                    is_reused: false,
                })
            }
            // Local resources are exhausted, which is not the endpoint's fault.
            Err(DialError::Exhausted) => Err(Outcome::NotSent),
            Err(DialError::Unreachable) => Err(Outcome::ConnectFailed),
        }
    }

    /// Reads the body of a response, and keeps the connection if that is complete.
    async fn receive(
        &self,
        from: AttemptTarget<'_>,
        ready: ReadyConnection,
        response: Response<Incoming>,
        progress: &AnswerProgress,
    ) -> AttemptResult {
        let ReadyConnection {
            mut connection,
            permit,
            ..
        } = ready;
        let (head, body) = response.into_parts();
        if head.status == StatusCode::OK {
            let length = body.size_hint().exact();
            progress.begin(
                length.and_then(|length| usize::try_from(length).ok()),
                Instant::now(),
            );
        }
        let size = MessageSize::of(&head.headers, &body.size_hint(), MAX_BODY_BYTES);
        // Until there is enough memory, nothing of the body is read.
        let memory = match size.is_small() {
            true => None,
            false => Some(self.pool.answer_memory().reserve(size.bytes()).await),
        };
        let body = connection
            .drive(collect_body(body, MAX_BODY_BYTES, |length| {
                progress.record_piece(length, Instant::now());
            }))
            .await;
        if body.as_ref().is_some_and(Result::is_ok) {
            let parked = self
                .pool
                .park(from.endpoint, from.target, connection, permit);
            parked.await;
        }
        let length = body
            .as_ref()
            .and_then(|body| body.as_ref().ok())
            .map_or(0, Bytes::len);
        attempt_result(
            head,
            body,
            memory.map(|memory| memory.shrunk_to(size.head + length)),
        )
    }
}

/// How far an exchange has come.
struct ExchangeProgress {
    written: WriteProgress,
    answer: AnswerProgress,
}

/// A connection on which a request may be written.
struct ReadyConnection {
    connection: Connection,
    permit: OwnedSemaphorePermit,
    /// It has carried a request before.
    is_reused: bool,
}
