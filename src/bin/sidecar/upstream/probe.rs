//! Health checks of endpoints.

use super::Upstream;
use crate::attempt::{AttemptTarget, AttemptTimes};
use crate::messages::{Input, InputSender, OutgoingRequest};
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use load_balancer::{Micros, Outcome};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

impl Upstream {
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
            client_may_have_left: Cell::new(false),
            repeat_id: None,
            _memory: None,
        };
        let deadline = start + PROBE_TIMEOUT;
        let times = AttemptTimes {
            write_by: deadline,
            deadline,
            answer_by: deadline,
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
