//! Endpoints that other members' observations takes out of the rotation, and those that are to be
//! tried again.

use crate::common::*;
use crate::{SECOND, ejection, end_at, sharing};
use load_balancer::*;

#[test]
fn an_ejected_endpoint_gets_nothing_until_the_ejection_expires_or_is_taken_back() {
    let mut rig = Rig::new(settings(), 4, 1);
    rig.balancer.share(sharing(true, 0.0));
    let until = rig.now + 60 * SECOND;
    rig.event(ejection(1, EjectionStatus::Ejected, until));
    rig.event(ejection(2, EjectionStatus::Ejected, rig.now + 100 * MS));
    assert_eq!(rig.balancer.summary().ejected, 2);
    let first = used(&mut rig, 4);
    assert!(!first.contains(&1) && !first.contains(&2), "{first:?}");
    rig.wait(100 * MS);
    let later = used(&mut rig, 12);
    assert!(!later.contains(&1) && later.contains(&2), "{later:?}");
    rig.event(ejection(1, EjectionStatus::NotEjected, rig.now));
    assert!(used(&mut rig, 12).contains(&1));
}

#[test]
fn no_ejection_gives_work_to_what_drains_or_makes_an_unlisted_one_known() {
    let mut rig = Rig::new(settings(), 3, 1);
    rig.balancer.share(sharing(true, 0.0));
    let draining = Listing {
        status: Status::Draining,
        ..listing(1)
    };
    rig.event(Event::Endpoints(ListUpdate::Delta(vec![draining])));
    for status in [
        EjectionStatus::TrialDue,
        EjectionStatus::Recovered,
        EjectionStatus::NotEjected,
    ] {
        rig.event(ejection(1, status, rig.now + 60 * SECOND));
        rig.event(ejection(77, status, rig.now + 60 * SECOND));
        let used = used(&mut rig, 6);
        assert!(
            !used.contains(&1) && !used.contains(&77),
            "{status:?}: {used:?}"
        );
    }
    assert!(!rig.balancer.knows(77));
}

#[test]
fn whom_it_is_to_try_gets_one_request_wherever_it_stands() {
    // Of forty endpoints few are within reach of a sidecar with little traffic.
    for endpoint in 0..40 {
        let mut rig = Rig::new(settings(), 40, 7);
        rig.balancer.share(sharing(true, 0.0));
        used(&mut rig, 3);
        rig.event(ejection(
            endpoint,
            EjectionStatus::TrialDue,
            rig.now + 60 * SECOND,
        ));
        assert_eq!(sent(&rig.request(SAFE).1), [endpoint]);
        // One at a time.
        assert!(!sent(&rig.request(SAFE).1).contains(&endpoint));
    }
}

#[test]
fn an_own_open_circuit_closes_once_others_were_served() {
    let mut rig = Rig::new(settings(), 3, 1);
    rig.balancer.share(sharing(true, 0.0));
    for _ in 0..40 {
        for endpoint in sent(&rig.request(SAFE).1) {
            let outcome = if endpoint == 1 {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            end_at(&mut rig, endpoint, outcome);
        }
    }
    assert_eq!(rig.balancer.summary().circuits_open, 1);
    rig.event(ejection(1, EjectionStatus::Recovered, rig.now + SECOND));
    assert_eq!(rig.balancer.summary().circuits_open, 0);
}

#[test]
fn what_waits_at_an_ejected_endpoint_for_long_is_cancelled_only_where_it_may_run_again() {
    for (class, called) in [(SAFE, true), (UNSAFE, false)] {
        let mut rig = Rig::new(settings(), 2, 1);
        rig.balancer.share(sharing(true, 0.0));
        used(&mut rig, 20);
        let (id, actions) = rig.request(class);
        let endpoint = sent(&actions)[0];
        // Just sent: as likely as not it is only on its way.
        let soon = rig.event(ejection(
            endpoint,
            EjectionStatus::Ejected,
            rig.now + 60 * SECOND,
        ));
        assert!(
            !soon.iter().any(|a| matches!(a, Action::Cancel { .. })),
            "{soon:?}"
        );
        rig.now += 400 * MS;
        let late = rig.event(ejection(
            endpoint,
            EjectionStatus::Ejected,
            rig.now + 60 * SECOND,
        ));
        let cancels = late.contains(&Action::Cancel {
            request: id,
            attempt: 0,
        });
        assert_eq!(cancels, called, "class {class}: {late:?}");
    }
}
