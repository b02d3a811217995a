//! Explores the model to a given depth, also with planted faults that must be found.

use super::{Lease, PlantedFault, Scope};
use stateright::{Checker, HasDiscoveries, Model};

/// Depth that CI explores.
const DEPTH: usize = 6;
/// The rules that must hold in every state.
const RULES: [&str; 3] = ["one holder", "in order", "tokens grow"];

/// The rules violated within that many steps, and the number of states.
fn explore(fault: PlantedFault, scope: Scope, depth: usize) -> (Vec<&'static str>, usize) {
    let checker = Lease(fault, scope)
        .checker()
        .threads(4)
        .target_max_depth(depth);
    let checker = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let violated = RULES
        .into_iter()
        .filter(|name| checker.discovery(name).is_some())
        .collect();
    (violated, checker.unique_state_count())
}

fn assert_rules_hold(scope: Scope, depth: usize, min_states: usize) {
    let (broken, states) = explore(PlantedFault::default(), scope, depth);
    println!("{scope:?}, depth {depth}: {states} states");
    assert!(broken.is_empty(), "{broken:?}");
    assert!(states > min_states, "{states} states are too few");
}

#[test]
fn no_order_of_messages_breaks_a_rule_from_nothing() {
    assert_rules_hold(Scope::ALL, DEPTH, 1_000);
}

#[test]
fn no_order_of_messages_breaks_a_rule_while_the_lease_is_held() {
    assert_rules_hold(Scope::HELD, DEPTH, 1_000);
}

#[test]
#[ignore = "minutes and gigabytes: the depth that docs/leases.md states"]
fn no_order_of_messages_breaks_a_rule_deeper() {
    let depth = std::env::var("MODEL_DEPTH")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(8);
    assert_rules_hold(Scope::ALL, depth, 1_000);
    assert_rules_hold(Scope::HELD, depth, 1_000);
    assert_rules_hold(Scope::NARROW, depth + 3, 1_000);
}

/// Explores until the rule is violated, at most to that depth.
fn assert_rule_is_violated(fault: PlantedFault, scope: Scope, rule: &str, depth: usize) {
    let (broken, states) = explore(fault, scope, depth);
    println!("{states} states");
    assert!(
        broken.contains(&rule),
        "{rule:?} holds in spite of the planted fault: {broken:?}"
    );
}

#[test]
fn without_the_check_of_tokens_a_late_act_is_done() {
    assert_rule_is_violated(
        PlantedFault {
            no_fencing_gate: true,
            ..PlantedFault::default()
        },
        Scope::NARROW,
        "in order",
        14,
    );
}

#[test]
fn where_those_who_agree_forget_one_token_is_given_twice() {
    assert_rule_is_violated(
        PlantedFault {
            loses_events: true,
            ..PlantedFault::default()
        },
        Scope::FROM_START,
        "one holder",
        10,
    );
}

#[test]
fn where_a_leader_does_not_wait_itself_there_are_two_holders() {
    assert_rule_is_violated(
        PlantedFault {
            no_observation_period: true,
            ..PlantedFault::default()
        },
        Scope::NARROW,
        "one holder",
        10,
    );
}

#[test]
fn a_lease_counted_from_its_answer_outlives_the_grant() {
    assert_rule_is_violated(
        PlantedFault {
            counts_from_answer: true,
            ..PlantedFault::default()
        },
        Scope::GRANT_UNRECEIVED,
        "one holder",
        11,
    );
}
