//! How health observations are combined: which reports count, how many must agree, their age, and
//! warmth.

use load_balancer_coordinator::observations::{
    AgreementRules, SidecarReport, ZoneObservations, combine,
};
use load_balancer_maintenance::{Health, Server, ServerObservation};
use serde_json::json;

const NOW_MS: i64 = 1_000_000;

fn report(zone: &str, member: &str, state: &str, age_ms: i64, started_ms: i64) -> ZoneObservations {
    let page = json!({"member": member, "incarnation": 1, "zone": "says-what-it-likes", "standing": "whole",
        "answers": true, "servers": [{"name": "a", "started_ms": started_ms, "state": state, "age_ms": age_ms}]});
    ZoneObservations {
        zone: zone.to_owned(),
        request_age_ms: 7,
        report: serde_json::from_value::<SidecarReport>(page).expect("a page"),
    }
}

fn observation(heard: &[ZoneObservations]) -> Option<ServerObservation> {
    let listed = |name: &str| Server {
        name: name.to_owned(),
        zone: "z".to_owned(),
        group: String::new(),
        weight: 1,
        started: 0,
    };
    let agree = [
        ("x".to_owned(), 2),
        ("y".to_owned(), 2),
        ("alone".to_owned(), 1),
    ]
    .into();
    let weights = AgreementRules {
        min_agreeing: agree,
        warm_after_ms: 1_000,
    };
    let mut observations = combine(&weights, NOW_MS, &[listed("a"), listed("b")], heard);
    assert!(observations.len() < 2, "there are no reports on b");
    observations.pop()
}

fn health(heard: &[ZoneObservations]) -> Option<Health> {
    observation(heard).map(|word| word.state)
}

#[test]
fn enough_of_a_zone_must_agree_and_nobody_counts_twice() {
    let healthy = |zone, member| report(zone, member, "well", 100, 0);
    let unhealthy = |zone, member| report(zone, member, "sick", 100, 0);
    assert_eq!(health(&[]), None);
    assert_eq!(health(&[healthy("x", "1")]), None);
    assert_eq!(
        health(&[healthy("x", "1"), healthy("y", "2")]),
        None,
        "of two zones"
    );
    assert_eq!(
        health(&[healthy("x", "1"), healthy("x", "1")]),
        None,
        "one member at two addresses"
    );
    assert_eq!(
        health(&[healthy("else", "1"), healthy("else", "2")]),
        None,
        "a zone that is not configured"
    );
    assert_eq!(
        health(&[healthy("alone", "1")]),
        Some(Health::Healthy),
        "the only one of its zone"
    );
    assert_eq!(
        health(&[healthy("x", "1"), healthy("x", "2")]),
        Some(Health::Healthy)
    );
    assert_eq!(
        health(&[
            healthy("x", "1"),
            healthy("x", "2"),
            unhealthy("x", "faulty")
        ]),
        Some(Health::Healthy)
    );
    assert_eq!(
        health(&[
            unhealthy("x", "1"),
            unhealthy("x", "2"),
            healthy("x", "faulty")
        ]),
        Some(Health::Unhealthy)
    );
    assert_eq!(
        health(&[healthy("x", "1"), report("x", "2", "unknown", 0, 0)]),
        None
    );
    let two = [healthy("x", "1"), healthy("x", "2")];
    assert_eq!(
        health(&[two.to_vec(), vec![unhealthy("x", "3"), unhealthy("x", "4")]].concat()),
        None,
        "half is not a majority"
    );
    let three = [
        two.to_vec(),
        vec![healthy("x", "5"), unhealthy("x", "3"), unhealthy("x", "4")],
    ]
    .concat();
    assert_eq!(health(&three), Some(Health::Healthy), "three of five");
    let known = report("x", "6", "unknown", 0, 0);
    assert_eq!(
        health(&[two.to_vec(), vec![known.clone(), known]].concat()),
        Some(Health::Healthy),
        "unknown does not count"
    );
}

#[test]
fn who_may_not_answer_does_not_count_and_zones_that_contradict_each_other_cannot_tell() {
    let two_reports = |zone: &str, state: &str| {
        [
            report(zone, &format!("{zone}1"), state, 100, 0),
            report(zone, &format!("{zone}2"), state, 100, 0),
        ]
    };
    let mut may_not_answer = two_reports("x", "well");
    may_not_answer[1].report.answers = false;
    assert_eq!(health(&may_not_answer), None);
    assert_eq!(
        health(&[two_reports("x", "well"), two_reports("y", "sick")].concat()),
        Some(Health::Unknown)
    );
    assert_eq!(
        health(&[two_reports("x", "well").to_vec(), may_not_answer.to_vec()].concat()),
        Some(Health::Healthy)
    );
    // Reports on different processes of a server do not contradict each other; the newest counts.
    let mut newer = two_reports("y", "sick");
    newer
        .iter_mut()
        .for_each(|heard| heard.report.servers[0].started_ms = 500);
    let observation = observation(&[two_reports("x", "well"), newer].concat()).expect("a word");
    assert_eq!(
        (observation.state, observation.started),
        (Health::Unhealthy, 500)
    );
}

#[test]
fn the_more_are_asked_the_younger_is_what_enough_of_them_have_seen() {
    let ages = |ages: &[i64]| {
        let member =
            |(number, age): (usize, &i64)| report("x", &number.to_string(), "well", *age, 0);
        observation(&ages.iter().enumerate().map(member).collect::<Vec<_>>())
            .expect("a word")
            .age_ms
    };
    assert_eq!(ages(&[15_000, 9_000]), 15_007);
    assert_eq!(
        ages(&[
            15_000, 9_000, 12_000, 800, 14_000, 2_500, 11_000, 10_000, 7_000, 13_000
        ]),
        2_507
    );
}

#[test]
fn age_is_that_of_enough_members_and_warmth_needs_both_age_and_nobody_against_it() {
    let two = |age_ms, started| {
        [
            report("x", "1", "well", age_ms, started),
            report("x", "2", "well", 900, started),
        ]
    };
    assert_eq!(
        observation(&two(-50, 0)).expect("a word").age_ms,
        907,
        "a single younger observation does not count"
    );
    for (started, warm_reports, warm) in [
        (0, None, true),
        (NOW_MS - 1_000, None, true),
        (NOW_MS - 999, None, false),
        (NOW_MS + 5_000, None, false),
        (NOW_MS - 1_000, Some([true, true]), true),
        (NOW_MS - 1_000, Some([true, false]), false),
        (NOW_MS - 999, Some([true, true]), false),
    ] {
        let mut heard = two(100, started);
        for (report, told) in heard.iter_mut().zip(warm_reports.into_iter().flatten()) {
            report.report.servers[0].warm = Some(told);
        }
        assert_eq!(
            observation(&heard).expect("a word").warm,
            warm,
            "{started} {warm_reports:?}"
        );
    }
}
