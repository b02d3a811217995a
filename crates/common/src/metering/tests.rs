//! Tests of `metering.rs`.

use super::*;

#[test]
fn metrics_are_rendered_with_their_help_and_labels() {
    let figures = MetricsRegistry::new();
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
    let text = figures.render();
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
        figures.render().contains("outcome=\"served\"} 4"),
        "the same figure goes on"
    );
}

#[test]
fn invalid_settings_are_named() {
    let no_readers = MetricsSection {
        readers: 0,
        ..MetricsSection::default()
    };
    assert_eq!(
        no_readers.check().expect_err("no reader").key,
        "metrics.readers"
    );
    let no_time = MetricsSection {
        timeout: Time::ms(0),
        ..MetricsSection::default()
    };
    assert_eq!(no_time.check().expect_err("no time").key, "metrics.timeout");
}
