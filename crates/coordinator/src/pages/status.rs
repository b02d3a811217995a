//! The status page of a coordinator.

use super::Pages;
use load_balancer_coordinator::core::View;
use load_balancer_maintenance::State;
use serde_json::{Value, json};
use std::sync::Arc;

impl Pages {
    /// What on-call wants to see of this coordinator.
    pub fn status(&self) -> Value {
        let seen = Arc::clone(&self.seen.borrow());
        let late_ms = self.clock.now().mono_ms.saturating_sub(seen.at_ms);
        let own = &self.sections.coordinator;
        let mut status = json!({"name": own.name, "halted": seen.halted, "late_ms": late_ms});
        if let Some(view) = &seen.view {
            add_view(&mut status, view);
            // A thread that the disk holds up acts on nothing.
            let bound = own.heartbeat.0.as_millis() * own.patience as u128;
            let acts = view.replica_status.acts && u128::from(late_ms) < bound;
            status["acts"] = json!(acts);
        }
        status["messages_dropped"] = json!(self.peers.dropped());
        status["inputs_missed"] = json!(self.calls.missed());
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
