//! What an affinity entry does to decisions, and what it must not do.

mod common;
use common::*;
use load_balancer::*;

const SECOND: Micros = 1000 * MS;

/// Ends whatever is out at an endpoint.
fn end_at(harness: &mut Harness, endpoint: EndpointId, outcome: Outcome) -> Vec<Action> {
    let there: Vec<_> = harness
        .in_flight
        .iter()
        .filter(|(_, o)| o.endpoint == endpoint)
        .map(|(key, _)| *key)
        .collect();
    there
        .into_iter()
        .flat_map(|(id, attempt)| harness.finish(id, attempt, outcome))
        .collect()
}

/// Where a request goes whose key has affinity entries at these endpoints.
fn picked_with_entry(
    harness: &mut Harness,
    key: u64,
    affinity_endpoints: &[EndpointId],
) -> Vec<EndpointId> {
    let (id, deadline) = (harness.next_id, harness.now + 3 * SECOND);
    harness.next_id += 1;
    let new = NewRequest {
        id,
        class: IDEMPOTENT,
        tenant: None,
        key: Some(key),
        affinity_endpoints: affinity_endpoints.to_vec(),
        deadline,
        work: None,
        is_retry: false,
    };
    let actions = harness.handle(Event::Request(new));
    let at = endpoints_sent_to(&actions);
    at.iter()
        .for_each(|endpoint| drop(end_at(harness, *endpoint, Outcome::Ok)));
    at
}

#[test]
fn an_affinity_entry_is_a_preference_within_the_slack_and_overrides_nothing() {
    let mut harness = Harness::new(default_settings(), 4, 1);
    harness.balancer.set_sharing(SharingOptions {
        peer_health: true,
        affinity_slack: 2.0,
    });
    // Where it is bound, whatever the order of the key's list; but only as far as the turns allow.
    for endpoint in 0..4 {
        assert_eq!(picked_with_entry(&mut harness, 7, &[endpoint]), [endpoint]);
    }
    let there = (0..40)
        .filter(|_| picked_with_entry(&mut harness, 7, &[3]) == [3])
        .count();
    assert!((10..30).contains(&there), "{there} of 40");
    // The best place first, then the next.
    let mut two = Harness::new(default_settings(), 4, 1);
    two.balancer.set_sharing(SharingOptions {
        peer_health: true,
        affinity_slack: 2.0,
    });
    let at: Vec<_> = (0..12)
        .flat_map(|_| picked_with_entry(&mut two, 7, &[3, 1]))
        .collect();
    assert!(
        at[0] == 3 && at.iter().filter(|e| [1, 3].contains(*e)).count() > 6,
        "{at:?}"
    );
    // Not where it statuses, drains, or was never listed; nor without affinity.
    let statuses = EjectionUpdate {
        endpoint: 3,
        status: EjectionStatus::Ejected,
        expires: harness.now + 60 * SECOND,
    };
    harness.handle(Event::Ejections(vec![statuses]));
    harness.handle(Event::Endpoints(ListUpdate::Delta(vec![ListedEndpoint {
        status: EndpointStatus::Draining,
        ..listing(2)
    }])));
    for endpoint in [2, 3, 77] {
        let at = picked_with_entry(&mut harness, 7, &[endpoint]);
        assert!(at.len() == 1 && at[0] < 2, "{at:?}");
    }
    let mut plain = Harness::new(default_settings(), 4, 1);
    let mut other = Harness::new(default_settings(), 4, 1);
    let at = |harness: &mut Harness, endpoint| {
        (0..20)
            .flat_map(|_| picked_with_entry(harness, 7, &[endpoint]))
            .collect::<Vec<_>>()
    };
    assert_eq!(at(&mut plain, 0), at(&mut other, 3));
}
