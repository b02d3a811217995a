//! The metrics of the snapshot.

use super::SnapshotHost;
use load_balancer_common::metering::MetricsRegistry;

impl SnapshotHost {
    /// Updates the metrics.
    pub fn update_metrics(&self, figures: &MetricsRegistry) {
        let counts = self.0.writer.counts();
        for (name, help, total) in [
            (
                "sidecar_state_commits_total",
                "Commits of what is kept, each with a sync.",
                counts.commits,
            ),
            (
                "sidecar_state_bytes_total",
                "Bytes of payload in them.",
                counts.bytes,
            ),
            (
                "sidecar_state_coalesced_total",
                "Changes replaced by later ones unwritten.",
                counts.coalesced,
            ),
            (
                "sidecar_state_failures_total",
                "Times that the disk did not do what was asked.",
                counts.failures,
            ),
            (
                "sidecar_state_set_aside_total",
                "Files that were not believed.",
                counts.quarantined,
            ),
        ] {
            figures.counter(name, help, &[]).absolute(total);
        }
        let failing = figures.gauge("sidecar_state_failing", "1 while nothing can be kept.", &[]);
        failing.set(f64::from(u8::from(counts.failing)));
    }
}
