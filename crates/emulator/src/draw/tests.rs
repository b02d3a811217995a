//! Tests of `draw.rs`.

use super::*;
use crate::experiment::{Fault, FaultKind};
use crate::site::CLASSES;
use load_balancer_common::units::Time;

fn experiment() -> Experiment {
    Experiment {
        name: "a".to_owned(),
        ..Experiment::default()
    }
}

#[test]
fn a_seed_draws_the_same_twice_and_faults_do_not_move_requests() {
    let mut with = experiment();
    let plain = draw(&with, 7);
    assert_eq!(plain, draw(&with, 7));
    assert_ne!(plain.arrivals, draw(&with, 8).arrivals);
    let (at, lasts) = (Time::ms(5000), Time::ms(4000));
    with.fault.push(Fault {
        kind: FaultKind::ServersReplace,
        at,
        lasts,
        zone: None,
        part: Some(0.5),
        size: None,
        way: None,
    });
    let faulty = draw(&with, 7);
    assert_eq!(faulty.arrivals, plain.arrivals);
    assert_eq!(faulty.servers[..12], plain.servers[..]);
    assert_eq!(
        (
            faulty.servers.len(),
            faulty.steps.len(),
            faulty.directory.changes.len()
        ),
        (18, 12, 18)
    );
    assert!(faulty.steps.windows(2).all(|two| two[0].0 <= two[1].0));
}

#[test]
fn the_rate_is_what_was_asked_for() {
    let mut experiment = experiment();
    (experiment.topology.sidecars, experiment.load.uneven) = (60, 1.0);
    let plan = draw(&experiment, 3);
    let expected = 60.0 * 10.0 * 20.0;
    let deviation = plan.arrivals.len() as f64 / expected - 1.0;
    assert!(deviation.abs() < 0.06, "{deviation}");
    let most = plan.sidecars.iter().map(|s| s.share).fold(0.0, f64::max);
    assert!(
        most > 3.0,
        "uneven traffic has a sidecar of {most} times the mean"
    );
    for (i, class) in CLASSES.iter().enumerate() {
        let part = plan.arrivals.iter().filter(|a| a.class == i).count() as f64
            / plan.arrivals.len() as f64;
        assert!((part - class.share).abs() < 0.03, "{}: {part}", class.name);
    }
}
