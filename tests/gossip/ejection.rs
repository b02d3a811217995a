//! Endpoints that other members' observations takes out of the rotation, and those that are to be
//! tried again.

use crate::common::*;
use crate::{SECOND, ejection, end_at, sharing};
use load_balancer::*;

#[test]
fn an_ejected_endpoint_gets_nothing_until_the_ejection_expires_or_is_taken_back() {
    let mut harness = Harness::new(default_settings(), 4, 1);
    harness.balancer.set_sharing(sharing(true, 0.0));
    let until = harness.now + 60 * SECOND;
    harness.handle(ejection(1, EjectionStatus::Ejected, until));
    harness.handle(ejection(2, EjectionStatus::Ejected, harness.now + 100 * MS));
    assert_eq!(harness.balancer.summary().ejected, 2);
    let first = endpoints_used(&mut harness, 4);
    assert!(!first.contains(&1) && !first.contains(&2), "{first:?}");
    harness.advance(100 * MS);
    let later = endpoints_used(&mut harness, 12);
    assert!(!later.contains(&1) && later.contains(&2), "{later:?}");
    harness.handle(ejection(1, EjectionStatus::NotEjected, harness.now));
    assert!(endpoints_used(&mut harness, 12).contains(&1));
}

#[test]
fn no_ejection_gives_work_to_what_drains_or_makes_an_unlisted_one_known() {
    let mut harness = Harness::new(default_settings(), 3, 1);
    harness.balancer.set_sharing(sharing(true, 0.0));
    let draining = ListedEndpoint {
        status: EndpointStatus::Draining,
        ..listing(1)
    };
    harness.handle(Event::Endpoints(ListUpdate::Delta(vec![draining])));
    for status in [
        EjectionStatus::TrialDue,
        EjectionStatus::Recovered,
        EjectionStatus::NotEjected,
    ] {
        harness.handle(ejection(1, status, harness.now + 60 * SECOND));
        harness.handle(ejection(77, status, harness.now + 60 * SECOND));
        let used = endpoints_used(&mut harness, 6);
        assert!(
            !used.contains(&1) && !used.contains(&77),
            "{status:?}: {used:?}"
        );
    }
    assert!(!harness.balancer.is_known(77));
}

#[test]
fn whom_it_is_to_try_gets_one_request_wherever_it_stands() {
    // Of forty endpoints few are within reach of a sidecar with little traffic.
    for endpoint in 0..40 {
        let mut harness = Harness::new(default_settings(), 40, 7);
        harness.balancer.set_sharing(sharing(true, 0.0));
        endpoints_used(&mut harness, 3);
        harness.handle(ejection(
            endpoint,
            EjectionStatus::TrialDue,
            harness.now + 60 * SECOND,
        ));
        assert_eq!(
            endpoints_sent_to(&harness.request(IDEMPOTENT).1),
            [endpoint]
        );
        // One at a time.
        assert!(!endpoints_sent_to(&harness.request(IDEMPOTENT).1).contains(&endpoint));
    }
}

#[test]
fn an_own_open_circuit_closes_once_others_were_served() {
    let mut harness = Harness::new(default_settings(), 3, 1);
    harness.balancer.set_sharing(sharing(true, 0.0));
    for _ in 0..40 {
        for endpoint in endpoints_sent_to(&harness.request(IDEMPOTENT).1) {
            let outcome = if endpoint == 1 {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            end_at(&mut harness, endpoint, outcome);
        }
    }
    assert_eq!(harness.balancer.summary().circuits_open, 1);
    harness.handle(ejection(1, EjectionStatus::Recovered, harness.now + SECOND));
    assert_eq!(harness.balancer.summary().circuits_open, 0);
}

#[test]
fn what_waits_at_an_ejected_endpoint_for_long_is_cancelled_only_where_it_may_run_again() {
    for (class, called) in [(IDEMPOTENT, true), (NON_IDEMPOTENT, false)] {
        let mut harness = Harness::new(default_settings(), 2, 1);
        harness.balancer.set_sharing(sharing(true, 0.0));
        endpoints_used(&mut harness, 20);
        let (id, actions) = harness.request(class);
        let endpoint = endpoints_sent_to(&actions)[0];
        // Just sent: as likely as not it is only on its way.
        let soon = harness.handle(ejection(
            endpoint,
            EjectionStatus::Ejected,
            harness.now + 60 * SECOND,
        ));
        assert!(
            !soon.iter().any(|a| matches!(a, Action::Cancel { .. })),
            "{soon:?}"
        );
        harness.now += 400 * MS;
        let late = harness.handle(ejection(
            endpoint,
            EjectionStatus::Ejected,
            harness.now + 60 * SECOND,
        ));
        let cancels = late.contains(&Action::Cancel {
            request: id,
            attempt: 0,
        });
        assert_eq!(cancels, called, "class {class}: {late:?}");
    }
}
