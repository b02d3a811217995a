//! How keys find their endpoints.

use crate::common::*;
use crate::{SECOND, sharing};
use load_balancer::*;

/// A request about a key.
fn about(harness: &mut Harness, class: ClassId, key: Option<u64>) -> (RequestId, Vec<Action>) {
    let (id, deadline) = (harness.next_id, harness.now + 3 * SECOND);
    harness.next_id += 1;
    let new = NewRequest {
        id,
        class,
        tenant: None,
        key,
        affinity_endpoints: Vec::new(),
        deadline,
        work: None,
        is_retry: false,
    };
    (id, harness.handle(Event::Request(new)))
}

/// Without a key, or with affinity off, first picks are the round robin to the bit.
#[test]
fn keys_change_nothing_where_affinity_is_off_and_affinity_nothing_without_keys() {
    let picks = |ahead: f64, key: Option<u64>| {
        let mut harness = Harness::new(default_settings(), 7, 3);
        harness.balancer.set_sharing(sharing(false, ahead));
        let mut all = Vec::new();
        for _ in 0..300 {
            all.extend(endpoints_sent_to(&about(&mut harness, IDEMPOTENT, key).1));
            harness.serve_all(20 * MS);
        }
        all
    };
    assert_eq!(picks(0.0, Some(5)), picks(0.0, None));
    assert_eq!(picks(2.0, None), picks(0.0, None));
    assert_ne!(picks(2.0, Some(5)), picks(0.0, None));
}

/// An endpoint is never more than the stated turns ahead of its weight, and a key keeps to few
/// endpoints.
#[test]
fn keys_keep_to_their_endpoints_within_the_stated_slack() {
    let ahead = 2.0;
    let mut harness = Harness::new(default_settings(), 5, 3);
    harness.balancer.set_sharing(sharing(false, ahead));
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut counts, mut by_key) = ([0_i64; 5], vec![[0_usize; 5]; 40]);
    for n in 1..=2000_i64 {
        let key = rng.u64(0..40);
        for endpoint in endpoints_sent_to(&about(&mut harness, IDEMPOTENT, Some(key)).1) {
            counts[endpoint] += 1;
            by_key[key as usize][endpoint] += 1;
        }
        harness.serve_all(20 * MS);
        let fair = n as f64 / 5.0;
        // A turn more for the one that is under way, and one for where the ring began.
        let ahead_now = counts.iter().map(|c| *c as f64 - fair).fold(0.0, f64::max);
        let behind = counts.iter().map(|c| fair - *c as f64).fold(0.0, f64::max);
        assert!(ahead_now <= ahead + 2.0, "after {n}: {counts:?}");
        assert!(behind <= 8.0 * ahead + 2.0, "after {n}: {counts:?}");
    }
    let top: usize = by_key
        .iter()
        .map(|k| k.iter().max().copied().unwrap_or(0))
        .sum();
    // Round robin would bring a fifth of a key's requests to any endpoint.
    assert!(
        top * 2 > 2000,
        "{top} of 2000 went to their key's first endpoint"
    );
}

/// One key alone must not keep the others from their turns.
#[test]
fn a_single_key_is_spread_by_weight_all_the_same() {
    let mut harness = Harness::new(default_settings(), 4, 9);
    harness.balancer.set_sharing(sharing(false, 2.0));
    let mut counts = [0; 4];
    for _ in 0..400 {
        endpoints_sent_to(&about(&mut harness, IDEMPOTENT, Some(1)).1)
            .into_iter()
            .for_each(|e| counts[e] += 1);
        harness.serve_all(20 * MS);
    }
    // The others are owed turns, up to so many; weights differ a little while paces are learnt.
    assert!(counts.iter().all(|c| (60..=125).contains(c)), "{counts:?}");
}
