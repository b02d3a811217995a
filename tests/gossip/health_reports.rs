//! What is told to others of how attempts end.

use crate::common::*;
use crate::{end_at, sharing};
use load_balancer::*;

#[test]
fn how_attempts_end_is_told_only_where_that_is_wanted_and_a_full_endpoint_is_not_sick() {
    let told = |words: bool, outcome: Outcome| {
        let mut harness = Harness::new(default_settings(), 1, 1);
        harness.balancer.set_sharing(sharing(words, 0.0));
        harness.request(IDEMPOTENT);
        let actions = end_at(&mut harness, 0, outcome);
        actions.iter().find_map(|a| match a {
            Action::ReportHealth { served, .. } => Some(*served),
            _ => None,
        })
    };
    assert_eq!(told(true, Outcome::Ok), Some(true));
    assert_eq!(told(true, Outcome::ConnectFailed), Some(false));
    assert_eq!(told(true, Outcome::Rejected), None);
    assert_eq!(told(false, Outcome::Ok), None);
}

#[test]
fn an_attempt_far_later_than_usual_is_told_of_once_and_not_where_something_was_answered_since() {
    let told = |actions: &[Action]| {
        let of = |a: &&Action| matches!(a, Action::ReportHealth { served: false, .. });
        actions.iter().filter(of).count()
    };
    let mut harness = Harness::new(default_settings(), 1, 1);
    harness.balancer.set_sharing(sharing(true, 0.0));
    endpoints_used(&mut harness, 20);
    let (first, _) = harness.request(IDEMPOTENT);
    assert_eq!(told(&harness.advance(300 * MS)), 0);
    harness.now += 500 * MS;
    let looks: usize = (0..3)
        .map(|_| told(&harness.handle(Event::Ejections(Vec::new()))))
        .sum();
    assert_eq!(looks, 1);
    harness.finish(first, 0, Outcome::Ok);
    // Another that was sent after it is answered first: it is slow, not silent.
    let (slow, _) = harness.request(IDEMPOTENT);
    harness.now += 10 * MS;
    let (quick, _) = harness.request(IDEMPOTENT);
    harness.now += 20 * MS;
    harness.finish(quick, 0, Outcome::Ok);
    harness.now += 800 * MS;
    assert_eq!(told(&harness.handle(Event::Ejections(Vec::new()))), 0);
    harness.finish(slow, 0, Outcome::Ok);
}
