//! Attempts at endpoints: how one is made, and how its end is read.

use crate::attempt::{Destination, Reply, Times, To, barred};
use crate::connection::WriteProgress;
use crate::load_report::read_load;
use crate::messages::{AttemptId, Ended, Input, Inputs, MAX_BODY_BYTES, Outgoing, Served};
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

/// How long a probe may take.
const PROBE_TIME: Duration = Duration::from_secs(1);

const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
const BACKEND_LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// What makes attempts, over the connections of a pool.
pub struct Upstream {
    pool: Rc<Pool>,
}

impl Upstream {
    /// Over these connections.
    pub fn new(pool: Rc<Pool>) -> Self {
        Self { pool }
    }

    /// Makes one attempt and tells how it ended.
    pub async fn attempt(
        self: Rc<Self>,
        id: AttemptId,
        destination: Destination,
        outgoing: Rc<Outgoing>,
        times: Times,
        inputs: Inputs,
    ) {
        let endpoint = &*destination.endpoint;
        let reply = match destination.target {
            Some(target) => {
                let to = To { target, endpoint };
                self.within(times, to, &outgoing).await
            }
            None => Outcome::NotSent.into(),
        };
        inputs.send(Input::Ended(Ended {
            id,
            outcome: reply.outcome,
            served: reply.served,
            load: reply.load,
        }));
    }

    /// An exchange inside its times.
    async fn within(&self, times: Times, to: To<'_>, out: &Outgoing) -> Reply {
        let progress = WriteProgress::new(out.body.len());
        let mut exchange = pin!(self.exchange(to, out, &progress, times));
        tokio::select! {
            biased;
            () = sleep_until(times.write_by) => {}
            reply = exchange.as_mut() => return reply,
        }
        // What has not wholly been written never began, and is not to begin any more.
        if !progress.complete() {
            return Outcome::ConnectFailed.into();
        }
        tokio::select! {
            biased;
            reply = exchange.as_mut() => return reply,
            () = sleep_until(times.until) => {}
        }
        // An answer that has come by then counts, also where a process that was held up has not
        // looked at it yet.
        yield_now().await;
        let reply = timeout_at(times.until, exchange).await;
        reply.unwrap_or(Outcome::TimedOut.into())
    }

    async fn exchange(
        &self,
        to: To<'_>,
        out: &Outgoing,
        progress: &WriteProgress,
        times: Times,
    ) -> Reply {
        let To { target, endpoint } = to;
        loop {
            if let Some(outcome) = barred(to, out, times) {
                return outcome.into();
            }
            let (mut connection, permit, reused) = match self.pool.reuse(endpoint).await {
                Some((connection, permit)) => (connection, permit, true),
                None => match self.pool.dial(target.address).await {
                    Ok((mut connection, permit)) => {
                        // Made ready to write at once, and then what has come meanwhile is heard
                        // first: a client's leaving, the list.
                        connection.turn().await;
                        yield_now().await;
                        (connection, permit, false)
                    }
                    // For want of room here: no endpoint is to blame.
                    Err(DialError::NoRoom) => return Outcome::NotSent.into(),
                    Err(DialError::Unreachable) => return Outcome::ConnectFailed.into(),
                },
            };
            // It may have changed while it was dialled.
            if let Some(outcome) = barred(to, out, times) {
                return outcome.into();
            }
            let Some(request) = out.request(times.until) else {
                return Outcome::NotSent.into();
            };
            let Ok(response) = connection.request(request, progress.clone()).await else {
                // Closed by the endpoint in the moment it was taken up again, before anything was
                // written.
                if reused && !progress.begun() {
                    continue;
                }
                return if progress.complete() {
                    Outcome::Reset.into()
                } else {
                    Outcome::ConnectFailed.into()
                };
            };
            let (head, body) = response.into_parts();
            let body = connection
                .drive(Limited::new(body, MAX_BODY_BYTES).collect())
                .await;
            let whole = body.as_ref().is_some_and(|b| b.is_ok());
            let load = head
                .headers
                .get(BACKEND_LOAD)
                .map(read_load)
                .unwrap_or_default();
            let unprocessed = head.headers.get(UNPROCESSED).is_some_and(|v| v == "1");
            if whole {
                self.pool.park(endpoint, target, connection, permit).await;
            }
            return match (head.status, body) {
                (StatusCode::OK, Some(Ok(body))) => {
                    let served = Served {
                        headers: head.headers,
                        body: body.to_bytes(),
                    };
                    Reply {
                        outcome: Outcome::Ok,
                        served: Some(served),
                        load,
                    }
                }
                (StatusCode::OK, Some(Err(e))) if e.is::<http_body_util::LengthLimitError>() => {
                    Reply::of(Outcome::Error, load)
                }
                (StatusCode::OK, _) => Reply::of(Outcome::Reset, load),
                // One that breaks off can't be read as what it promises to be.
                (StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT, Some(Ok(_)))
                    if unprocessed =>
                {
                    Reply::of(Outcome::Rejected, load)
                }
                _ => Reply::of(Outcome::Error, load),
            };
        }
    }

    /// Probes an endpoint, where the settings allow it, and tells how that ended.
    pub async fn probe(self: Rc<Self>, id: usize, inputs: Inputs) {
        let (start, endpoint) = (Instant::now(), self.pool.endpoint(id));
        let mut headers = HeaderMap::new();
        headers.insert(hyper::header::HOST, HeaderValue::from_static("endpoint"));
        let uri = Uri::from_static("/alive");
        let outgoing = Outgoing {
            method: Method::GET,
            uri,
            headers,
            body: Bytes::new(),
            settled: Cell::new(false),
        };
        let until = start + PROBE_TIME;
        let times = Times {
            write_by: until,
            until,
        };
        let reply = match endpoint.target() {
            Some(target) => {
                let to = To {
                    target,
                    endpoint: &endpoint,
                };
                self.within(times, to, &outgoing).await
            }
            None => Outcome::ConnectFailed.into(),
        };
        let took = Micros::try_from(start.elapsed().as_micros()).unwrap_or(Micros::MAX);
        inputs.send(Input::Probed {
            endpoint: id,
            outcome: reply.outcome,
            took,
            load: reply.load,
        });
    }
}
