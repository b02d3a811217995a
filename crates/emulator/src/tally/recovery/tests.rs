//! Tests of `recovery.rs`.

use super::*;
use crate::draw::draw;
use crate::experiment::Experiment;

#[test]
fn a_return_is_measured_from_the_start_by_answers_worth_and_attempts_at_the_known_bad() {
    let mut experiment = Experiment {
        name: "a".to_owned(),
        ..Experiment::default()
    };
    experiment.load.rate = 20.0;
    let mut plan = draw(&experiment, 1);
    let (kill, start) = (6 * SECOND, 7 * SECOND);
    plan.steps = vec![
        (SECOND, Step::ServerSilent(0, true)),
        (5 * SECOND, Step::ServerSilent(1, true)),
        (kill, Step::SidecarKill(0)),
        (start, Step::SidecarStart(0)),
    ];
    let mut record = Vec::new();
    for (arrival, a) in plan
        .arrivals
        .iter()
        .enumerate()
        .filter(|(_, a)| a.sidecar == 0)
    {
        let (request, lost) = (arrival as u64, (kill..start + 2 * SECOND).contains(&a.at));
        record.push((
            a.at,
            Seen::Taken {
                request,
                arrival,
                sidecar: 0,
                until: a.at + a.patience,
            },
        ));
        if !lost {
            record.push((
                a.at + 1,
                Seen::Answered {
                    request,
                    status: 200,
                    genuine: true,
                },
            ));
        }
    }
    for (number, server) in [0, 0, 1, 2].into_iter().enumerate() {
        let began = start + SECOND;
        let attempt = Seen::Attempt {
            number: number as u64,
            request: None,
            sidecar: 0,
            server,
            began,
        };
        record.push((began, attempt));
    }
    record.sort_by_key(|(at, _)| *at);
    let [(_, first), (_, back), (_, wasted)] = recovery(&plan, &record);
    let next = plan
        .arrivals
        .iter()
        .find(|a| a.sidecar == 0 && a.at >= start + 2 * SECOND);
    let next = next.map_or(0.0, |a| (a.at + 1 - start) as f64 / SECOND as f64);
    assert!((first - next).abs() < 1e-9, "{first} for {next}");
    assert!((1.0..=2.0).contains(&back), "{back}");
    assert!((wasted - 2.0).abs() < 1e-9, "{wasted}");
}
