//! Debug log lines and metrics of requests, attempts and lists.

mod gossip;
mod series;

use crate::messages::{Answer, EngineSummary, Outgoing};
use load_balancer::{AttemptIndex, Micros, Outcome};
use load_balancer_common::metering::Figures;
use series::{ENDS, Series, outcome_label};
use std::rc::Rc;
use tokio::time::Instant;

/// Sees what the engine does. Without metrics only lines at debug level come of it.
#[derive(Clone)]
pub struct Observer(Option<Rc<Series>>);

fn end(answer: Option<&Answer>) -> usize {
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
    /// One that counts nothing.
    pub fn blind() -> Self {
        Self(None)
    }

    /// One that counts into `figures`, by these classes.
    pub fn counting(figures: Rc<Figures>, classes: &[String]) -> Self {
        Self(Some(Rc::new(Series::register(figures, classes))))
    }

    /// A request was taken.
    pub fn taken(&self, class: usize, outgoing: &Outgoing) {
        tracing::debug!(target: "sidecar::request", id = outgoing.id(), class, "taken");
    }

    /// An attempt of it goes out.
    pub fn sent(&self, outgoing: &Outgoing, attempt: AttemptIndex, endpoint: &str) {
        tracing::debug!(target: "sidecar::request", id = outgoing.id(), attempt, endpoint, "sent");
        if let Some(seen) = self.0.as_deref().filter(|_| attempt > 0) {
            seen.retries.increment(1);
        }
    }

    /// An attempt ended; its request may be over already.
    pub fn ended(&self, outgoing: Option<&Outgoing>, outcome: Outcome, took: Micros) {
        let (number, label) = outcome_label(outcome);
        if let Some(outgoing) = outgoing {
            let id = outgoing.id();
            tracing::debug!(target: "sidecar::request", id, outcome = label, took_us = took, "attempt ended");
        }
        if let Some(seen) = &self.0 {
            let attempts = &seen.attempts[number];
            attempts.ended.increment(1);
            attempts.seconds.record(seconds(took));
        }
    }

    /// A request got its answer, or, without one, its client has left.
    pub fn answered(
        &self,
        class: usize,
        outgoing: &Outgoing,
        answer: Option<&Answer>,
        took: Micros,
    ) {
        let end = end(answer);
        let id = outgoing.id();
        tracing::debug!(target: "sidecar::request", id, outcome = ENDS[end], took_us = took, "answered");
        if let Some(of) = self.0.as_ref().and_then(|seen| seen.classes.get(class)) {
            of.ended[end].increment(1);
            if end == 0 {
                of.seconds.record(seconds(took));
            }
        }
    }

    /// Discovery answered.
    pub fn listed(&self) {
        if let Some(seen) = &self.0 {
            seen.list_at.set(Instant::now());
        }
    }

    /// Takes in what the engine found when it was asked, and writes all figures.
    pub fn page(&self, summarize: &EngineSummary, lines_dropped: u64) -> Option<String> {
        let seen = self.0.as_deref()?;
        let summary = &summarize.summary;
        for (counter, total) in seen.given_up.iter().zip(summary.given_up) {
            counter.absolute(total);
        }
        for (gauge, value) in [
            (&seen.circuits_open, summary.circuits_open),
            (&seen.queued, summary.queued),
            (&seen.open, summarize.open),
            (&seen.attempts_open, summarize.attempts),
            (&seen.endpoints_ready, summary.ready),
            (
                &seen.endpoints_other,
                summary.listed - summary.ready.min(summary.listed),
            ),
        ] {
            gauge.set(value as f64);
        }
        seen.list_age
            .set(seen.list_at.get().elapsed().as_secs_f64());
        seen.lines_dropped.absolute(lines_dropped);
        Some(seen.figures.text())
    }

    /// The figures behind it.
    pub fn figures(&self) -> Option<Rc<Figures>> {
        self.0.as_ref().map(|seen| Rc::clone(&seen.figures))
    }
}

#[cfg(test)]
mod tests;
