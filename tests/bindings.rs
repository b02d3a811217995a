//! What a binding does to decisions, and what it must not do.

mod common;
use common::*;
use load_balancer::*;

const SECOND: Micros = 1000 * MS;

/// Ends whatever is out at an endpoint.
fn end_at(rig: &mut Rig, endpoint: EndpointId, outcome: Outcome) -> Vec<Action> {
    let there: Vec<_> = rig
        .out
        .iter()
        .filter(|(_, o)| o.endpoint == endpoint)
        .map(|(key, _)| *key)
        .collect();
    there
        .into_iter()
        .flat_map(|(id, attempt)| rig.end(id, attempt, outcome))
        .collect()
}

/// A request about a key that is bound at an endpoint.
fn bound_at(rig: &mut Rig, key: u64, bound: &[EndpointId]) -> Vec<EndpointId> {
    let (id, due) = (rig.next, rig.now + 3 * SECOND);
    rig.next += 1;
    let (key, bound) = (Some(key), bound.to_vec());
    let new = NewRequest {
        id,
        class: SAFE,
        tenant: None,
        key,
        bound,
        due,
        work: None,
        repeat: false,
    };
    let actions = rig.event(Event::Request(new));
    let at = sent(&actions);
    at.iter()
        .for_each(|endpoint| drop(end_at(rig, *endpoint, Outcome::Ok)));
    at
}

#[test]
fn a_binding_is_a_preference_within_the_turns_and_overrides_nothing() {
    let mut rig = Rig::new(settings(), 4, 1);
    rig.balancer.share(Sharing {
        words: true,
        ahead: 2.0,
    });
    // Where it is bound, whatever the order of the key's list; but only as far as the turns allow.
    for endpoint in 0..4 {
        assert_eq!(bound_at(&mut rig, 7, &[endpoint]), [endpoint]);
    }
    let there = (0..40)
        .filter(|_| bound_at(&mut rig, 7, &[3]) == [3])
        .count();
    assert!((10..30).contains(&there), "{there} of 40");
    // The best place first, then the next.
    let mut two = Rig::new(settings(), 4, 1);
    two.balancer.share(Sharing {
        words: true,
        ahead: 2.0,
    });
    let at: Vec<_> = (0..12)
        .flat_map(|_| bound_at(&mut two, 7, &[3, 1]))
        .collect();
    assert!(
        at[0] == 3 && at.iter().filter(|e| [1, 3].contains(*e)).count() > 6,
        "{at:?}"
    );
    // Not where it rests, drains, or was never listed; nor without affinity.
    let rests = Word {
        endpoint: 3,
        rest: Rest::Yes,
        until: rig.now + 60 * SECOND,
    };
    rig.event(Event::Words(vec![rests]));
    rig.event(Event::Endpoints(ListUpdate::Delta(vec![Listing {
        status: Status::Draining,
        ..listing(2)
    }])));
    for endpoint in [2, 3, 77] {
        let at = bound_at(&mut rig, 7, &[endpoint]);
        assert!(at.len() == 1 && at[0] < 2, "{at:?}");
    }
    let mut plain = Rig::new(settings(), 4, 1);
    let mut other = Rig::new(settings(), 4, 1);
    let at = |rig: &mut Rig, endpoint| {
        (0..20)
            .flat_map(|_| bound_at(rig, 7, &[endpoint]))
            .collect::<Vec<_>>()
    };
    assert_eq!(at(&mut plain, 0), at(&mut other, 3));
}
