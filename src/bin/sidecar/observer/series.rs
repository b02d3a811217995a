//! The metrics of requests, attempts and lists, registered once at the start.

use crate::occupancy::Occupancy;
use crate::refusal::Refusal;
use load_balancer::Outcome;
use load_balancer_common::cli;
use load_balancer_common::metering::MetricsRegistry;
use metrics::{Counter, Gauge, Histogram};
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// Metric labels of the attempts' outcomes.
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
/// Metric labels of the answers to requests.
pub(super) const ANSWER_LABELS: [&str; 4] = ["served", "refused", "failed", "abandoned"];
/// Metric labels of the reasons for which requests are given up.
const GIVEN_UP_REASONS: [&str; 3] = ["shed", "waiting", "failing"];

/// All metrics except those of gossip.
pub(super) struct RequestMetrics {
    pub figures: Rc<MetricsRegistry>,
    pub classes: Vec<ClassMetrics>,
    /// By outcome, in the order of [`outcome_label`].
    pub attempts: [AttemptMetrics; OUTCOMES.len()],
    pub retries: Counter,
    pub given_up: [Counter; GIVEN_UP_REASONS.len()],
    /// By what they were occupied with, in the order of [`Occupancy::LABELS`].
    pub connections_evicted: [Counter; Occupancy::LABELS.len()],
    /// By reason, in the order of [`Refusal::LABELS`].
    pub refused: [Counter; Refusal::LABELS.len()],
    pub circuits_open: Gauge,
    pub queued: Gauge,
    pub timers: Gauge,
    pub open: Gauge,
    pub attempts_open: Gauge,
    pub endpoints_ready: Gauge,
    pub endpoints_other: Gauge,
    pub list_age: Gauge,
    /// When discovery last answered.
    pub list_received_at: Cell<Instant>,
    pub lines_dropped: Counter,
}

/// Metrics of one class: requests by answer, and durations of the successful ones.
pub(super) struct ClassMetrics {
    pub ended: [Counter; ANSWER_LABELS.len()],
    pub seconds: Histogram,
}

/// Metrics of attempts with one outcome.
pub(super) struct AttemptMetrics {
    pub ended: Counter,
    pub seconds: Histogram,
}

/// The index of an outcome among the labels, and its label.
pub(super) fn outcome_label(outcome: Outcome) -> (usize, &'static str) {
    let position = OUTCOMES
        .iter()
        .enumerate()
        .find(|(_, (known, _))| *known == outcome);
    position.map_or((0, "served"), |(index, (_, label))| (index, *label))
}

impl RequestMetrics {
    /// Registers the metrics in `figures`, and the build's version.
    pub fn register(figures: Rc<MetricsRegistry>, classes: &[String]) -> Self {
        register_build(&figures);
        let f = &figures;
        let gauge = |name, help| f.gauge(name, help, &[]);
        let counter = |name, help| f.counter(name, help, &[]);
        let given_up = |reason| {
            let labels = [("reason", reason)];
            f.counter(
                "sidecar_given_up_total",
                "Requests given up, by reason.",
                &labels,
            )
        };
        let evicted = |state| {
            let labels = [("state", state)];
            f.counter(
                "sidecar_client_connections_evicted_total",
                "Client connections closed to make room for others, by state.",
                &labels,
            )
        };
        let refused = |reason| {
            let labels = [("reason", reason)];
            f.counter(
                "sidecar_requests_refused_total",
                "Requests answered without having been taken, by reason.",
                &labels,
            )
        };
        let endpoints = |state| {
            let labels = [("state", state)];
            f.gauge(
                "sidecar_endpoints",
                "Endpoints on the list, by state.",
                &labels,
            )
        };
        Self {
            classes: classes
                .iter()
                .map(|class| class_metrics(f, class))
                .collect(),
            attempts: OUTCOMES.map(|(_, label)| attempt_metrics(f, label)),
            retries: counter("sidecar_retries_total", "Attempts after a request's first."),
            given_up: GIVEN_UP_REASONS.map(given_up),
            connections_evicted: Occupancy::LABELS.map(evicted),
            refused: Refusal::LABELS.map(refused),
            circuits_open: gauge("sidecar_circuits_open", "Endpoints whose circuit is open."),
            queued: gauge(
                "sidecar_queued_requests",
                "Requests that wait for an endpoint with room.",
            ),
            timers: gauge(
                "sidecar_pending_timers",
                "Timers of the decision module, those of ended requests included.",
            ),
            open: gauge(
                "sidecar_open_requests",
                "Requests without their final answer.",
            ),
            attempts_open: gauge("sidecar_open_attempts", "Attempts that are out."),
            endpoints_ready: endpoints("ready"),
            endpoints_other: endpoints("other"),
            list_age: gauge(
                "sidecar_list_age_seconds",
                "Time since discovery last answered.",
            ),
            list_received_at: Cell::new(Instant::now()),
            lines_dropped: counter(
                "sidecar_log_lines_dropped_total",
                "Lines that standard error did not take.",
            ),
            figures,
        }
    }
}

fn register_build(figures: &MetricsRegistry) {
    let labels = [
        ("version", cli::VERSION),
        ("commit", cli::COMMIT.unwrap_or("unknown")),
    ];
    let build = figures.gauge(
        "sidecar_build_info",
        "1, with the build in its labels.",
        &labels,
    );
    build.set(1.0);
}

fn class_metrics(figures: &MetricsRegistry, class: &str) -> ClassMetrics {
    ClassMetrics {
        ended: ANSWER_LABELS.map(|outcome| {
            let labels = [("class", class), ("outcome", outcome)];
            figures.counter(
                "sidecar_requests_total",
                "Requests by class and how they ended.",
                &labels,
            )
        }),
        seconds: figures.seconds(
            "sidecar_request_duration_seconds",
            "Time from a request's arrival to its answer, where it was served.",
            &[("class", class)],
        ),
    }
}

fn attempt_metrics(figures: &MetricsRegistry, label: &str) -> AttemptMetrics {
    let labels = [("outcome", label)];
    AttemptMetrics {
        ended: figures.counter(
            "sidecar_attempts_total",
            "Attempts at endpoints by how they ended.",
            &labels,
        ),
        seconds: figures.seconds(
            "sidecar_attempt_duration_seconds",
            "Time that attempts took.",
            &labels,
        ),
    }
}
