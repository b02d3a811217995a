//! The coordinator's metrics.

use crate::calls::Calls;
use crate::log_thread::Seen;
use crate::peers::Peers;
use crate::poller::Poller;
use load_balancer_common::metering::Figures;
use load_balancer_common::pages::Page;
use load_balancer_maintenance::State;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::watch;

/// What figures are read from.
#[derive(Clone)]
pub struct Sources {
    pub figures: Rc<Figures>,
    pub seen: watch::Receiver<Arc<Seen>>,
    pub calls: Calls,
    pub peers: Peers,
    pub poller: Rc<Poller>,
}

impl Sources {
    /// The page of the metrics.
    pub fn page(&self) -> Page {
        let figures = &self.figures;
        let gauge = |name, what, value: f64| figures.gauge(name, what, &[]).set(value);
        let seen = Arc::clone(&self.seen.borrow());
        gauge(
            "coordinator_stands_back",
            "1 while the disk fails or holds what this program does not know.",
            f64::from(u8::from(seen.halted.is_some())),
        );
        if let Some(view) = &seen.view {
            let replica_status = &view.replica_status;
            let yes = |it: bool| f64::from(u8::from(it));
            gauge(
                "coordinator_acts",
                "1 while it leads.",
                yes(replica_status.acts),
            );
            gauge(
                "coordinator_voice",
                "1 while its disk has a voice.",
                yes(replica_status.voice),
            );
            gauge(
                "coordinator_term",
                "Term of the agreement.",
                replica_status.term as f64,
            );
            gauge(
                "coordinator_applied",
                "Last agreed entry that it took in.",
                replica_status.applied as f64,
            );
            gauge("coordinator_token", "Last token.", view.token as f64);
            gauge(
                "coordinator_servers",
                "Servers of the list.",
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
                let word = format!("{state:?}").to_lowercase();
                let name = "coordinator_seats";
                figures
                    .gauge(name, "Servers in windows, by state.", &[("state", &word)])
                    .set(count as f64);
            }
            if let Some(capacity) = &view.capacity {
                gauge(
                    "coordinator_holds",
                    "1 while the disruption budget holds.",
                    yes(capacity.holds),
                );
                gauge(
                    "coordinator_away",
                    "Servers away, by grant, dead or unheard of.",
                    f64::from(capacity.away),
                );
            }
        }
        let (answered, asked) = self.poller.answered.get();
        gauge(
            "coordinator_sidecars_asked",
            "Sidecars asked in the last round.",
            asked as f64,
        );
        gauge(
            "coordinator_sidecars_answered",
            "Those that answered.",
            answered as f64,
        );
        let name = "coordinator_messages_dropped_total";
        figures
            .counter(name, "Messages not brought to other coordinators.", &[])
            .absolute(self.peers.dropped());
        let name = "coordinator_inputs_missed_total";
        figures
            .counter(name, "What the agreement's thread had no room for.", &[])
            .absolute(self.calls.missed());
        Page::metrics(figures.text())
    }
}
