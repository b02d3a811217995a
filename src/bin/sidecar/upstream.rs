//! Attempts at endpoints: how one is made, and how its end is read.

use crate::connection::Meter;
use crate::messages::{Ended, Input, Inputs, LONGEST_BODY, Outgoing, Served, TIME_LEFT};
use crate::pool::{DialError, Endpoint, Pool, Target};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use load_balancer::{AttemptNo, Load, Micros, Outcome, RequestId};
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

type Reply = (Outcome, Option<Served>, Load);
/// The process that an attempt is meant for, and its endpoint as it is now.
type To<'a> = (Target, &'a Endpoint);

/// Until when an attempt may do what.
#[derive(Clone, Copy)]
pub struct Times {
    /// Its last byte is out by then, or never goes out.
    pub write_by: Instant,
    /// Then it is given up.
    pub until: Instant,
}

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
        (request, attempt): (RequestId, AttemptNo),
        (target, endpoint): (Option<Target>, Rc<Endpoint>),
        outgoing: Rc<Outgoing>,
        times: Times,
        inputs: Inputs,
    ) {
        let (outcome, served, load) = match target {
            Some(target) => self.within(times, (target, &endpoint), &outgoing).await,
            None => plain(Outcome::NotSent),
        };
        inputs.send(Input::Ended(Ended {
            request,
            attempt,
            outcome,
            served,
            load,
        }));
    }

    /// An exchange inside its times.
    async fn within(&self, times: Times, to: To<'_>, out: &Outgoing) -> Reply {
        let meter = Meter::new(out.body.len());
        let mut exchange = pin!(self.exchange(to, out, &meter, times));
        tokio::select! {
            biased;
            () = sleep_until(times.write_by) => {}
            reply = exchange.as_mut() => return reply,
        }
        // What has not wholly been written never began, and is not to begin any more.
        if !meter.complete() {
            return plain(Outcome::ConnectFailed);
        }
        tokio::select! {
            biased;
            reply = exchange.as_mut() => return reply,
            () = sleep_until(times.until) => {}
        }
        // An answer that has come by then counts, also where a process that was held up has not looked at it yet.
        yield_now().await;
        let reply = timeout_at(times.until, exchange).await;
        reply.unwrap_or(plain(Outcome::TimedOut))
    }

    async fn exchange(&self, to: To<'_>, out: &Outgoing, meter: &Meter, times: Times) -> Reply {
        let (target, endpoint) = to;
        loop {
            if let Some(outcome) = barred(to, out, times) {
                return plain(outcome);
            }
            let (mut connection, permit, reused) = match self.pool.reuse(endpoint).await {
                Some((connection, permit)) => (connection, permit, true),
                None => match self.pool.dial(target.address).await {
                    Ok((mut connection, permit)) => {
                        // Made ready to write at once, and then what has come meanwhile is heard first: a client's
                        // leaving, the list.
                        connection.turn().await;
                        yield_now().await;
                        (connection, permit, false)
                    }
                    // For want of room here: no endpoint is to blame.
                    Err(DialError::NoRoom) => return plain(Outcome::NotSent),
                    Err(DialError::Unreachable) => return plain(Outcome::ConnectFailed),
                },
            };
            // It may have changed while it was dialled.
            if let Some(outcome) = barred(to, out, times) {
                return plain(outcome);
            }
            let Some(request) = out.request(times.until) else {
                return plain(Outcome::NotSent);
            };
            let Ok(response) = connection.request(request, meter.clone()).await else {
                // Closed by the endpoint in the moment it was taken up again, before anything was written.
                if reused && !meter.begun() {
                    continue;
                }
                return plain(if meter.complete() {
                    Outcome::Reset
                } else {
                    Outcome::ConnectFailed
                });
            };
            let (head, body) = response.into_parts();
            let body = connection
                .drive(Limited::new(body, LONGEST_BODY).collect())
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
                    (Outcome::Ok, Some(served), load)
                }
                (StatusCode::OK, Some(Err(e))) if e.is::<http_body_util::LengthLimitError>() => {
                    (Outcome::Error, None, load)
                }
                (StatusCode::OK, _) => (Outcome::Reset, None, load),
                // One that breaks off can't be read as what it promises to be.
                (StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT, Some(Ok(_)))
                    if unprocessed =>
                {
                    (Outcome::Rejected, None, load)
                }
                _ => (Outcome::Error, None, load),
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
        let (outcome, _, load) = match endpoint.target() {
            Some(target) => {
                self.within(
                    Times {
                        write_by: until,
                        until,
                    },
                    (target, &endpoint),
                    &outgoing,
                )
                .await
            }
            None => plain(Outcome::ConnectFailed),
        };
        let took = Micros::try_from(start.elapsed().as_micros()).unwrap_or(Micros::MAX);
        inputs.send(Input::Probed(id, outcome, took, load));
    }
}

fn plain(outcome: Outcome) -> Reply {
    (outcome, None, Load::default())
}

/// How an attempt ends that must not begin any more: its request has its answer, the process that it was meant for
/// has been told to leave, has moved or been replaced, or its time is over.
fn barred((target, endpoint): To<'_>, out: &Outgoing, times: Times) -> Option<Outcome> {
    if out.settled.get() || endpoint.target() != Some(target) {
        return Some(Outcome::NotSent);
    }
    (Instant::now() >= times.write_by).then_some(Outcome::ConnectFailed)
}

impl Outgoing {
    fn request(&self, until: Instant) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        // No time at all is no figure that an endpoint could keep to.
        let left = until
            .saturating_duration_since(Instant::now())
            .as_micros()
            .max(1);
        request
            .headers_mut()
            .insert(TIME_LEFT, HeaderValue::from_str(&format!("{left}u")).ok()?);
        Some(request)
    }
}

/// Reads a load report: `name=value` pairs set apart by commas. What can't be read was not reported.
fn read_load(value: &HeaderValue) -> Load {
    let mut load = Load::default();
    for (name, value) in value
        .to_str()
        .unwrap_or("")
        .split(',')
        .filter_map(|pair| pair.split_once('='))
    {
        let slot = match name.trim() {
            "inflight" => &mut load.active,
            "queue" => &mut load.waiting,
            "util" => &mut load.cpu,
            "latency_ms" => &mut load.avg_ms,
            "qps" => &mut load.rps,
            "eps" => &mut load.err_rps,
            _ => continue,
        };
        *slot = value.trim().parse().ok().filter(|v: &f64| v.is_finite());
    }
    load
}

#[cfg(test)]
mod tests;
