//! The metrics of gossip.

use super::Observer;
use load_balancer_gossip::core::MembershipSummary;

impl Observer {
    /// Updates the metrics of this sidecar's membership.
    pub fn update_fleet(&self, members: &MembershipSummary) {
        let Some(metrics) = &self.0 else { return };
        let f = &metrics.figures;
        f.gauge("sidecar_fleet_members", "Other members that run.", &[])
            .set(members.members.len() as f64);
        f.gauge("sidecar_fleet_resting", "Endpoints that are ejected.", &[])
            .set(members.ejections.len() as f64);
        let counts = &members.counts;
        for (name, what, value) in [
            (
                "sidecar_fleet_datagrams_sent_total",
                "Datagrams sent.",
                counts.sent,
            ),
            (
                "sidecar_fleet_sent_bytes_total",
                "Bytes of datagrams sent.",
                counts.sent_bytes,
            ),
            (
                "sidecar_fleet_datagrams_received_total",
                "Datagrams that came.",
                counts.received,
            ),
            (
                "sidecar_fleet_evidence_said_total",
                "Health observations published by this member.",
                counts.published,
            ),
            (
                "sidecar_fleet_evidence_heard_total",
                "Health observations of others that were new.",
                counts.observations_received,
            ),
            (
                "sidecar_fleet_trials_total",
                "Trials that fell to this member.",
                counts.trials,
            ),
            ("sidecar_fleet_rests_total", "Ejections.", counts.ejections),
        ] {
            f.counter(name, what, &[]).absolute(value);
        }
        for (reason, count) in &members.dropped {
            f.counter(
                "sidecar_fleet_dropped_total",
                "What was dropped, by reason.",
                &[("reason", reason)],
            )
            .absolute(*count);
        }
    }
}
