//! An observer of the events and actions of decision modules in simulated time.

use load_balancer::{Action, Event, Micros};

/// Observes all events and actions of decision modules, in order. An instance is one incarnation of
/// a sidecar.
pub trait SimulationObserver {
    /// An instance has started, with that seed and those settings (the object's text on one line).
    fn started(&mut self, instance: usize, now: Micros, seed: u64, settings: &str);
    /// An instance's module has handled `event` and returned `actions`.
    fn handled(&mut self, instance: usize, now: Micros, event: &Event, actions: &[Action]);
}
