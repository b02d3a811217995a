//! Tests of the server model from outside.

use super::*;
use crate::SECOND;
use crate::draw::draw;
use crate::experiment::Experiment;

fn world(limit: f64) -> World {
    let mut plan = draw(&Experiment::default(), 1);
    plan.limits.fill(limit);
    for spec in &mut plan.servers {
        (spec.speed, spec.cores, spec.queue, spec.saves) = (1.0, 2, 8, 0.5);
        (spec.memory, spec.keys, spec.slowed) = (2 * SECOND, 2, 3.0);
        (spec.crowded_for, spec.idle_for, spec.handshake) = (2 * SECOND, 3 * SECOND, 0.0);
    }
    World::new(&plan)
}

fn job(id: u64, work: f64) -> Job {
    Job {
        id,
        class: 0,
        work,
        key: 1000 + id,
        idempotency_key: None,
        is_new_connection: false,
    }
}

/// The completion time of each request.
fn finish(world: &mut World, until: Us) -> Vec<(u64, Us)> {
    let mut times = Vec::new();
    while let Some(next) = world.next().filter(|next| *next <= until) {
        let mut done = Vec::new();
        world.advance(next, &mut done);
        times.extend(done.iter().map(|d| (d.job, next)));
    }
    times
}

#[test]
fn two_cores_serve_two_requests_at_a_time_and_the_rest_wait_or_are_rejected() {
    let mut world = world(1.0);
    let mut done = Vec::new();
    let admitted: Vec<_> = (0..12)
        .map(|n| world.submit(0, 0, job(n, 100e3), &mut done))
        .collect();
    assert_eq!(
        admitted
            .iter()
            .filter(|a| **a == Admission::Accepted)
            .count(),
        10
    );
    assert_eq!(admitted[10..], [Admission::Rejected; 2]);
    let times = finish(&mut world, SECOND);
    assert_eq!(
        times.iter().map(|(_, at)| *at).collect::<Vec<_>>(),
        [
            100_000, 100_000, 200_000, 200_000, 300_000, 300_000, 400_000, 400_000, 500_000,
            500_000
        ]
    );
}

#[test]
fn a_limited_group_slows_down_together() {
    let mut world = world(0.5);
    let (mut done, members) = (Vec::new(), world.groups[0].members.clone());
    assert!(members.len() >= 2);
    for server in &members {
        for n in 0..2 {
            world.submit(0, *server, job(n, 100e3), &mut done);
        }
    }
    let times = finish(&mut world, SECOND);
    assert!(
        times.iter().all(|(_, at)| (199_000..=201_000).contains(at)),
        "{times:?}"
    );
}

#[test]
fn a_cached_key_saves_work_until_it_expires() {
    let mut world = world(1.0);
    let mut done = Vec::new();
    let job_with_key = |id, key| Job {
        key,
        ..job(id, 100e3)
    };
    let mut duration = |at: Us, key| {
        done.clear();
        world.submit(at, 0, job_with_key(at, key), &mut done);
        finish(&mut world, at + SECOND)
            .first()
            .map(|(_, end)| end - at)
    };
    assert_eq!(duration(0, 1), Some(100_000));
    assert_eq!(duration(200_000, 1), Some(50_000));
    assert_eq!(duration(3_000_000, 1), Some(100_000), "its memory is 2 s");
    for key in [2, 3] {
        duration(3_200_000 + key * 200_000, key);
    }
    assert_eq!(
        duration(4_200_000, 1),
        Some(100_000),
        "it remembers two keys"
    );
}

#[test]
fn a_retry_is_deduplicated_for_five_seconds_unless_the_request_was_rejected() {
    let mut world = world(1.0);
    let mut done = Vec::new();
    let keyed_job = |id, once| Job {
        class: 2,
        idempotency_key: Some(once),
        ..job(id, 10e3)
    };
    assert_eq!(
        world.submit(0, 0, keyed_job(1, 7), &mut done),
        Admission::Accepted
    );
    assert_eq!(
        world.submit(1_000_000, 0, keyed_job(2, 7), &mut done),
        Admission::Deduplicated
    );
    assert_eq!(
        world.submit(5_000_001, 0, keyed_job(3, 7), &mut done),
        Admission::Accepted
    );
    for n in 10..19 {
        world.submit(6_000_000, 1, job(n, 100e3), &mut done);
    }
    world.submit(6_000_000, 1, job(19, 100e3), &mut done);
    assert_eq!(
        world.submit(6_000_000, 1, keyed_job(20, 8), &mut done),
        Admission::Rejected
    );
    assert_eq!(
        world.submit(7_000_000, 1, keyed_job(21, 8), &mut done),
        Admission::Accepted
    );
}

#[test]
fn a_cold_server_that_is_sent_too_much_collapses_and_stays_down() {
    let mut world = world(1.0);
    let mut done = Vec::new();
    world.stop(0);
    world.advance(SECOND, &mut done);
    world.start(0);
    // 40 requests in a second are 4 s of work; 2.5 times what two cores can do is 1.55 s at first
    // and a little more later.
    let mut at = SECOND;
    while world.is_up(0) && at < 2 * SECOND {
        world.submit(at, 0, job(at, 100e3), &mut done);
        at += 25_000;
    }
    assert_eq!(world.collapsed().len(), 1);
    assert!(
        (1_400_000..1_500_000).contains(&world.collapsed()[0].0),
        "{:?}",
        world.collapsed()
    );
    assert_eq!(
        world.submit(9 * SECOND, 0, job(1, 1.0), &mut done),
        Admission::Rejected
    );
}

#[test]
fn an_overloaded_server_is_degraded_until_it_has_been_idle() {
    let mut world = world(1.0);
    let mut done = Vec::new();
    for n in 0..200 {
        world.submit(n * 20_000, 0, job(n, 100e3), &mut done);
    }
    let last = finish(&mut world, 60 * SECOND)
        .last()
        .expect("it goes on")
        .1;
    let mut duration = |world: &mut World, at: Us| {
        world.submit(at, 0, job(at, 100e3), &mut done);
        finish(world, at + SECOND).first().map(|(_, end)| end - at)
    };
    assert_eq!(
        duration(&mut world, last + 2 * SECOND),
        Some(300_000),
        "idle for too short a time"
    );
    // One request at a time leaves it mostly idle.
    assert_eq!(duration(&mut world, last + 4 * SECOND), Some(100_000));
}

#[test]
fn a_silent_server_never_answers_and_a_stopped_one_has_no_jobs() {
    let mut world = world(1.0);
    let mut done = Vec::new();
    world.submit(0, 0, job(1, 100e3), &mut done);
    world.set_silent(0, true);
    assert_eq!(
        world.submit(1, 0, job(2, 100e3), &mut done),
        Admission::Swallowed
    );
    world.submit(2, 1, job(3, 100e3), &mut done);
    world.stop(1);
    assert_eq!(finish(&mut world, SECOND), []);
    assert_eq!((world.job_count(0), world.job_count(1)), (0, 0));
}
