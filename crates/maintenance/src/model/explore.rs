//! Explores the model to a given depth, also with planted faults that must be found.

use stateright::{Checker, Model};

use super::Maintenance;
use crate::planted_faults::PlantedFault;

/// Depth of an exploration: a window takes ten steps from start to end, and the next is admitted in
/// the eleventh.
const DEPTH: usize = 13;

/// The properties violated within that depth, and the number of states.
fn explore(fault: PlantedFault, checks_tokens: bool, depth: usize) -> (Vec<&'static str>, usize) {
    let checker = Maintenance {
        planted: fault,
        checks_tokens,
    }
    .checker()
    .threads(4)
    .target_max_depth(depth)
    .spawn_bfs()
    .join();
    for name in ["called back", "taken", "second granted"] {
        let reached = checker.discovery(name).is_some();
        assert!(
            reached || fault != PlantedFault::default() || !checks_tokens || depth < DEPTH,
            "{name:?} is never reached"
        );
    }
    let violated = ["capacity", "granted", "clear"]
        .into_iter()
        .filter(|name| checker.discovery(name).is_some());
    (violated.collect(), checker.unique_state_count())
}

#[test]
fn no_order_of_messages_breaks_a_rule() {
    let (broken, states) = explore(PlantedFault::default(), true, DEPTH);
    println!("{states} states");
    assert!(broken.is_empty(), "{broken:?}");
    assert!(states > 50_000, "{states} states are too few");
}

#[test]
#[ignore = "minutes and gigabytes: the depth that docs/maintenance.md states"]
fn no_order_of_messages_breaks_a_rule_deeper() {
    let depth = std::env::var("MODEL_DEPTH")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(18);
    let (broken, states) = explore(PlantedFault::default(), true, depth);
    println!("depth {depth}: {states} states");
    assert!(broken.is_empty(), "{broken:?}");
}

#[test]
fn without_the_debit_the_capacity_breaks() {
    let (broken, _) = explore(
        PlantedFault {
            no_debits: true,
            ..PlantedFault::default()
        },
        true,
        6,
    );
    assert!(broken.contains(&"capacity"), "{broken:?}");
}

#[test]
fn without_the_token_check_a_late_drain_has_no_grant() {
    let (broken, _) = explore(PlantedFault::default(), false, 10);
    assert!(broken.contains(&"granted"), "{broken:?}");
}

#[test]
fn without_the_wait_for_the_clear_a_server_is_taken_too_soon() {
    let (broken, _) = explore(
        PlantedFault {
            no_drain_check: true,
            ..PlantedFault::default()
        },
        true,
        7,
    );
    assert!(broken.contains(&"clear"), "{broken:?}");
}
