//! How health observations are weighed: who counts, how many must agree, how old and warm they are.

use load_balancer_coordinator::observations::{Page, Weights, ZoneObservations, weigh};
use load_balancer_maintenance::{Health, Server, ServerObservation};
use serde_json::json;

const NOW_MS: i64 = 1_000_000;

fn page(zone: &str, member: &str, state: &str, age_ms: i64, started_ms: i64) -> ZoneObservations {
    let page = json!({"member": member, "incarnation": 1, "zone": "says-what-it-likes", "standing": "whole",
        "answers": true, "servers": [{"name": "a", "started_ms": started_ms, "state": state, "age_ms": age_ms}]});
    ZoneObservations {
        zone: zone.to_owned(),
        asked_ago_ms: 7,
        page: serde_json::from_value::<Page>(page).expect("a page"),
    }
}

fn words(heard: &[ZoneObservations]) -> Option<ServerObservation> {
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
    let weights = Weights {
        agree,
        warm_after_ms: 1_000,
    };
    let mut words = weigh(&weights, NOW_MS, &[listed("a"), listed("b")], heard);
    assert!(words.len() < 2, "nobody speaks of b");
    words.pop()
}

fn state(heard: &[ZoneObservations]) -> Option<Health> {
    words(heard).map(|word| word.state)
}

#[test]
fn enough_of_a_zone_must_agree_and_nobody_counts_twice() {
    let well = |zone, member| page(zone, member, "well", 100, 0);
    let sick = |zone, member| page(zone, member, "sick", 100, 0);
    assert_eq!(state(&[]), None);
    assert_eq!(state(&[well("x", "1")]), None);
    assert_eq!(
        state(&[well("x", "1"), well("y", "2")]),
        None,
        "of two zones"
    );
    assert_eq!(
        state(&[well("x", "1"), well("x", "1")]),
        None,
        "one member at two addresses"
    );
    assert_eq!(
        state(&[well("else", "1"), well("else", "2")]),
        None,
        "a zone that is not configured"
    );
    assert_eq!(
        state(&[well("alone", "1")]),
        Some(Health::Healthy),
        "the only one of its zone"
    );
    assert_eq!(
        state(&[well("x", "1"), well("x", "2")]),
        Some(Health::Healthy)
    );
    assert_eq!(
        state(&[well("x", "1"), well("x", "2"), sick("x", "liar")]),
        Some(Health::Healthy)
    );
    assert_eq!(
        state(&[sick("x", "1"), sick("x", "2"), well("x", "liar")]),
        Some(Health::Unhealthy)
    );
    assert_eq!(
        state(&[well("x", "1"), page("x", "2", "unknown", 0, 0)]),
        None
    );
    let two = [well("x", "1"), well("x", "2")];
    assert_eq!(
        state(&[two.to_vec(), vec![sick("x", "3"), sick("x", "4")]].concat()),
        None,
        "half is no majority"
    );
    let three = [
        two.to_vec(),
        vec![well("x", "5"), sick("x", "3"), sick("x", "4")],
    ]
    .concat();
    assert_eq!(state(&three), Some(Health::Healthy), "three of five");
    let known = page("x", "6", "unknown", 0, 0);
    assert_eq!(
        state(&[two.to_vec(), vec![known.clone(), known]].concat()),
        Some(Health::Healthy),
        "who can't tell"
    );
}

#[test]
fn who_may_not_answer_does_not_count_and_zones_that_contradict_each_other_cannot_tell() {
    let pair = |zone: &str, state: &str| {
        [
            page(zone, &format!("{zone}1"), state, 100, 0),
            page(zone, &format!("{zone}2"), state, 100, 0),
        ]
    };
    let mut silent = pair("x", "well");
    silent[1].page.answers = false;
    assert_eq!(state(&silent), None);
    assert_eq!(
        state(&[pair("x", "well"), pair("y", "sick")].concat()),
        Some(Health::Unknown)
    );
    assert_eq!(
        state(&[pair("x", "well").to_vec(), silent.to_vec()].concat()),
        Some(Health::Healthy)
    );
    // A process that took another's place is another one.
    let mut newer = pair("y", "sick");
    newer
        .iter_mut()
        .for_each(|heard| heard.page.servers[0].started_ms = 500);
    let word = words(&[pair("x", "well"), newer].concat()).expect("a word");
    assert_eq!((word.state, word.started), (Health::Unhealthy, 500));
}

#[test]
fn the_more_are_asked_the_younger_is_what_enough_of_them_have_seen() {
    let ages = |ages: &[i64]| {
        let member = |(number, age): (usize, &i64)| page("x", &number.to_string(), "well", *age, 0);
        words(&ages.iter().enumerate().map(member).collect::<Vec<_>>())
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
    let two = |young, started| {
        [
            page("x", "1", "well", young, started),
            page("x", "2", "well", 900, started),
        ]
    };
    assert_eq!(
        words(&two(-50, 0)).expect("a word").age_ms,
        907,
        "one that says younger, or lies, does not count"
    );
    for (started, told, warm) in [
        (0, None, true),
        (NOW_MS - 1_000, None, true),
        (NOW_MS - 999, None, false),
        (NOW_MS + 5_000, None, false),
        (NOW_MS - 1_000, Some([true, true]), true),
        (NOW_MS - 1_000, Some([true, false]), false),
        (NOW_MS - 999, Some([true, true]), false),
    ] {
        let mut heard = two(100, started);
        for (one, told) in heard.iter_mut().zip(told.into_iter().flatten()) {
            one.page.servers[0].warm = Some(told);
        }
        assert_eq!(
            words(&heard).expect("a word").warm,
            warm,
            "{started} {told:?}"
        );
    }
}
