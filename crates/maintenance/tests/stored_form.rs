//! The JSON form of events, outcomes, views and the machine's state. Replicas store and exchange
//! it, so a build must read what earlier builds wrote, and write the same form.
//!
//! `fixtures/history.jsonl` was written by the build before the types were renamed, one event per
//! line, with its time, its outcome and the actions due after it; some lines also hold the
//! machine's whole state and its views.

use load_balancer_maintenance::{Event, Machine};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

fn history() -> Vec<Value> {
    include_str!("fixtures/history.jsonl")
        .lines()
        .map(|line| serde_json::from_str(line).expect("a line of JSON"))
        .collect()
}

/// Reads a value in its stored form, and checks that it is written in the same form.
fn read<T: Serialize + DeserializeOwned>(stored: &Value) -> T {
    let value: T = serde_json::from_value(stored.clone()).expect("a value in its stored form");
    assert_eq!(&to_json(&value), stored);
    value
}

fn to_json(value: &impl Serialize) -> Value {
    serde_json::to_value(value).expect("a value that has a JSON form")
}

fn time_of(line: &Value) -> i64 {
    line["at_ms"].as_i64().expect("a time")
}

#[test]
fn an_earlier_history_gives_the_same_answers_and_state() {
    let mut machine = Machine::new();
    for line in history() {
        let now_ms = time_of(&line);
        let outcome = machine.apply(now_ms, read::<Event>(&line["event"]));
        assert_eq!(to_json(&outcome), line["outcome"]);
        assert_eq!(to_json(&machine.due(now_ms)), line["due"]);
        if !line["machine"].is_null() {
            assert_eq!(to_json(&machine), line["machine"]);
            assert_eq!(to_json(&machine.windows()), line["windows"]);
            assert_eq!(to_json(&machine.capacity(now_ms)), line["capacity"]);
        }
    }
}

#[test]
fn a_machine_goes_on_from_an_earlier_snapshot() {
    let history = history();
    let snapshot = history
        .iter()
        .position(|line| !line["machine"].is_null())
        .expect("a line with the machine's state");
    let mut machine: Machine = read(&history[snapshot]["machine"]);
    for line in &history[snapshot + 1..] {
        let outcome = machine.apply(time_of(line), read(&line["event"]));
        assert_eq!(to_json(&outcome), line["outcome"]);
    }
    let last = history.last().expect("a history of some lines");
    assert_eq!(to_json(&machine), last["machine"]);
}
