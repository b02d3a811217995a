//! Tests of each auditor on records of a few lines.

use super::*;
use crate::SECOND;
use crate::draw::draw;
use crate::experiment::Experiment;
use crate::site::{CLASSES, Repeat};

fn plan() -> Plan {
    draw(
        &Experiment {
            name: "a".to_owned(),
            ..Experiment::default()
        },
        1,
    )
}

/// The first request of that class, taken at 1 s at sidecar 0 as try 7.
fn taken(plan: &Plan, repeat: Repeat) -> Entry {
    let arrival = plan
        .arrivals
        .iter()
        .position(|a| CLASSES[a.class].repeat == repeat)
        .expect("there is one");
    (
        SECOND,
        Seen::Taken {
            request: 7,
            arrival,
            sidecar: 0,
            until: 2 * SECOND,
        },
    )
}

fn attempt(at: Us, number: u64, server: usize) -> Entry {
    (
        at,
        Seen::Attempt {
            number,
            request: Some(7),
            sidecar: 0,
            server,
            began: at,
        },
    )
}

fn answered(at: Us, status: u16) -> Entry {
    (
        at,
        Seen::Answered {
            request: 7,
            status,
            genuine: true,
        },
    )
}

fn rules(plan: &Plan, record: &[Entry]) -> Vec<Rule> {
    audit(plan, record).iter().map(|f| f.rule).collect()
}

#[test]
fn what_is_in_order_is_not_complained_of() {
    let plan = plan();
    let turned_away = Seen::AttemptAnswered {
        number: 1,
        status: 503,
        unprocessed: true,
    };
    let record = [
        taken(&plan, Repeat::Never),
        attempt(SECOND + 1, 1, 0),
        (SECOND + 2, turned_away),
        attempt(SECOND + 3, 2, 1),
        answered(SECOND + 4, 200),
    ];
    assert_eq!(rules(&plan, &record), []);
}

#[test]
fn a_kill_excuses_what_it_takes_along_and_nothing_else() {
    let plan = plan();
    let lost = (SECOND + 500, Seen::Lost { request: 7 });
    let down = |at, killed| (at, Seen::SidecarDown { sidecar: 0, killed });
    let with = |down: Entry| {
        let mut record = vec![taken(&plan, Repeat::Safe), lost.clone(), down];
        record.sort_by_key(|(at, _)| *at);
        rules(&plan, &record)
    };
    assert_eq!(with(down(SECOND + 400, true)), []);
    assert_eq!(
        with(down(SECOND + 400, false)),
        [Rule::Answers],
        "it ended by itself"
    );
    assert_eq!(
        with(down(SECOND - 1, true)),
        [Rule::Answers],
        "that was the process before"
    );
    assert_eq!(with(down(5 * SECOND, true)), [Rule::Answers], "much later");
}

#[test]
fn a_stop_excuses_only_what_comes_late_and_before_the_next_life() {
    let plan = plan();
    let with = |told: Us, up: Option<Us>| {
        let mut record = vec![
            (told, Seen::SidecarTold { sidecar: 0 }),
            taken(&plan, Repeat::Safe),
        ];
        record.extend(up.map(|at| (at, Seen::SidecarUp { sidecar: 0 })));
        record.push((SECOND + 500, Seen::Lost { request: 7 }));
        record.sort_by_key(|(at, _)| *at);
        rules(&plan, &record)
    };
    assert_eq!(with(SECOND - 800_000, None), []);
    assert_eq!(
        with(SECOND - 600_000, None),
        [Rule::Answers],
        "it had to take that"
    );
    assert_eq!(
        with(SECOND - 800_000, Some(SECOND - 1)),
        [Rule::Answers],
        "the next life had taken it"
    );
}

#[test]
fn one_answer_each_neither_none_nor_two_nor_a_forged_one() {
    let plan = plan();
    let first = taken(&plan, Repeat::Safe);
    assert_eq!(rules(&plan, std::slice::from_ref(&first)), [Rule::Answers]);
    let twice = [
        first.clone(),
        answered(SECOND + 1, 200),
        answered(SECOND + 2, 200),
    ];
    assert_eq!(rules(&plan, &twice), [Rule::Answers]);
    let forged = [
        first,
        (
            SECOND + 1,
            Seen::Answered {
                request: 7,
                status: 200,
                genuine: false,
            },
        ),
    ];
    assert_eq!(rules(&plan, &forged), [Rule::Answers]);
}

#[test]
fn an_entry_may_go_out_again_only_while_its_key_is_remembered() {
    let plan = plan();
    let again = |after| {
        let record = [
            taken(&plan, Repeat::Keyed),
            attempt(SECOND, 1, 0),
            attempt(SECOND + after, 2, 1),
            answered(9 * SECOND, 200),
        ];
        rules(&plan, &record)
    };
    assert_eq!(again(5 * SECOND), []);
    assert_eq!(again(5 * SECOND + 60_000), [Rule::Repeats]);
}
