//! Debug log lines and metrics of requests, attempts and lists.

mod gossip;

use crate::messages::{Answer, EngineSummary, Outgoing};
use load_balancer::{AttemptNo, Micros, Outcome};
use load_balancer_common::cli;
use load_balancer_common::metering::Figures;
use metrics::{Counter, Gauge, Histogram};
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// Sees what the engine does. Without metrics only lines at debug level come of it.
#[derive(Clone)]
pub struct Observer(Option<Rc<Seen>>);

struct Seen {
    figures: Rc<Figures>,
    classes: Vec<OfClass>,
    attempts: [(Counter, Histogram); OUTCOMES.len()],
    retries: Counter,
    given_up: [Counter; 3],
    circuits_open: Gauge,
    queued: Gauge,
    open: Gauge,
    attempts_open: Gauge,
    endpoints: [Gauge; 2],
    list_age: Gauge,
    list_at: Cell<Instant>,
    lines_dropped: Counter,
}

/// The figures of one class: by how requests ended, and how long the served ones took.
struct OfClass {
    ended: [Counter; 4],
    seconds: Histogram,
}

/// How attempts end, in the words of the metrics.
const OUTCOMES: [(Outcome, &str); 8] = [
    (Outcome::Ok, "served"),
    (Outcome::Error, "error"),
    (Outcome::Rejected, "rejected"),
    (Outcome::TimedOut, "timed_out"),
    (Outcome::ConnectFailed, "connect_failed"),
    (Outcome::Reset, "reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::NotSent, "not_sent"),
];
/// How requests end, in the same.
const ENDS: [&str; 4] = ["served", "refused", "failed", "abandoned"];
/// Why the module gives one up, in the same.
const REASONS: [&str; 3] = ["shed", "waiting", "failing"];

fn word(outcome: Outcome) -> (usize, &'static str) {
    let found = OUTCOMES
        .iter()
        .enumerate()
        .find(|(_, (o, _))| *o == outcome);
    found.map_or((0, "served"), |(i, (_, word))| (i, *word))
}

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
        let f = &figures;
        let version = [
            ("version", cli::VERSION),
            ("commit", cli::COMMIT.unwrap_or("unknown")),
        ];
        f.gauge(
            "sidecar_build_info",
            "1, with the build in its labels.",
            &version,
        )
        .set(1.0);
        let of_class = |class: &String| OfClass {
            ended: ENDS.map(|outcome| {
                let labels = [("class", class.as_str()), ("outcome", outcome)];
                f.counter(
                    "sidecar_requests_total",
                    "Requests by class and how they ended.",
                    &labels,
                )
            }),
            seconds: f.seconds(
                "sidecar_request_duration_seconds",
                "Time from a request's arrival to its answer, where it was served.",
                &[("class", class)],
            ),
        };
        let of_outcome = |(_, outcome): (Outcome, &str)| {
            let labels = [("outcome", outcome)];
            (
                f.counter(
                    "sidecar_attempts_total",
                    "Attempts at endpoints by how they ended.",
                    &labels,
                ),
                f.seconds(
                    "sidecar_attempt_duration_seconds",
                    "Time that attempts took.",
                    &labels,
                ),
            )
        };
        let given_up = |reason| {
            f.counter(
                "sidecar_given_up_total",
                "Requests given up, by reason.",
                &[("reason", reason)],
            )
        };
        let endpoints = |state| {
            f.gauge(
                "sidecar_endpoints",
                "Endpoints on the list, by state.",
                &[("state", state)],
            )
        };
        Self(Some(Rc::new(Seen {
            classes: classes.iter().map(of_class).collect(),
            attempts: OUTCOMES.map(of_outcome),
            retries: f.counter(
                "sidecar_retries_total",
                "Attempts after a request's first.",
                &[],
            ),
            given_up: REASONS.map(given_up),
            circuits_open: f.gauge(
                "sidecar_circuits_open",
                "Endpoints whose circuit is open.",
                &[],
            ),
            queued: f.gauge(
                "sidecar_queued_requests",
                "Requests that wait for an endpoint with room.",
                &[],
            ),
            open: f.gauge(
                "sidecar_open_requests",
                "Requests without their final answer.",
                &[],
            ),
            attempts_open: f.gauge("sidecar_open_attempts", "Attempts that are out.", &[]),
            endpoints: ["ready", "other"].map(endpoints),
            list_age: f.gauge(
                "sidecar_list_age_seconds",
                "Time since discovery last answered.",
                &[],
            ),
            list_at: Cell::new(Instant::now()),
            lines_dropped: f.counter(
                "sidecar_log_lines_dropped_total",
                "Lines that standard error did not take.",
                &[],
            ),
            figures,
        })))
    }

    /// A request was taken.
    pub fn taken(&self, class: usize, outgoing: &Outgoing) {
        tracing::debug!(target: "sidecar::request", id = outgoing.id(), class, "taken");
    }

    /// An attempt of it goes out.
    pub fn sent(&self, outgoing: &Outgoing, attempt: AttemptNo, endpoint: &str) {
        tracing::debug!(target: "sidecar::request", id = outgoing.id(), attempt, endpoint, "sent");
        if let Some(seen) = self.0.as_deref().filter(|_| attempt > 0) {
            seen.retries.increment(1);
        }
    }

    /// An attempt ended; its request may be over already.
    pub fn ended(&self, outgoing: Option<&Outgoing>, outcome: Outcome, took: Micros) {
        let (number, word) = word(outcome);
        if let Some(outgoing) = outgoing {
            let id = outgoing.id();
            tracing::debug!(target: "sidecar::request", id, outcome = word, took_us = took, "attempt ended");
        }
        if let Some(seen) = &self.0 {
            seen.attempts[number].0.increment(1);
            seen.attempts[number].1.record(seconds(took));
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
            (&seen.endpoints[0], summary.ready),
            (
                &seen.endpoints[1],
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
