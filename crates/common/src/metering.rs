//! Metrics in Prometheus text form, by the `[metrics]` section. [`crate::pages`] serves them.

use crate::config::Contradiction;
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
    /// Whether figures are kept and handed out at all.
    pub enabled: bool,
    /// Where they are read.
    pub address: SocketAddr,
    /// Readers that may be connected at once; further ones are closed.
    pub readers: usize,
    /// How long one reader may take, from connecting to the last byte of its answer.
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
    /// Finds what nothing could work with.
    ///
    /// # Errors
    /// There is no room or no time for a reader.
    pub fn check(&self) -> Result<(), Contradiction> {
        if self.readers == 0 {
            return Err(Contradiction::new(
                "metrics.readers",
                "0 lets nobody read; set metrics.enabled = false",
            ));
        }
        if self.timeout.0.is_zero() {
            return Err(Contradiction::new(
                "metrics.timeout",
                "0s leaves no time to answer",
            ));
        }
        Ok(())
    }
}

/// Bounds of the histograms' buckets, in seconds: from a fast answer on one machine to the longest
/// deadline that the platform's settings know (4 s), each about twice the one before.
const BUCKETS: [f64; 13] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.8, 1.0, 2.0, 4.0,
];
/// How often samples of histograms are taken out of their queue where nobody reads them, so that it
/// stays short.
const UPKEEP: Duration = Duration::from_secs(5);

/// All figures of one process.
pub struct Figures {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
}

impl Default for Figures {
    fn default() -> Self {
        Self::new()
    }
}

impl Figures {
    /// None yet.
    pub fn new() -> Self {
        let builder = PrometheusBuilder::new();
        // Refused only without a bucket.
        let builder = match builder.set_buckets(&BUCKETS) {
            Ok(builder) => builder,
            Err(_) => PrometheusBuilder::new(),
        };
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        Self { recorder, handle }
    }

    /// A count that only grows; its name ends with `_total`.
    pub fn counter(
        &self,
        name: &'static str,
        what: &'static str,
        labels: &[(&'static str, &str)],
    ) -> Counter {
        self.recorder
            .describe_counter(KeyName::from(name), None, SharedString::from(what));
        self.recorder
            .register_counter(&key(name, labels), &METADATA)
    }

    /// A value that goes up and down.
    pub fn gauge(
        &self,
        name: &'static str,
        what: &'static str,
        labels: &[(&'static str, &str)],
    ) -> Gauge {
        self.recorder
            .describe_gauge(KeyName::from(name), None, SharedString::from(what));
        self.recorder.register_gauge(&key(name, labels), &METADATA)
    }

    /// Times in seconds; its name ends with `_seconds`.
    pub fn seconds(
        &self,
        name: &'static str,
        what: &'static str,
        labels: &[(&'static str, &str)],
    ) -> Histogram {
        self.recorder.describe_histogram(
            KeyName::from(name),
            Some(Unit::Seconds),
            SharedString::from(what),
        );
        self.recorder
            .register_histogram(&key(name, labels), &METADATA)
    }

    /// All of them in Prometheus text form, version 0.0.4, with the process's own brought up to
    /// date.
    pub fn text(&self) -> String {
        let usage = process::usage();
        for (name, what, value) in [
            (
                "process_resident_memory_bytes",
                "Resident memory.",
                usage.resident.map(|v| v as f64),
            ),
            (
                "process_open_fds",
                "Descriptors open.",
                usage.descriptors.map(|v| v as f64),
            ),
            (
                "process_max_fds",
                "Descriptors that may be open.",
                usage.most_descriptors.map(|v| v as f64),
            ),
            (
                "process_cpu_seconds",
                "Processor time used.",
                usage.processor,
            ),
        ] {
            if let Some(value) = value {
                self.gauge(name, what, &[]).set(value);
            }
        }
        self.handle.render()
    }

    /// Keeps the queues of the histograms short. Runs for good.
    pub async fn upkeep(self: Rc<Self>) {
        loop {
            sleep(UPKEEP).await;
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
