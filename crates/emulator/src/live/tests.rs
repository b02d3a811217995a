//! Tests of `live.rs`.

use super::*;
use crate::draw::draw;
use crate::experiment::Experiment;

#[test]
fn it_tells_what_came_since_the_last_time() {
    let plan = draw(&Experiment::default(), 1);
    let record = Record::default();
    let mut live = Live::new(&plan, record.clone());
    let request = 7;
    record.note(
        1000,
        Seen::Taken {
            request,
            arrival: 0,
            sidecar: 0,
            until: 9000,
        },
    );
    record.note(
        2000,
        Seen::Attempt {
            number: 1,
            request: Some(request),
            sidecar: 0,
            server: 0,
            began: 1500,
        },
    );
    record.note(
        3000,
        Seen::Answered {
            request,
            status: 200,
            genuine: true,
        },
    );
    let line = |text: &str, start: &str| {
        let found = text
            .lines()
            .find(|l| l.starts_with(start))
            .expect("the line is there");
        found
            .split_whitespace()
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    let (class, server) = (
        CLASSES[plan.arrivals[0].class].name,
        plan.servers[0].name.clone(),
    );
    let first = live.table(0.5);
    assert_eq!(line(&first, class)[1..4], ["2.0", "2.0", "0.0"]);
    assert_eq!(line(&first, &server)[2..], ["2.0", "0.0", "0.0"]);
    assert_eq!(line(&live.table(0.5), class)[1..4], ["0.0", "0.0", "0.0"]);
}
