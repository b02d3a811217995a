//! What is sent to endpoints that have just started.

use crate::common::*;
use crate::delta;
use load_balancer::*;

#[test]
fn a_cold_endpoint_gets_a_small_part_that_grows() {
    let mut rig = Rig::new(settings(), 4, 1);
    used(&mut rig, 200);
    let now = rig.now;
    delta(
        &mut rig,
        Listing {
            started: Some(now),
            ..listing(3)
        },
    );
    let part = |rig: &mut Rig| used(rig, 60).iter().filter(|e| **e == 3).count();
    let cold = part(&mut rig);
    rig.wait(3000 * MS);
    used(&mut rig, 60);
    let mid = part(&mut rig);
    rig.wait(9000 * MS);
    let warm = part(&mut rig);
    assert!(
        cold <= 6 && cold < mid && mid <= warm && warm >= 13,
        "{cold} {mid} {warm}"
    );
}

#[test]
fn a_cold_endpoint_left_alone_is_not_pushed_over_by_a_burst() {
    let mut rig = Rig::new(settings(), 4, 1);
    used(&mut rig, 60);
    for _ in 0..12 {
        (0..100).for_each(|_| drop(rig.request(SAFE)));
        rig.serve(20 * MS);
    }
    rig.wait(9000 * MS);
    let now = rig.now;
    let full = Listing {
        started: Some(now),
        ..listing(0)
    };
    rig.event(Event::Endpoints(ListUpdate::Full(vec![full])));
    let burst: usize = (0..50).map(|_| sent(&rig.request(SAFE).1).len()).sum();
    assert!(burst <= 2, "{burst}");
}

#[test]
fn many_sidecars_that_see_little_do_not_push_a_cold_endpoint_over_together() {
    let mut to_cold = 0;
    for index in 0..200 {
        let set = Settings {
            instances: 200,
            index,
            ..settings()
        };
        let mut rig = Rig::new(set, 4, u64::from(index));
        used(&mut rig, 8);
        let now = rig.now;
        delta(
            &mut rig,
            Listing {
                started: Some(now),
                ..listing(3)
            },
        );
        rig.wait(50 * MS);
        to_cold += used(&mut rig, 4).iter().filter(|e| **e == 3).count();
    }
    assert!(
        to_cold <= 20,
        "{to_cold} of 800 requests to one that started a moment ago"
    );
}

// With six in ten endpoints cold at once, hardly one of them served anything until it was warm.
#[test]
fn a_cold_endpoint_within_reach_gets_its_small_part_however_many_are_listed() {
    let mut set = settings();
    set.classes
        .iter_mut()
        .for_each(|c| (c.latency_objective, c.deadline) = (300 * MS, 1340 * MS));
    let mut sends = [0, 0];
    for seed in 0..10 {
        let mut rig = Rig::new(
            Settings {
                instances: 297,
                ..set.clone()
            },
            151,
            seed,
        );
        let pass = |rig: &mut Rig, requests: usize| {
            let mut to = Vec::new();
            for _ in 0..requests {
                to.extend(sent(&rig.request_for(SAFE, 800 * MS, None, None).1));
                rig.serve(20 * MS);
                rig.wait(40 * MS);
            }
            to
        };
        let warm = pass(&mut rig, 300);
        let one = warm[warm.len() - 1];
        sends[0] += warm.iter().skip(250).filter(|e| **e == one).count();
        let started = Some(rig.now);
        delta(
            &mut rig,
            Listing {
                started,
                ..listing(one)
            },
        );
        sends[1] += pass(&mut rig, 50).iter().filter(|e| **e == one).count();
    }
    let [warm, cold] = sends;
    assert!(
        cold * 4 >= warm && cold * 2 <= warm,
        "{cold} sends in 3 s, {warm} while it was warm"
    );
}

#[test]
fn a_fleet_that_is_all_cold_is_tried_a_little_and_fully_used_once_warm() {
    let mut rig = Rig::new(
        Settings {
            instances: 200,
            ..settings()
        },
        0,
        3,
    );
    let cold = |endpoint| Listing {
        started: Some(START),
        ..listing(endpoint)
    };
    rig.event(Event::Endpoints(ListUpdate::Full(
        (0..50).map(cold).collect(),
    )));
    let served = |rig: &mut Rig, until: Micros| {
        let before = rig.sends.len();
        let mut asked = 0;
        while rig.now < until {
            rig.request(SAFE);
            rig.serve(20 * MS);
            rig.wait(80 * MS);
            asked += 1;
        }
        (rig.sends.len() - before, asked)
    };
    let (cold, _) = served(&mut rig, START + 8000 * MS);
    assert!((1..=40).contains(&cold), "{cold}");
    let (warm, asked) = {
        rig.wait(1500 * MS);
        let until = rig.now + 2000 * MS;
        served(&mut rig, until)
    };
    assert_eq!(warm, asked);
}

// Connections that break leave their endpoint as warm as it was, also once they opened its circuit.
#[test]
fn what_only_broke_connections_gets_its_full_part_once_its_circuit_closes() {
    for outcomes in [
        [Outcome::Reset, Outcome::Reset],
        [Outcome::Reset, Outcome::ConnectFailed],
    ] {
        breaks_connections_and_stays_warm(outcomes);
    }
}

fn breaks_connections_and_stays_warm(outcomes: [Outcome; 2]) {
    let mut outcomes = outcomes.into_iter().cycle();
    let mut rig = Rig::new(settings(), 3, 1);
    let part = |rig: &mut Rig| used(rig, 60).iter().filter(|e| **e == 2).count();
    let before = part(&mut rig);
    let mut seen = Vec::new();
    for _ in 0..12 {
        let (id, actions) = rig.request(UNSAFE);
        let breaks = sent(&actions)[0] == 2;
        seen.extend(rig.end(
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
    // Trials dial: only so they show whether the process is there.
    assert!(seen.contains(&Action::CloseIdle(2)));
    for _ in 0..40 {
        let (id, actions) = rig.request(SAFE);
        seen.extend(actions);
        seen.extend(rig.wait(100 * MS));
        seen.extend(rig.end(id, 0, Outcome::Ok));
    }
    assert!(logged(&seen, "closed"));
    let after = part(&mut rig);
    assert!(
        after * 4 >= before * 3,
        "{after} of 60 turns, {before} before"
    );
}

#[test]
fn what_comes_back_after_lost_connections_is_cold_before_the_list_says_so() {
    let mut rig = Rig::new(settings(), 4, 1);
    for _ in 0..40 {
        let (id, actions) = rig.request(SAFE);
        let died = sent(&actions)[0] == 2;
        rig.wait(10 * MS);
        rig.end(
            id,
            0,
            if died {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            },
        );
        rig.serve(20 * MS);
    }
    rig.wait(9000 * MS);
    let back = used(&mut rig, 60).iter().filter(|e| **e == 2).count();
    assert!((1..=8).contains(&back), "{back}");
}

// Turns give a cold server no more than its warm part; the bound on bursts must leave room for
// that.
#[test]
fn endpoints_that_are_all_cold_are_sent_most_of_their_warm_part() {
    let mut sent = 0;
    for seed in 0..20 {
        let mut rig = Rig::new(
            Settings {
                instances: 100,
                ..settings()
            },
            8,
            seed,
        );
        for n in 0..220 {
            if n == 160 {
                let restarted = |e| Listing {
                    started: Some(rig.now),
                    ..listing(e)
                };
                rig.event(Event::Endpoints(ListUpdate::Delta(
                    (0..8).map(restarted).collect(),
                )));
            }
            rig.request(UNSAFE);
            rig.wait(50 * MS);
            for ((id, attempt), _) in rig.out.clone() {
                sent += usize::from(n >= 160);
                rig.end(id, attempt, Outcome::Ok);
            }
        }
    }
    assert!(
        (600..=1000).contains(&sent),
        "{sent} of 1200 while 0.3 to 0.63 warm"
    );
}

// Trials are a small part of what a sidecar sends: a site of twenty that returns would wait for
// them half a minute.
#[test]
fn listed_restarts_bring_a_lost_site_back_within_seconds() {
    let set = Settings {
        instances: 100,
        ..settings()
    };
    let warm = set.rules.warmup_time;
    let mut rig = Rig::new(set, 40, 3);
    let lost = |endpoint: EndpointId| endpoint < 20;
    let ask = |rig: &mut Rig, requests: usize, down: bool| {
        let mut to = std::collections::BTreeSet::new();
        for _ in 0..requests {
            rig.request(UNSAFE);
            rig.wait(40 * MS);
            for ((id, attempt), out) in rig.out.clone() {
                let dead = down && lost(out.endpoint);
                to.insert(out.endpoint);
                rig.end(
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
    assert_eq!(ask(&mut rig, 200, false), 20);
    ask(&mut rig, 400, true);
    let started = Some(rig.now);
    let back = (0..20)
        .map(|e| Listing {
            started,
            ..listing(e)
        })
        .collect();
    rig.event(Event::Endpoints(ListUpdate::Delta(back)));
    rig.wait(warm / 2);
    let met = ask(&mut rig, 100, false);
    assert!(met >= 16, "{met} of 20 met within 4 s");
}
