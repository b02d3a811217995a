//! Explores the model to a stated depth, also with rules removed, whose faults must be found.

use super::{Lease, PlantedFault, Scope};
use stateright::{Checker, HasDiscoveries, Model};

/// Steps in a row that CI explores.
const DEPTH: usize = 6;
/// The rules.
const RULES: [&str; 3] = ["one holder", "in order", "tokens grow"];

/// Which rules were seen broken within that many steps, and how many states there are.
fn explore(planted: PlantedFault, scope: Scope, depth: usize) -> (Vec<&'static str>, usize) {
    let checker = Lease(planted, scope)
        .checker()
        .threads(4)
        .target_max_depth(depth);
    let checker = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let broken = RULES
        .into_iter()
        .filter(|name| checker.discovery(name).is_some())
        .collect();
    (broken, checker.unique_state_count())
}

fn holds(scope: Scope, depth: usize, least: usize) {
    let (broken, states) = explore(PlantedFault::default(), scope, depth);
    println!("{scope:?}, depth {depth}: {states} states");
    assert!(broken.is_empty(), "{broken:?}");
    assert!(states > least, "{states} states are no exploration");
}

#[test]
fn no_order_of_messages_breaks_a_rule_from_nothing() {
    holds(Scope::ALL, DEPTH, 1_000);
}

#[test]
fn no_order_of_messages_breaks_a_rule_while_the_lease_is_held() {
    holds(Scope::HELD, DEPTH, 1_000);
}

#[test]
#[ignore = "minutes and gigabytes: the depth that docs/leases.md states"]
fn no_order_of_messages_breaks_a_rule_deeper() {
    let depth = std::env::var("MODEL_DEPTH")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(8);
    holds(Scope::ALL, depth, 1_000);
    holds(Scope::HELD, depth, 1_000);
    holds(Scope::NARROW, depth + 3, 1_000);
}

/// Explores until the rule is seen broken, at most to that depth.
fn breaks(planted: PlantedFault, scope: Scope, rule: &str, depth: usize) {
    let (broken, states) = explore(planted, scope, depth);
    println!("{states} states");
    assert!(
        broken.contains(&rule),
        "{rule:?} holds without what it rests on: {broken:?}"
    );
}

#[test]
fn without_the_check_of_tokens_a_late_act_is_done() {
    breaks(
        PlantedFault {
            no_gate: true,
            ..PlantedFault::default()
        },
        Scope::NARROW,
        "in order",
        14,
    );
}

#[test]
fn where_those_who_agree_forget_one_token_is_given_twice() {
    breaks(
        PlantedFault {
            forgets: true,
            ..PlantedFault::default()
        },
        Scope::EARLY,
        "one holder",
        10,
    );
}

#[test]
fn where_a_leader_does_not_wait_itself_there_are_two_holders() {
    breaks(
        PlantedFault {
            no_wait: true,
            ..PlantedFault::default()
        },
        Scope::NARROW,
        "one holder",
        10,
    );
}

#[test]
fn a_lease_counted_from_its_answer_outlives_the_grant() {
    breaks(
        PlantedFault {
            from_answer: true,
            ..PlantedFault::default()
        },
        Scope::UNHEARD,
        "one holder",
        11,
    );
}
