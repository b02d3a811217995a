//! Carries out the actions of the decision module.

use super::Engine;
use crate::attempt::{Destination, Times};
use crate::discovery::Ask;
use crate::messages::{Answer, AttemptId};
use crate::report::say;
use load_balancer::{Action, Micros, RequestId};
use std::rc::Rc;
use tokio::task::spawn_local;

/// An attempt is given up this much before its time. Where the time of its request ends with it,
/// the module hears of the time-out first: otherwise it would call the attempt back, and never
/// learn that the endpoint hangs.
const ATTEMPT_FIRST: Micros = 5_000;

impl Engine {
    /// Carries out what the module asked for at `now`.
    pub(super) fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send {
                request,
                endpoint,
                timeout,
                write_by,
            } => {
                let until = now.saturating_add(timeout - ATTEMPT_FIRST.min(timeout / 2));
                let [write_by, until] = [write_by.min(until), until].map(|t| self.clock.instant(t));
                self.send(request, endpoint, Times { write_by, until });
            }
            Action::Reject {
                request,
                retry_after,
            } => self.open.answer(request, Answer::Rejected(retry_after)),
            Action::Fail(request) => self.open.answer(request, Answer::Failed),
            Action::Cancel { request, attempt } => {
                self.events
                    .extend(self.open.cancel(AttemptId { request, attempt }));
            }
            Action::Probe(endpoint) => {
                let (upstream, inputs) = (Rc::clone(&self.upstream), self.sender.clone());
                spawn_local(upstream.probe(endpoint, inputs));
            }
            Action::SetTimer { after, token } => self.timers.set(after, token),
            // Only the end of the process takes discovery's task away.
            Action::Subscribe(true) => drop(self.asks.send(Ask::Watch)),
            Action::Subscribe(false) => drop(self.asks.send(Ask::StopWatch)),
            Action::FetchList => drop(self.asks.send(Ask::Fetch)),
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

    fn send(&mut self, request: RequestId, endpoint: usize, times: Times) {
        // The module holds no request that is not held here: both learn of every end in the same
        // turn.
        let Some((attempt, outgoing)) = self.open.next(request, self.listed.name(endpoint)) else {
            return;
        };
        let to = self.pool.endpoint(endpoint);
        // What was decided holds for the process that is there now.
        let attempting = Rc::clone(&self.upstream).attempt(
            AttemptId { request, attempt },
            Destination::of(to),
            outgoing,
            times,
            self.sender.clone(),
        );
        let task = spawn_local(attempting).abort_handle();
        self.open
            .sent(AttemptId { request, attempt }, endpoint, task);
    }
}
