//! Tests of `metering.rs`.

use super::*;

#[test]
fn figures_are_written_with_their_words_and_labels() {
    let figures = Figures::new();
    figures
        .counter(
            "a_requests_total",
            "Requests.",
            &[("class", "x\"y"), ("outcome", "served")],
        )
        .increment(3);
    let times = figures.seconds("a_duration_seconds", "Times.", &[]);
    times.record(0.15);
    times.record(3.0);
    figures.gauge("a_open", "Open.", &[]).set(2.0);
    let text = figures.text();
    for line in [
        "# TYPE a_requests_total counter",
        "a_requests_total{class=\"x\\\"y\",outcome=\"served\"} 3",
        "a_duration_seconds_bucket{le=\"0.1\"} 0",
        "a_duration_seconds_bucket{le=\"0.2\"} 1",
        "a_duration_seconds_bucket{le=\"+Inf\"} 2",
        "a_duration_seconds_count 2",
        "a_open 2",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
    }
    assert!(text.contains("process_resident_memory_bytes "));
    figures
        .counter(
            "a_requests_total",
            "Requests.",
            &[("class", "x\"y"), ("outcome", "served")],
        )
        .increment(1);
    assert!(
        figures.text().contains("outcome=\"served\"} 4"),
        "the same figure goes on"
    );
}

#[test]
fn contradictions_are_named() {
    let none = MetricsSection {
        readers: 0,
        ..MetricsSection::default()
    };
    assert_eq!(none.check().expect_err("no reader").key, "metrics.readers");
    let hurried = MetricsSection {
        timeout: Time::ms(0),
        ..MetricsSection::default()
    };
    assert_eq!(hurried.check().expect_err("no time").key, "metrics.timeout");
}
