//! What is shed once answers come late or slowly.

use crate::common::*;
use load_balancer::*;

/// Sends of so many requests, each answered after `time`.
fn taken(rig: &mut Rig, requests: usize, time: Micros) -> usize {
    let before = rig.sends.len();
    for _ in 0..requests {
        rig.request(UNSAFE);
        rig.wait(500 * MS);
        for ((id, n), out) in rig.out.clone() {
            if rig.now - out.sent >= time {
                rig.end(id, n, Outcome::Ok);
            }
        }
    }
    rig.sends.len() - before
}

#[test]
fn what_comes_back_late_is_shed_in_good_part_but_never_wholly_and_recovers() {
    let mut rig = Rig::new(
        Settings {
            instances: 1000,
            ..settings()
        },
        12,
        1,
    );
    assert_eq!(taken(&mut rig, 40, 500 * MS), 40);
    taken(&mut rig, 40, 1500 * MS);
    let late = taken(&mut rig, 60, 1500 * MS);
    assert!(
        (6..=40).contains(&late),
        "{late} of 60 taken while all come late"
    );
    taken(&mut rig, 60, 500 * MS);
    let well = taken(&mut rig, 40, 500 * MS);
    assert_eq!(well, 40, "taken once all come in time again");
}

// Crowded servers tip before their answers come late: by then shedding is too late.
#[test]
fn what_comes_slowly_is_shed_in_part_while_it_still_comes_in_time() {
    let mut rig = Rig::new(
        Settings {
            instances: 100,
            ..settings()
        },
        60,
        4,
    );
    let mut taken = |time: Micros| {
        let before = rig.sends.len();
        for _ in 0..200 {
            rig.request_for(UNSAFE, 3000 * MS, None, Some(100 * MS));
            rig.wait(50 * MS);
            for ((id, attempt), out) in rig.out.clone() {
                if rig.now - out.sent >= time {
                    rig.end(id, attempt, Outcome::Ok);
                }
            }
        }
        rig.sends.len() - before
    };
    assert_eq!(taken(100 * MS), 200);
    let crowded = taken(250 * MS);
    assert!(
        (80..=190).contains(&crowded),
        "{crowded} of 200 taken at two and a half times the pace"
    );
    let slow = taken(500 * MS);
    assert!(
        (4..=60).contains(&slow),
        "{slow} of 200 taken at five times the pace, half of the aim"
    );
    taken(100 * MS);
    assert_eq!(taken(100 * MS), 200, "taken once the pace is back");
}

/// Requests refused of so many, sixteen a second at twelve servers; some never answer, the others
/// in 100 ms.
fn refused_of(requests: usize, silent: &[EndpointId]) -> usize {
    let mut rig = Rig::new(
        Settings {
            instances: 6,
            ..settings()
        },
        12,
        1,
    );
    let mut refusals = 0;
    for n in 0..100 + requests {
        let (id, actions) = rig.request_for(UNSAFE, 3000 * MS, None, Some(100 * MS));
        refusals += usize::from(n >= 100 && refused(&actions, id));
        rig.wait(60 * MS);
        for ((id, attempt), out) in rig.out.clone() {
            let hangs = n >= 100 && silent.contains(&out.endpoint);
            if rig.now - out.sent >= 100 * MS && !hangs {
                rig.end(id, attempt, Outcome::Ok);
            }
        }
    }
    refusals
}

// Each takes what it is sent until its time is out, while all others answer as ever.
#[test]
fn attempts_stuck_at_silent_servers_are_no_overload() {
    assert_eq!(refused_of(200, &[]), 0);
    let refusals = refused_of(200, &[1, 3, 5, 7, 9, 11]);
    assert!(
        refusals <= 10,
        "{refusals} of 200 refused while half of the servers are silent"
    );
}
