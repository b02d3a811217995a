//! Whole runs in simulated time: the same result for a seed, and no rule violated.

use super::*;
use crate::draw::draw;
use crate::experiment::{Fault, FaultKind};
use crate::outcome::Measure;
use load_balancer_common::units::Time;

fn experiment(kind: Option<FaultKind>) -> Experiment {
    let mut experiment = Experiment {
        name: "a".to_owned(),
        ..Experiment::default()
    };
    experiment.load.lasts = Time::ms(12_000);
    experiment.load.work = 0.5;
    let has_size = matches!(kind, Some(FaultKind::ServersSlow | FaultKind::NetworkSlow));
    experiment.fault.extend(kind.map(|kind| Fault {
        kind,
        at: Time::ms(4000),
        lasts: Time::ms(3000),
        zone: None,
        part: Some(0.25),
        size: has_size.then_some(3.0),
        way: (kind == FaultKind::ZoneCut).then_some(Way::Both),
    }));
    experiment
}

#[test]
fn a_seed_determines_the_result() {
    let experiment = experiment(Some(FaultKind::ServersSilent));
    let bytes = |seed| {
        let plan = draw(&experiment, seed);
        let tally = simulate(&experiment, &plan, &Variant::default()).expect("it can be played");
        serde_json::to_string(&tally).expect("it can be written")
    };
    assert_eq!(bytes(5), bytes(5));
    assert_ne!(bytes(5), bytes(6));
}

#[test]
fn no_rule_is_violated_under_any_fault_and_without_faults_nearly_all_requests_are_served() {
    use FaultKind::*;
    let kinds = [
        None,
        Some(ServersDie),
        Some(ServersSilent),
        Some(ServersSlow),
        Some(ServersReplace),
        Some(ZoneCut),
        Some(NetworkSlow),
        Some(SidecarsKill),
        Some(SidecarsRoll),
    ];
    for kind in kinds {
        let experiment = experiment(kind);
        for seed in 1..4 {
            let tally = simulate(&experiment, &draw(&experiment, seed), &Variant::default());
            let tally = tally.expect("it can be played");
            let (findings, served) = (&tally.findings, tally.measures[&Measure::Served]);
            assert!(findings.is_empty(), "{kind:?}, seed {seed}: {findings:?}");
            let min_served = if kind.is_none() { 0.9 } else { 0.5 };
            assert!(served > min_served, "{kind:?}, seed {seed}: {served}");
            let swallowed = tally.measures[&Measure::Swallowed];
            assert!(
                kind != Some(ServersSilent) || swallowed > 0.0,
                "nothing came to a silent server"
            );
            assert!(
                kind.is_some() || swallowed == 0.0,
                "something was swallowed in calm"
            );
        }
    }
}
