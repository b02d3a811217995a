//! Performs the actions of the decision module.

use super::Engine;
use crate::attempt::{AttemptTimes, Destination};
use crate::discovery::DiscoveryRequest;
use crate::messages::{Answer, AttemptId};
use crate::report::say;
use load_balancer::{Action, Micros, RequestId};
use std::rc::Rc;
use tokio::task::spawn_local;

/// How long before its timeout an attempt is given up, in microseconds. If the request's deadline
/// coincides with the timeout, the module must see the timeout first: otherwise it would cancel the
/// attempt and never learn that the endpoint hangs.
const ATTEMPT_TIMEOUT_MARGIN_US: Micros = 5_000;

impl Engine {
    /// Performs an action that the module returned at `now`.
    pub(super) fn perform(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send {
                request,
                endpoint,
                timeout,
                write_by,
            } => {
                let deadline =
                    now.saturating_add(timeout - ATTEMPT_TIMEOUT_MARGIN_US.min(timeout / 2));
                self.start_attempt(request, endpoint, write_by.min(deadline), deadline);
            }
            Action::Reject {
                request,
                retry_after,
            } => self
                .open_requests
                .answer(request, Answer::Rejected(retry_after)),
            Action::Fail(request) => self.open_requests.answer(request, Answer::Failed),
            Action::Cancel { request, attempt } => {
                self.events
                    .extend(self.open_requests.cancel(AttemptId { request, attempt }));
            }
            Action::Probe(endpoint) => {
                let (upstream, inputs) = (Rc::clone(&self.upstream), self.input_sender.clone());
                spawn_local(upstream.probe(endpoint, inputs));
            }
            Action::SetTimer { after, token } => self.timers.set(after, token),
            // Sending fails only when discovery's task has ended with the process.
            Action::Subscribe(true) => {
                let _ = self.discovery_requests.send(DiscoveryRequest::Watch);
            }
            Action::Subscribe(false) => {
                let _ = self.discovery_requests.send(DiscoveryRequest::StopWatch);
            }
            Action::FetchList => {
                let _ = self.discovery_requests.send(DiscoveryRequest::Fetch);
            }
            Action::CloseIdle(endpoint) => self.pool.endpoint(endpoint).close_idle(),
            Action::SendToPeer { to, bytes } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &bytes);
                }
            }
            Action::ReportHealth { endpoint, served } => {
                if let Some(fleet) = &self.fleet {
                    fleet.report_health(endpoint, served);
                }
            }
            Action::Log(text) => say!(info, "sidecar::balancer", "{text}"),
        }
    }

    fn start_attempt(
        &mut self,
        request: RequestId,
        endpoint: usize,
        write_by: Micros,
        deadline: Micros,
    ) {
        // The module knows no request that is not open here: both learn of every end at the same
        // time.
        let Some(next) = self
            .open_requests
            .next_attempt(request, self.directory.name(endpoint))
        else {
            return;
        };
        let id = AttemptId {
            request,
            attempt: next.index,
        };
        let times = AttemptTimes {
            write_by: self.clock.instant(write_by),
            deadline: self.clock.instant(deadline),
            answer_by: self.clock.instant(next.request_deadline),
        };
        let attempted = self.pool.endpoint(endpoint);
        // The decision applies to the process that is at the endpoint now.
        let attempt_future = Rc::clone(&self.upstream).attempt(
            id,
            Destination::current(attempted),
            next.outgoing,
            times,
            self.input_sender.clone(),
        );
        let task = spawn_local(attempt_future).abort_handle();
        self.open_requests.attempt_sent(id, endpoint, task);
    }
}
