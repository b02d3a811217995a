//! Metrics in the Prometheus text format, as configured in the `[metrics]` section;
//! [`crate::pages`] serves them.

use crate::config::InvalidSetting;
use crate::process;
use crate::units::Time;
use metrics::{
    Counter, Gauge, Histogram, Key, KeyName, Label, Level, Metadata, Recorder, SharedString, Unit,
};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The `[metrics]` section.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricsSection {
    /// Whether metrics are recorded and served.
    pub enabled: bool,
    /// The address at which they are served.
    pub address: SocketAddr,
    /// Most concurrent readers; further connections are closed.
    pub readers: usize,
    /// Timeout of a reader, from connecting to the last byte of its answer.
    pub timeout: Time,
}

impl Default for MetricsSection {
    fn default() -> Self {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9464));
        Self {
            enabled: false,
            address,
            readers: 4,
            timeout: Time::ms(5000),
        }
    }
}

impl MetricsSection {
    /// Rejects settings that can't work.
    ///
    /// # Errors
    /// No readers, or no time for them.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        if self.readers == 0 {
            return Err(InvalidSetting::new(
                "metrics.readers",
                "0 lets nobody read; set metrics.enabled = false",
            ));
        }
        if self.timeout.0.is_zero() {
            return Err(InvalidSetting::new(
                "metrics.timeout",
                "0s leaves no time to answer",
            ));
        }
        Ok(())
    }
}

/// Upper bounds of the histograms' buckets, in seconds: from a fast answer on one machine to the
/// longest deadline of the platform's settings (4 s), each about twice the previous one.
const BUCKET_BOUNDS_S: [f64; 13] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.8, 1.0, 2.0, 4.0,
];
/// Interval at which histogram samples are taken out of their queues if nobody reads the metrics.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// The metrics of one process.
pub struct MetricsRegistry {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
}

impl Default for MetricsRegistry {
    fn default() -> Self {
        Self::new()
    }
}

impl MetricsRegistry {
    /// An empty registry.
    pub fn new() -> Self {
        let builder = PrometheusBuilder::new();
        // Fails only without buckets.
        let builder = match builder.set_buckets(&BUCKET_BOUNDS_S) {
            Ok(builder) => builder,
            Err(_) => PrometheusBuilder::new(),
        };
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        Self { recorder, handle }
    }

    /// Registers a counter; its name ends with `_total`.
    pub fn counter(
        &self,
        name: &'static str,
        help: &'static str,
        labels: &[(&'static str, &str)],
    ) -> Counter {
        self.recorder
            .describe_counter(KeyName::from(name), None, SharedString::from(help));
        self.recorder
            .register_counter(&key(name, labels), &METADATA)
    }

    /// Registers a gauge.
    pub fn gauge(
        &self,
        name: &'static str,
        help: &'static str,
        labels: &[(&'static str, &str)],
    ) -> Gauge {
        self.recorder
            .describe_gauge(KeyName::from(name), None, SharedString::from(help));
        self.recorder.register_gauge(&key(name, labels), &METADATA)
    }

    /// Registers a histogram of durations in seconds; its name ends with `_seconds`.
    pub fn seconds(
        &self,
        name: &'static str,
        help: &'static str,
        labels: &[(&'static str, &str)],
    ) -> Histogram {
        self.recorder.describe_histogram(
            KeyName::from(name),
            Some(Unit::Seconds),
            SharedString::from(help),
        );
        self.recorder
            .register_histogram(&key(name, labels), &METADATA)
    }

    /// Renders all metrics in the Prometheus text format, version 0.0.4, with current values of the
    /// process's own metrics.
    pub fn render(&self) -> String {
        let usage = process::usage();
        for (name, help, value) in [
            (
                "process_resident_memory_bytes",
                "Resident memory.",
                usage.resident_bytes.map(|v| v as f64),
            ),
            (
                "process_open_fds",
                "Descriptors open.",
                usage.descriptors.map(|v| v as f64),
            ),
            (
                "process_max_fds",
                "Descriptors that may be open.",
                usage.max_descriptors.map(|v| v as f64),
            ),
            (
                "process_cpu_seconds",
                "Processor time used.",
                usage.cpu_seconds,
            ),
        ] {
            if let Some(value) = value {
                self.gauge(name, help, &[]).set(value);
            }
        }
        self.handle.render()
    }

    /// Keeps the queues of the histograms short. Runs forever.
    pub async fn upkeep(self: Rc<Self>) {
        loop {
            sleep(UPKEEP_INTERVAL).await;
            self.handle.run_upkeep();
        }
    }
}

const METADATA: Metadata<'static> = Metadata::new("load_balancer", Level::INFO, None);

fn key(name: &'static str, labels: &[(&'static str, &str)]) -> Key {
    let labels: Vec<_> = labels
        .iter()
        .map(|(name, value)| Label::new(*name, (*value).to_owned()))
        .collect();
    Key::from_parts(name, labels)
}

#[cfg(test)]
mod tests;
