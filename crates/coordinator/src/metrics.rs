//! Metrics of the coordinator.

use crate::calls::PendingCalls;
use crate::log_thread::PublishedStatus;
use crate::peers::Peers;
use crate::poller::Poller;
use load_balancer_common::metering::MetricsRegistry;
use load_balancer_common::pages::Page;
use load_balancer_maintenance::State;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::watch;

/// The sources of the metrics.
#[derive(Clone)]
pub struct Sources {
    pub figures: Rc<MetricsRegistry>,
    pub status: watch::Receiver<Arc<PublishedStatus>>,
    pub calls: PendingCalls,
    pub peers: Peers,
    pub poller: Rc<Poller>,
}

impl Sources {
    /// Renders the metrics page.
    pub fn page(&self) -> Page {
        let figures = &self.figures;
        let gauge = |name, help, value: f64| figures.gauge(name, help, &[]).set(value);
        let status = Arc::clone(&self.status.borrow());
        gauge(
            "coordinator_stands_back",
            "1 while the disk fails or holds an unknown format.",
            f64::from(u8::from(status.halted.is_some())),
        );
        if let Some(view) = &status.view {
            let replica_status = &view.replica_status;
            let as_gauge = |condition: bool| f64::from(u8::from(condition));
            gauge(
                "coordinator_acts",
                "1 while it leads.",
                as_gauge(replica_status.acts),
            );
            gauge(
                "coordinator_voice",
                "1 while its disk has a vote.",
                as_gauge(replica_status.voice),
            );
            gauge(
                "coordinator_term",
                "Term of the replicated log.",
                replica_status.term as f64,
            );
            gauge(
                "coordinator_applied",
                "Index of the last applied entry.",
                replica_status.applied as f64,
            );
            gauge(
                "coordinator_token",
                "Last fencing token.",
                view.token as f64,
            );
            gauge(
                "coordinator_servers",
                "Servers on the platform's list.",
                view.servers as f64,
            );
            for state in [
                State::Asked,
                State::Booked,
                State::Draining,
                State::Clear,
                State::Away,
            ] {
                let slots = view.windows.iter().flat_map(|window| &window.slots);
                let count = slots.filter(|slot| slot.state == state).count();
                let label = format!("{state:?}").to_lowercase();
                let name = "coordinator_seats";
                figures
                    .gauge(name, "Servers in windows, by state.", &[("state", &label)])
                    .set(count as f64);
            }
            if let Some(capacity) = &view.capacity {
                gauge(
                    "coordinator_holds",
                    "1 while the disruption budget holds.",
                    as_gauge(capacity.holds),
                );
                gauge(
                    "coordinator_away",
                    "Servers unavailable: admitted, failed or unreachable.",
                    f64::from(capacity.away),
                );
            }
        }
        let (answered, polled) = self.poller.answered.get();
        gauge(
            "coordinator_sidecars_asked",
            "Sidecars polled in the last round.",
            polled as f64,
        );
        gauge(
            "coordinator_sidecars_answered",
            "Sidecars that answered in the last round.",
            answered as f64,
        );
        let name = "coordinator_messages_dropped_total";
        figures
            .counter(
                name,
                "Messages to other coordinators that were dropped.",
                &[],
            )
            .absolute(self.peers.dropped());
        let name = "coordinator_inputs_missed_total";
        figures
            .counter(
                name,
                "Inputs dropped because the queue of the log thread was full.",
                &[],
            )
            .absolute(self.calls.dropped_inputs());
        Page::metrics(figures.render())
    }
}
