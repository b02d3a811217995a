//! Tests of `tally.rs`.

use super::*;
use crate::draw::draw;
use crate::experiment::Experiment;

// Every second request is answered, one half of those in time.
#[test]
fn worth_counts_in_time_and_after_the_warmup() {
    let plan = draw(&Experiment::default(), 1);
    let mut record = Vec::new();
    let (mut asked, mut in_time) = (0.0, 0.0);
    for (arrival, a) in plan.arrivals.iter().enumerate() {
        let (request, class) = (arrival as u64, &CLASSES[a.class]);
        record.push((
            a.at,
            Seen::Taken {
                request,
                arrival,
                sidecar: a.sidecar,
                until: a.at + a.patience,
            },
        ));
        let after = [Some(class.aim / 2), None, Some(class.aim + 1), None][arrival % 4];
        if let Some(after) = after {
            record.push((
                a.at + after,
                Seen::Answered {
                    request,
                    status: 200,
                    genuine: true,
                },
            ));
        }
        if a.at >= plan.warmup {
            asked += class.worth;
            in_time += if arrival % 4 == 0 { class.worth } else { 0.0 };
        }
    }
    record.sort_by_key(|(at, _)| *at);
    let tally = tally(&plan, &record, Beside::default(), Vec::new());
    assert!((tally.measures[&Measure::Served] - in_time / asked).abs() < 1e-9);
    assert!(
        (tally.measures[&Measure::Answered] - 0.5).abs() < 0.02,
        "{:?}",
        tally.measures
    );
    assert!(
        tally.measures[&Measure::ServedWorstClass] > 0.1 && tally.measures[&Measure::P50Ms] > 200.0
    );
}
