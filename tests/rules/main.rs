//! The send rules under random event sequences with fixed seeds, checked against an independent
//! model.

#[path = "../common/mod.rs"]
mod common;
mod rule_checker;

use common::*;
use load_balancer::*;
use rule_checker::*;
use std::collections::{BTreeMap, BTreeSet};

fn random_settings(rng: &mut fastrand::Rng) -> Settings {
    let mut settings = default_settings();
    let scopes = [DedupScope::All, DedupScope::Zone, DedupScope::Cell];
    settings.classes[IDEMPOTENT_BY_KEY].effect = Effect::IdempotentByKey {
        scope: *rng.choice(&scopes).expect("three"),
        ttl: rng.i64(50..2000) * MS,
    };
    settings.classes[IDEMPOTENT].streaming = rng.bool();
    settings
        .classes
        .iter_mut()
        .for_each(|c| c.latency_objective = rng.i64(100..1500) * MS);
    settings
        .classes
        .iter_mut()
        .for_each(|c| c.late_value = if rng.bool() { 0.3 } else { 0.0 });
    settings.limits.may_duplicate = rng.bool();
    settings.limits.may_cancel = rng.bool();
    settings.limits.max_attempts = rng.u32(1..6);
    settings.instances = rng.u32(1..20);
    settings.discovery = if rng.bool() {
        Discovery::OnRequest
    } else {
        Discovery::Pushed
    };
    settings.tenants = vec![
        Tenant {
            quota_per_s: 10.0,
            share: 0.5
        };
        rng.usize(0..3)
    ];
    settings
}

/// Runs a random event sequence and returns all resulting actions as text.
fn run_random_events(seed: u64, steps: usize) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let settings = random_settings(&mut rng);
    let endpoints = rng.usize(1..9);
    let mut harness = Harness::new(settings.clone(), endpoints, seed);
    let listed = (0..endpoints).map(listing).collect();
    let mut checker = RuleChecker {
        settings: settings.clone(),
        open: BTreeMap::new(),
        ended: BTreeSet::new(),
        listed,
        answered: 0,
    };
    let mut log = Vec::new();
    let outcomes = [
        Outcome::Ok,
        Outcome::Ok,
        Outcome::Ok,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::NotSent,
    ];
    let mut requests = 0;
    for _ in 0..steps {
        match rng.u32(0..100) {
            0..40 => {
                let class = rng.usize(0..3);
                let left = rng.i64(-20..2500) * MS;
                let tenant =
                    (!settings.tenants.is_empty()).then(|| rng.usize(0..settings.tenants.len()));
                let work = rng.bool().then(|| rng.i64(0..400) * MS);
                let id = harness.next_id;
                let deadline = harness.now + left.max(0);
                checker.open.insert(
                    id,
                    OpenRequest {
                        class,
                        deadline,
                        attempts: Vec::new(),
                        streaming: None,
                    },
                );
                requests += 1;
                let (_, actions) = harness.request_with(class, left.max(0), tenant, work);
                checker.check(harness.now, &actions);
                log.push(format!("{actions:?}"));
            }
            40..70 => {
                let keys: Vec<_> = harness.in_flight.keys().copied().collect();
                let Some(&(id, n)) = rng.choice(&keys) else {
                    continue;
                };
                finish(
                    &mut harness,
                    &mut checker,
                    &mut log,
                    (id, n),
                    *rng.choice(&outcomes).expect("some"),
                );
            }
            70..72 => {
                let keys: Vec<_> = harness.in_flight.keys().copied().collect();
                let Some(&(id, n)) = rng.choice(&keys) else {
                    continue;
                };
                let Some(open) = checker
                    .open
                    .get_mut(&id)
                    .filter(|o| settings.classes[o.class].streaming)
                else {
                    continue;
                };
                if open.streaming.is_none() {
                    open.streaming = Some(n);
                    let actions = harness.handle(Event::StreamStarted {
                        request: id,
                        attempt: n,
                    });
                    checker.check(harness.now, &actions);
                }
            }
            72..74 => {
                let keys: Vec<_> = checker.open.keys().copied().collect();
                let Some(&id) = rng.choice(&keys) else {
                    continue;
                };
                checker.open.remove(&id);
                checker.close(id);
                let actions = harness.handle(Event::Abandoned(id));
                checker.check(harness.now, &actions);
            }
            74..80 => {
                let endpoint_index = rng.usize(0..endpoints);
                let states = [
                    EndpointStatus::Ready,
                    EndpointStatus::Ready,
                    EndpointStatus::Draining,
                    EndpointStatus::Removed,
                ];
                checker.listed[endpoint_index].status = *rng.choice(&states).expect("some");
                let endpoint = &mut checker.listed[endpoint_index];
                (endpoint.zone, endpoint.cell) = (Some(rng.usize(0..3)), rng.u64(0..3));
                checker.listed[endpoint_index].started =
                    rng.bool().then_some(harness.now - rng.i64(0..8000) * MS);
                let list = if rng.bool() {
                    ListUpdate::Delta(vec![checker.listed[endpoint_index].clone()])
                } else {
                    let listed = checker
                        .listed
                        .iter()
                        .filter(|l| l.status != EndpointStatus::Removed);
                    ListUpdate::Full(listed.cloned().collect())
                };
                let actions = harness.handle(Event::Endpoints(list));
                checker.check(harness.now, &actions);
            }
            80 => {
                let actions = harness.handle(Event::Endpoints(ListUpdate::Failed));
                checker.check(harness.now, &actions);
            }
            _ => advance(&mut harness, &mut checker, &mut log, rng.i64(1..120) * MS),
        }
    }
    for _ in 0..80 {
        advance(&mut harness, &mut checker, &mut log, 50 * MS);
        let streams: Vec<_> = checker
            .open
            .iter()
            .filter(|(_, o)| o.streaming.is_some())
            .map(|(id, _)| *id)
            .collect();
        for (id, n) in harness
            .in_flight
            .keys()
            .copied()
            .filter(|k| streams.contains(&k.0))
            .collect::<Vec<_>>()
        {
            finish(&mut harness, &mut checker, &mut log, (id, n), Outcome::Ok);
        }
    }
    assert!(checker.open.is_empty(), "every request is answered");
    assert_eq!(checker.answered, requests);
    log
}

/// Ends an attempt: the first success answers its request, and so does an interrupted stream.
fn finish(
    harness: &mut Harness,
    checker: &mut RuleChecker,
    log: &mut Vec<String>,
    key: (RequestId, AttemptIndex),
    outcome: Outcome,
) {
    let out = harness
        .in_flight
        .remove(&key)
        .expect("an attempt that is out");
    let (request, attempt) = key;
    let mut settled = true;
    if let Some(open) = checker.open.get_mut(&request) {
        open.attempts[attempt as usize].outcome = Some(outcome);
        settled = outcome == Outcome::Ok || open.streaming == Some(attempt);
        if settled {
            checker.open.remove(&request);
            checker.close(request);
        }
    }
    let (endpoint, took) = (out.endpoint, harness.now - out.sent_at);
    let load = LoadReport::default();
    let end = AttemptEnd {
        request,
        attempt,
        endpoint,
        outcome,
        elapsed: took,
        request_answered: settled,
        load,
    };
    let actions = harness.handle(Event::AttemptEnded(end));
    checker.check(harness.now, &actions);
    log.push(format!("{actions:?}"));
}

/// Advances the clock in steps, firing timers and timeouts that become due.
fn advance(harness: &mut Harness, checker: &mut RuleChecker, log: &mut Vec<String>, time: Micros) {
    let to = harness.now + time;
    while harness.now < to {
        harness.now += 5 * MS;
        let streaming = |id| {
            checker
                .open
                .get(id)
                .is_some_and(|o: &OpenRequest| o.streaming.is_some())
        };
        let over = harness
            .in_flight
            .iter()
            .filter(|(k, o)| o.sent_at + o.timeout <= harness.now && !streaming(&k.0));
        for key in over.map(|(k, _)| *k).collect::<Vec<_>>() {
            finish(harness, checker, log, key, Outcome::TimedOut);
        }
        let due: Vec<_> = harness
            .timers
            .iter()
            .filter(|t| t.0 <= harness.now)
            .copied()
            .collect();
        harness.timers.retain(|t| t.0 > harness.now);
        for (_, token) in due {
            let actions = harness.handle(Event::Timer(token));
            checker.check(harness.now, &actions);
            log.push(format!("{actions:?}"));
        }
        checker.check(harness.now, &[]);
    }
}

#[test]
fn the_rules_hold_over_random_sequences() {
    for seed in 0..300 {
        assert!(!run_random_events(seed, 400).is_empty());
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    for seed in 0..20 {
        assert_eq!(run_random_events(seed, 200), run_random_events(seed, 200));
    }
}
