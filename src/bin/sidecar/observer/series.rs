//! The metrics of requests, attempts and lists, registered once.

use load_balancer::Outcome;
use load_balancer_common::cli;
use load_balancer_common::metering::Figures;
use metrics::{Counter, Gauge, Histogram};
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// How attempts end, as the metrics' labels have it.
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
/// How requests end, likewise.
pub(super) const ENDS: [&str; 4] = ["served", "refused", "failed", "abandoned"];
/// Why a request is given up, likewise.
const REASONS: [&str; 3] = ["shed", "waiting", "failing"];

/// All metrics but those of gossip.
pub(super) struct Series {
    pub figures: Rc<Figures>,
    pub classes: Vec<ClassSeries>,
    /// By outcome, in the order of [`outcome_label`].
    pub attempts: [AttemptSeries; OUTCOMES.len()],
    pub retries: Counter,
    pub given_up: [Counter; REASONS.len()],
    pub circuits_open: Gauge,
    pub queued: Gauge,
    pub open: Gauge,
    pub attempts_open: Gauge,
    pub endpoints_ready: Gauge,
    pub endpoints_other: Gauge,
    pub list_age: Gauge,
    /// When discovery answered last.
    pub list_at: Cell<Instant>,
    pub lines_dropped: Counter,
}

/// Requests of one class, by how they ended, and how long the served ones took.
pub(super) struct ClassSeries {
    pub ended: [Counter; ENDS.len()],
    pub seconds: Histogram,
}

/// Attempts of one outcome, and how long they took.
pub(super) struct AttemptSeries {
    pub ended: Counter,
    pub seconds: Histogram,
}

/// An outcome's place among the labels, and its label.
pub(super) fn outcome_label(outcome: Outcome) -> (usize, &'static str) {
    let found = OUTCOMES
        .iter()
        .enumerate()
        .find(|(_, (known, _))| *known == outcome);
    found.map_or((0, "served"), |(place, (_, label))| (place, *label))
}

impl Series {
    /// Registers them in `figures`, with the build's version.
    pub fn register(figures: Rc<Figures>, classes: &[String]) -> Self {
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
        let endpoints = |state| {
            let labels = [("state", state)];
            f.gauge(
                "sidecar_endpoints",
                "Endpoints on the list, by state.",
                &labels,
            )
        };
        Self {
            classes: classes.iter().map(|class| of_class(f, class)).collect(),
            attempts: OUTCOMES.map(|(_, label)| of_outcome(f, label)),
            retries: counter("sidecar_retries_total", "Attempts after a request's first."),
            given_up: REASONS.map(given_up),
            circuits_open: gauge("sidecar_circuits_open", "Endpoints whose circuit is open."),
            queued: gauge(
                "sidecar_queued_requests",
                "Requests that wait for an endpoint with room.",
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
            list_at: Cell::new(Instant::now()),
            lines_dropped: counter(
                "sidecar_log_lines_dropped_total",
                "Lines that standard error did not take.",
            ),
            figures,
        }
    }
}

fn register_build(figures: &Figures) {
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

fn of_class(figures: &Figures, class: &str) -> ClassSeries {
    ClassSeries {
        ended: ENDS.map(|outcome| {
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

fn of_outcome(figures: &Figures, label: &str) -> AttemptSeries {
    let labels = [("outcome", label)];
    AttemptSeries {
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
