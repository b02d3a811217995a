//! Debug log lines and metrics of requests, attempts and lists.

mod gossip;
mod series;

use crate::messages::{Answer, EngineSummary, OutgoingRequest};
use crate::occupancy::Occupancy;
use crate::refusal::Refusal;
use load_balancer::{AttemptIndex, Micros, Outcome};
use load_balancer_common::metering::MetricsRegistry;
use series::{ANSWER_LABELS, RequestMetrics, outcome_label};
use std::rc::Rc;
use tokio::time::Instant;

/// Records what the engine does. Without metrics it only writes lines at debug level.
#[derive(Clone)]
pub struct Observer(Option<Rc<RequestMetrics>>);

fn answer_index(answer: Option<&Answer>) -> usize {
    match answer {
        Some(Answer::Served(_)) => 0,
        Some(Answer::Rejected(_)) => 1,
        Some(Answer::Failed) => 2,
        None => 3,
    }
}

fn seconds(us: Micros) -> f64 {
    us.max(0) as f64 / 1e6
}

impl Observer {
    /// An observer without metrics.
    pub fn disabled() -> Self {
        Self(None)
    }

    /// An observer that records into `figures`, by class.
    pub fn enabled(figures: Rc<MetricsRegistry>, classes: &[String]) -> Self {
        Self(Some(Rc::new(RequestMetrics::register(figures, classes))))
    }

    /// Records a new request.
    pub fn request_accepted(&self, class: usize, outgoing: &OutgoingRequest) {
        tracing::debug!(target: "sidecar::request", id = outgoing.correlation_id(), class, "taken");
    }

    /// Records a request that came again and may have run.
    pub fn request_repeated(&self, outgoing: &OutgoingRequest) {
        tracing::debug!(target: "sidecar::request", id = outgoing.correlation_id(), "came again and may have run, failed");
    }

    /// Records the start of an attempt.
    pub fn attempt_sent(&self, outgoing: &OutgoingRequest, attempt: AttemptIndex, endpoint: &str) {
        tracing::debug!(target: "sidecar::request", id = outgoing.correlation_id(), attempt, endpoint, "sent");
        if let Some(metrics) = self.0.as_deref().filter(|_| attempt > 0) {
            metrics.retries.increment(1);
        }
    }

    /// Records the end of an attempt; its request may already be answered.
    pub fn attempt_ended(
        &self,
        outgoing: Option<&OutgoingRequest>,
        outcome: Outcome,
        elapsed: Micros,
    ) {
        let (index, label) = outcome_label(outcome);
        if let Some(outgoing) = outgoing {
            let id = outgoing.correlation_id();
            tracing::debug!(target: "sidecar::request", id, outcome = label, took_us = elapsed, "attempt ended");
        }
        if let Some(metrics) = &self.0 {
            let attempts = &metrics.attempts[index];
            attempts.ended.increment(1);
            attempts.seconds.record(seconds(elapsed));
        }
    }

    /// Records the answer to a request, or, without one, that its client has disconnected.
    pub fn request_answered(
        &self,
        class: usize,
        outgoing: &OutgoingRequest,
        answer: Option<&Answer>,
        elapsed: Micros,
    ) {
        let index = answer_index(answer);
        let id = outgoing.correlation_id();
        tracing::debug!(target: "sidecar::request", id, outcome = ANSWER_LABELS[index], took_us = elapsed, "answered");
        if let Some(class_metrics) = self.0.as_ref().and_then(|seen| seen.classes.get(class)) {
            class_metrics.ended[index].increment(1);
            if index == 0 {
                class_metrics.seconds.record(seconds(elapsed));
            }
        }
    }

    /// Records a request that is answered without having been taken.
    pub fn request_refused(&self, reason: Refusal) {
        if let Some(metrics) = &self.0 {
            metrics.refused[reason.index()].increment(1);
        }
    }

    /// Records a client connection that was closed for another one.
    pub fn client_connection_evicted(&self, occupancy: Occupancy) {
        if let Some(metrics) = &self.0 {
            metrics.connections_evicted[occupancy.label_index()].increment(1);
        }
    }

    /// Records an answer of discovery.
    pub fn list_received(&self) {
        if let Some(metrics) = &self.0 {
            metrics.list_received_at.set(Instant::now());
        }
    }

    /// Updates the metrics from the engine's summary, and renders all of them.
    pub fn metrics_text(&self, engine: &EngineSummary, dropped_lines: u64) -> Option<String> {
        let metrics = self.0.as_deref()?;
        let summary = &engine.summary;
        for (counter, total) in metrics.given_up.iter().zip(summary.given_up) {
            counter.absolute(total);
        }
        for (gauge, value) in [
            (&metrics.circuits_open, summary.circuits_open),
            (&metrics.queued, summary.queued),
            (&metrics.timers, summary.timers),
            (&metrics.open, engine.open),
            (&metrics.attempts_open, engine.attempts),
            (&metrics.endpoints_ready, summary.ready),
            (
                &metrics.endpoints_other,
                summary.listed - summary.ready.min(summary.listed),
            ),
        ] {
            gauge.set(value as f64);
        }
        metrics
            .list_age
            .set(metrics.list_received_at.get().elapsed().as_secs_f64());
        metrics.lines_dropped.absolute(dropped_lines);
        Some(metrics.figures.render())
    }

    /// The metrics that it records into.
    pub fn figures(&self) -> Option<Rc<MetricsRegistry>> {
        self.0.as_ref().map(|seen| Rc::clone(&seen.figures))
    }
}

#[cfg(test)]
mod tests;
