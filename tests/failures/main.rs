//! Behaviour under faults: one small test for each failure that was found.

#[path = "../common/mod.rs"]
mod common;

mod circuits;
mod ends;
mod latency;
mod lines;
mod lists;
mod load_shedding;
mod overload;
mod slow_start;
mod slow_start_fleet;

use common::*;
use load_balancer::*;

fn delta(harness: &mut Harness, entry: ListedEndpoint) -> Vec<Action> {
    harness.handle(Event::Endpoints(ListUpdate::Delta(vec![entry])))
}
