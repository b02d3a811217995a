//! Requests to endpoints that have just started.

use crate::common::*;
use crate::delta;
use load_balancer::*;

#[test]
fn a_warming_endpoint_gets_a_small_share_that_grows() {
    let mut harness = Harness::new(default_settings(), 4, 1);
    endpoints_used(&mut harness, 200);
    let now = harness.now;
    delta(
        &mut harness,
        ListedEndpoint {
            started: Some(now),
            ..listing(3)
        },
    );
    let share = |harness: &mut Harness| {
        endpoints_used(harness, 60)
            .iter()
            .filter(|e| **e == 3)
            .count()
    };
    let cold = share(&mut harness);
    harness.advance(3000 * MS);
    endpoints_used(&mut harness, 60);
    let mid = share(&mut harness);
    harness.advance(9000 * MS);
    let warm = share(&mut harness);
    assert!(
        cold <= 6 && cold < mid && mid <= warm && warm >= 13,
        "{cold} {mid} {warm}"
    );
}

#[test]
fn a_single_warming_endpoint_is_not_overloaded_by_a_burst() {
    let mut harness = Harness::new(default_settings(), 4, 1);
    endpoints_used(&mut harness, 60);
    for _ in 0..12 {
        (0..100).for_each(|_| drop(harness.request(IDEMPOTENT)));
        harness.serve_all(20 * MS);
    }
    harness.advance(9000 * MS);
    let now = harness.now;
    let full = ListedEndpoint {
        started: Some(now),
        ..listing(0)
    };
    harness.handle(Event::Endpoints(ListUpdate::Full(vec![full])));
    let burst: usize = (0..50)
        .map(|_| endpoints_sent_to(&harness.request(IDEMPOTENT).1).len())
        .sum();
    assert!(burst <= 2, "{burst}");
}

#[test]
fn many_sidecars_with_little_traffic_do_not_overload_a_warming_endpoint() {
    let mut to_cold = 0;
    for index in 0..200 {
        let settings = Settings {
            instances: 200,
            index,
            ..default_settings()
        };
        let mut harness = Harness::new(settings, 4, u64::from(index));
        endpoints_used(&mut harness, 8);
        let now = harness.now;
        delta(
            &mut harness,
            ListedEndpoint {
                started: Some(now),
                ..listing(3)
            },
        );
        harness.advance(50 * MS);
        to_cold += endpoints_used(&mut harness, 4)
            .iter()
            .filter(|e| **e == 3)
            .count();
    }
    assert!(
        to_cold <= 20,
        "{to_cold} of 800 requests to an endpoint that has just started"
    );
}

// When six in ten endpoints were replaced at once, hardly any of them got requests until warm.
#[test]
fn a_warming_endpoint_in_the_subset_gets_its_share_in_a_fleet_of_any_size() {
    let mut settings = default_settings();
    settings
        .classes
        .iter_mut()
        .for_each(|c| (c.latency_objective, c.deadline) = (300 * MS, 1340 * MS));
    let mut sends = [0, 0];
    for seed in 0..10 {
        let mut harness = Harness::new(
            Settings {
                instances: 297,
                ..settings.clone()
            },
            151,
            seed,
        );
        let pass = |harness: &mut Harness, requests: usize| {
            let mut to = Vec::new();
            for _ in 0..requests {
                to.extend(endpoints_sent_to(
                    &harness.request_with(IDEMPOTENT, 800 * MS, None, None).1,
                ));
                harness.serve_all(20 * MS);
                harness.advance(40 * MS);
            }
            to
        };
        let warm = pass(&mut harness, 300);
        let one = warm[warm.len() - 1];
        sends[0] += warm.iter().skip(250).filter(|e| **e == one).count();
        let started = Some(harness.now);
        delta(
            &mut harness,
            ListedEndpoint {
                started,
                ..listing(one)
            },
        );
        sends[1] += pass(&mut harness, 50).iter().filter(|e| **e == one).count();
    }
    let [warm, cold] = sends;
    assert!(
        cold * 4 >= warm && cold * 2 <= warm,
        "{cold} attempts in 3 s, {warm} while it was warm"
    );
}

#[test]
fn a_fleet_of_warming_endpoints_is_used_little_and_fully_once_warm() {
    let mut harness = Harness::new(
        Settings {
            instances: 200,
            ..default_settings()
        },
        0,
        3,
    );
    let cold = |endpoint| ListedEndpoint {
        started: Some(START),
        ..listing(endpoint)
    };
    harness.handle(Event::Endpoints(ListUpdate::Full(
        (0..50).map(cold).collect(),
    )));
    let served = |harness: &mut Harness, until: Micros| {
        let before = harness.attempts_sent.len();
        let mut asked = 0;
        while harness.now < until {
            harness.request(IDEMPOTENT);
            harness.serve_all(20 * MS);
            harness.advance(80 * MS);
            asked += 1;
        }
        (harness.attempts_sent.len() - before, asked)
    };
    let (cold, _) = served(&mut harness, START + 8000 * MS);
    assert!((1..=40).contains(&cold), "{cold}");
    let (warm, asked) = {
        harness.advance(1500 * MS);
        let until = harness.now + 2000 * MS;
        served(&mut harness, until)
    };
    assert_eq!(warm, asked);
}

// Broken connections do not mean that the process was replaced, even if they opened the circuit.
#[test]
fn an_endpoint_with_broken_connections_gets_its_full_share_once_its_circuit_closes() {
    for outcomes in [
        [Outcome::Reset, Outcome::Reset],
        [Outcome::Reset, Outcome::ConnectFailed],
    ] {
        assert_broken_connections_keep_the_share(outcomes);
    }
}

fn assert_broken_connections_keep_the_share(outcomes: [Outcome; 2]) {
    let mut outcomes = outcomes.into_iter().cycle();
    let mut harness = Harness::new(default_settings(), 3, 1);
    let share = |harness: &mut Harness| {
        endpoints_used(harness, 60)
            .iter()
            .filter(|e| **e == 2)
            .count()
    };
    let before = share(&mut harness);
    let mut seen = Vec::new();
    for _ in 0..12 {
        let (id, actions) = harness.request(NON_IDEMPOTENT);
        let breaks = endpoints_sent_to(&actions)[0] == 2;
        seen.extend(harness.finish(
            id,
            0,
            if breaks {
                outcomes.next().unwrap_or(Outcome::Reset)
            } else {
                Outcome::Ok
            },
        ));
    }
    let logged = |seen: &[Action], what: &str| {
        seen.contains(&Action::Log(format!("circuit of endpoint 2 {what}")))
    };
    assert!(logged(&seen, "open"));
    // Trial requests use new connections, which show whether the process is running.
    assert!(seen.contains(&Action::CloseIdle(2)));
    for _ in 0..40 {
        let (id, actions) = harness.request(IDEMPOTENT);
        seen.extend(actions);
        seen.extend(harness.advance(100 * MS));
        seen.extend(harness.finish(id, 0, Outcome::Ok));
    }
    assert!(logged(&seen, "closed"));
    let after = share(&mut harness);
    assert!(
        after * 4 >= before * 3,
        "{after} of 60 requests, {before} before"
    );
}

#[test]
fn an_endpoint_that_refused_connections_returns_in_slow_start_before_the_list_shows_it() {
    let mut harness = Harness::new(default_settings(), 4, 1);
    for _ in 0..40 {
        let (id, actions) = harness.request(IDEMPOTENT);
        let died = endpoints_sent_to(&actions)[0] == 2;
        harness.advance(10 * MS);
        harness.finish(
            id,
            0,
            if died {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            },
        );
        harness.serve_all(20 * MS);
    }
    harness.advance(9000 * MS);
    let back = endpoints_used(&mut harness, 60)
        .iter()
        .filter(|e| **e == 2)
        .count();
    assert!((1..=8).contains(&back), "{back}");
}

// Weights already limit what a warming server gets; the limit on bursts must not reduce it further.
#[test]
fn a_fleet_of_warming_endpoints_gets_most_of_its_warm_share() {
    let mut sent = 0;
    for seed in 0..20 {
        let mut harness = Harness::new(
            Settings {
                instances: 100,
                ..default_settings()
            },
            8,
            seed,
        );
        for n in 0..220 {
            if n == 160 {
                let restarted = |e| ListedEndpoint {
                    started: Some(harness.now),
                    ..listing(e)
                };
                harness.handle(Event::Endpoints(ListUpdate::Delta(
                    (0..8).map(restarted).collect(),
                )));
            }
            harness.request(NON_IDEMPOTENT);
            harness.advance(50 * MS);
            for ((id, attempt), _) in harness.in_flight.clone() {
                sent += usize::from(n >= 160);
                harness.finish(id, attempt, Outcome::Ok);
            }
        }
    }
    assert!(
        (600..=1000).contains(&sent),
        "{sent} of 1200 while capacity is 0.3 to 0.63"
    );
}

// Trial requests are a small part of the traffic, so a returning site of twenty servers would wait
// for them for half a minute.
#[test]
fn a_restarted_site_is_used_again_within_seconds() {
    let settings = Settings {
        instances: 100,
        ..default_settings()
    };
    let warm = settings.rules.warmup_time;
    let mut harness = Harness::new(settings, 40, 3);
    let lost = |endpoint: EndpointId| endpoint < 20;
    let ask = |harness: &mut Harness, requests: usize, down: bool| {
        let mut to = std::collections::BTreeSet::new();
        for _ in 0..requests {
            harness.request(NON_IDEMPOTENT);
            harness.advance(40 * MS);
            for ((id, attempt), out) in harness.in_flight.clone() {
                let dead = down && lost(out.endpoint);
                to.insert(out.endpoint);
                harness.finish(
                    id,
                    attempt,
                    if dead {
                        Outcome::ConnectFailed
                    } else {
                        Outcome::Ok
                    },
                );
            }
        }
        to.into_iter().filter(|e| lost(*e)).count()
    };
    assert_eq!(ask(&mut harness, 200, false), 20);
    ask(&mut harness, 400, true);
    let started = Some(harness.now);
    let back = (0..20)
        .map(|e| ListedEndpoint {
            started,
            ..listing(e)
        })
        .collect();
    harness.handle(Event::Endpoints(ListUpdate::Delta(back)));
    harness.advance(warm / 2);
    let used = ask(&mut harness, 100, false);
    assert!(used >= 16, "{used} of 20 used within 4 s");
}
