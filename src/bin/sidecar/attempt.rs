//! One attempt at an endpoint: where it goes, until when, what must not begin any more, and how it ended.

use crate::messages::{Outgoing, Served, TIME_LEFT};
use crate::pool::{Endpoint, Target};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HeaderValue;
use load_balancer::{LoadReport, Outcome};
use std::rc::Rc;
use tokio::time::Instant;

/// How an attempt ended.
pub struct Reply {
    /// The outcome.
    pub outcome: Outcome,
    /// The answer to pass on.
    pub served: Option<Served>,
    /// The load report that came along.
    pub load: LoadReport,
}

impl Reply {
    /// One without an answer to pass on.
    pub fn of(outcome: Outcome, load: LoadReport) -> Self {
        Self {
            outcome,
            served: None,
            load,
        }
    }
}

impl From<Outcome> for Reply {
    fn from(outcome: Outcome) -> Self {
        Self::of(outcome, LoadReport::default())
    }
}

/// Where an attempt goes: the process that it is meant for, and its endpoint, which may move or
/// drain meanwhile.
pub struct Destination {
    /// The process; none where nothing may be sent.
    pub target: Option<Target>,
    /// The endpoint.
    pub endpoint: Rc<Endpoint>,
}

impl Destination {
    /// The process that is at an endpoint now.
    pub fn of(endpoint: Rc<Endpoint>) -> Self {
        Self {
            target: endpoint.target(),
            endpoint,
        }
    }
}

/// A process at an endpoint.
#[derive(Clone, Copy)]
pub struct To<'a> {
    /// The process.
    pub target: Target,
    /// Its endpoint as it is now.
    pub endpoint: &'a Endpoint,
}

/// Until when an attempt may do what.
#[derive(Clone, Copy)]
pub struct Times {
    /// Its last byte is out by then, or never goes out.
    pub write_by: Instant,
    /// Then it is given up.
    pub until: Instant,
}

/// How an attempt ends that must not begin any more: its request has its answer, the process that
/// it was meant for has been told to leave, has moved or been replaced, or its time is over.
pub fn barred(to: To<'_>, out: &Outgoing, times: Times) -> Option<Outcome> {
    if out.settled.get() || to.endpoint.target() != Some(to.target) {
        return Some(Outcome::NotSent);
    }
    (Instant::now() >= times.write_by).then_some(Outcome::ConnectFailed)
}

impl Outgoing {
    /// The request as an endpoint gets it, with the time that is left until then.
    pub fn request(&self, until: Instant) -> Option<Request<Full<Bytes>>> {
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
