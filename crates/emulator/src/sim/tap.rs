//! An observer of the events and actions of a decision module in simulated time.

use load_balancer::{Action, Event, Micros};

/// Hears whatever passes between sidecars and their modules, in order. An instance is one life of a
/// sidecar.
pub trait Tap {
    /// An instance has begun, with that seed and those settings (the object's text on one line).
    fn started(&mut self, instance: usize, now: Micros, seed: u64, settings: &str);
    /// Its module was told of `event` and asked for `actions`.
    fn told(&mut self, instance: usize, now: Micros, event: &Event, actions: &[Action]);
}
