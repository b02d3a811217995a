//! Attempts at endpoints: sends a request and interprets the response.

use crate::attempt::{AttemptResult, AttemptTarget, AttemptTimes, Destination, prevented_outcome};
use crate::connection::WriteProgress;
use crate::load_report::parse_load_report;
use crate::messages::{
    AttemptId, EndedAttempt, Input, InputSender, MAX_BODY_BYTES, OutgoingRequest, ServedAnswer,
};
use crate::pool::{DialError, Pool};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use load_balancer::{Micros, Outcome};
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Longest time of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
const BACKEND_LOAD: HeaderName = HeaderName::from_static("x-backend-load");

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
        let progress = WriteProgress::new(outgoing.body.len());
        let mut exchange = pin!(self.exchange(target_endpoint, outgoing, &progress, times));
        tokio::select! {
            biased;
            () = sleep_until(times.write_by) => {}
            reply = exchange.as_mut() => return reply,
        }
        // A request that was not written completely has not begun, and must not begin any more.
        if !progress.is_complete() {
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
        let reply = timeout_at(times.deadline, exchange).await;
        reply.unwrap_or(Outcome::TimedOut.into())
    }

    async fn exchange(
        &self,
        target_endpoint: AttemptTarget<'_>,
        outgoing: &OutgoingRequest,
        progress: &WriteProgress,
        times: AttemptTimes,
    ) -> AttemptResult {
        let AttemptTarget { target, endpoint } = target_endpoint;
        loop {
            if let Some(outcome) = prevented_outcome(target_endpoint, outgoing, times) {
                return outcome.into();
            }
            let (mut connection, permit, reused) = match self.pool.take_idle(endpoint).await {
                Some((connection, permit)) => (connection, permit, true),
                None => match self.pool.dial(target.address).await {
                    Ok((mut connection, permit)) => {
                        // Makes the connection ready to write, and then handles what has happened
                        // in the meantime, such as a client's disconnect or a new list.
                        connection.poll_driver_once().await;
                        yield_now().await;
                        (connection, permit, false)
                    }
                    // Local resources are exhausted, which is not the endpoint's fault.
                    Err(DialError::Exhausted) => return Outcome::NotSent.into(),
                    Err(DialError::Unreachable) => return Outcome::ConnectFailed.into(),
                },
            };
            // The destination may have changed while dialling.
            if let Some(outcome) = prevented_outcome(target_endpoint, outgoing, times) {
                return outcome.into();
            }
            let Some(request) = outgoing.request(times.deadline) else {
                return Outcome::NotSent.into();
            };
            let Ok(response) = connection.request(request, progress.clone()).await else {
                // The endpoint closed the connection just as it was reused, before anything was
                // written.
                if reused && !progress.has_started() {
                    continue;
                }
                return if progress.is_complete() {
                    Outcome::Reset.into()
                } else {
                    Outcome::ConnectFailed.into()
                };
            };
            let (head, body) = response.into_parts();
            let body = connection
                .drive(Limited::new(body, MAX_BODY_BYTES).collect())
                .await;
            let is_complete = body.as_ref().is_some_and(|b| b.is_ok());
            let load = head
                .headers
                .get(BACKEND_LOAD)
                .map(parse_load_report)
                .unwrap_or_default();
            let unprocessed = head.headers.get(UNPROCESSED).is_some_and(|v| v == "1");
            if is_complete {
                self.pool.park(endpoint, target, connection, permit).await;
            }
            return match (head.status, body) {
                (StatusCode::OK, Some(Ok(body))) => {
                    let served = ServedAnswer {
                        headers: head.headers,
                        body: body.to_bytes(),
                    };
                    AttemptResult {
                        outcome: Outcome::Ok,
                        served: Some(served),
                        load,
                    }
                }
                (StatusCode::OK, Some(Err(e))) if e.is::<http_body_util::LengthLimitError>() => {
                    AttemptResult::without_answer(Outcome::Error, load)
                }
                (StatusCode::OK, _) => AttemptResult::without_answer(Outcome::Reset, load),
                // An incomplete response does not count as the rejection it claims to be.
                (StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT, Some(Ok(_)))
                    if unprocessed =>
                {
                    AttemptResult::without_answer(Outcome::Rejected, load)
                }
                _ => AttemptResult::without_answer(Outcome::Error, load),
            };
        }
    }

    /// Probes an endpoint, if the settings permit it, and reports the outcome.
    pub async fn probe(self: Rc<Self>, id: usize, inputs: InputSender) {
        let (start, endpoint) = (Instant::now(), self.pool.endpoint(id));
        let mut headers = HeaderMap::new();
        headers.insert(hyper::header::HOST, HeaderValue::from_static("endpoint"));
        let uri = Uri::from_static("/alive");
        let outgoing = OutgoingRequest {
            method: Method::GET,
            uri,
            headers,
            body: Bytes::new(),
            is_answered: Cell::new(false),
        };
        let deadline = start + PROBE_TIMEOUT;
        let times = AttemptTimes {
            write_by: deadline,
            deadline,
        };
        let reply = match endpoint.target() {
            Some(target) => {
                let target_endpoint = AttemptTarget {
                    target,
                    endpoint: &endpoint,
                };
                self.exchange_within(times, target_endpoint, &outgoing)
                    .await
            }
            None => Outcome::ConnectFailed.into(),
        };
        let elapsed = Micros::try_from(start.elapsed().as_micros()).unwrap_or(Micros::MAX);
        inputs.send(Input::ProbeEnded {
            endpoint: id,
            outcome: reply.outcome,
            elapsed,
            load: reply.load,
        });
    }
}
