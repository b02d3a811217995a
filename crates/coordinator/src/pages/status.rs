//! The status page of a coordinator.

use super::Pages;
use load_balancer_coordinator::core::View;
use load_balancer_maintenance::State;
use serde_json::{Value, json};
use std::sync::Arc;

impl Pages {
    /// Returns the status for on-call engineers.
    pub fn status(&self) -> Value {
        let published = Arc::clone(&self.status.borrow());
        let late_ms = self.clock.now().mono_ms.saturating_sub(published.at_ms);
        let section = &self.sections.coordinator;
        let mut status =
            json!({"name": section.name, "halted": published.halted, "late_ms": late_ms});
        if let Some(view) = &published.view {
            add_view(&mut status, view);
            // A log thread that is blocked by the disk does not act.
            let max_lateness_ms = section.heartbeat.0.as_millis() * section.patience as u128;
            let is_active_leader =
                view.replica_status.acts && u128::from(late_ms) < max_lateness_ms;
            status["acts"] = json!(is_active_leader);
        }
        status["messages_dropped"] = json!(self.peers.dropped());
        status["inputs_missed"] = json!(self.calls.dropped_inputs());
        status
    }
}

fn add_view(status: &mut Value, view: &View) {
    let replica_status = &view.replica_status;
    status["disk"] = json!(replica_status.id.to_string());
    status["term"] = json!(replica_status.term);
    status["leader"] = json!(replica_status.leader);
    status["looked"] = json!(view.looked);
    status["voice"] = json!(replica_status.voice);
    status["blank"] = json!(replica_status.blank);
    status["voters"] = json!(replica_status.voters);
    status["members"] = json!(replica_status.members);
    status["applied"] = json!(replica_status.applied);
    status["servers"] = json!(view.servers);
    status["token"] = json!(view.token);
    status["due"] = json!(view.due);
    let open = view
        .windows
        .iter()
        .filter(|window| window.state != State::Closed);
    status["open_windows"] = json!(open.count());
    status["holds"] = json!(view.capacity.as_ref().map(|capacity| capacity.holds));
}
