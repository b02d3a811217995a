//! A short run with real sidecars, one of which is killed and one zone of which is cut off: judged
//! by the auditors alone, so that the result is the same on a slow machine.

use load_balancer_common::units::Time;
use load_balancer_emulator::draw::{Plan, draw};
use load_balancer_emulator::experiment::{Experiment, Fault, FaultKind, Variant, Way};
use load_balancer_emulator::outcome::Measure;
use load_balancer_emulator::record::Record;
use load_balancer_emulator::run::{Launch, Progress, RunError, run};
use load_balancer_emulator::supervisor::LaunchOptions;
use load_balancer_emulator::tally::Tally;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::Arc;
use tokio::sync::watch;

/// A program of the workspace, built along with this test.
fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("a test is a program");
    let folder = own
        .parent()
        .and_then(|deps| deps.parent())
        .expect("it lies in the folder of the build");
    let program = folder.join(name);
    assert!(
        program.is_file(),
        "{} is not built: test the whole workspace",
        program.display()
    );
    program
}

/// Runs with real sidecars, whose files lie in `folder`.
async fn played(
    experiment: &Experiment,
    plan: &Arc<Plan>,
    variant: &Variant,
    folder: &Path,
) -> Result<Tally, RunError> {
    let launch = Launch::Program(LaunchOptions::new(program("sidecar")));
    let (sender, _progress) = watch::channel(Progress::default());
    run(
        experiment,
        plan,
        variant,
        &launch,
        folder,
        &sender,
        &Record::default(),
    )
    .await
}

fn fault(kind: FaultKind, at: u64, lasts: u64) -> Fault {
    let (at, lasts) = (Time::ms(at), Time::ms(lasts));
    Fault {
        kind,
        at,
        lasts,
        zone: None,
        part: None,
        size: None,
        way: None,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn three_sidecars_keep_the_rules_through_a_kill_and_a_cut() {
    let mut experiment = Experiment {
        name: "short".to_owned(),
        ..Experiment::default()
    };
    (experiment.topology.sidecars, experiment.topology.servers) = (3, 6);
    (
        experiment.load.lasts,
        experiment.load.warmup,
        experiment.load.work,
    ) = (Time::ms(6000), Time::ms(0), 0.3);
    experiment.fault = vec![
        Fault {
            part: Some(0.3),
            ..fault(FaultKind::SidecarsKill, 1000, 500)
        },
        Fault {
            zone: Some(0),
            way: Some(Way::Both),
            ..fault(FaultKind::ZoneCut, 2500, 1500)
        },
    ];
    let plan = Arc::new(draw(&experiment, 7));
    let folder = tempfile::tempdir().expect("a folder");
    let played = played(&experiment, &plan, &Variant::default(), folder.path()).await;
    let tally = played.expect("it is played");
    assert_eq!(tally.findings, []);
    let attempts: u64 = tally.by_server.iter().sum();
    assert!(
        attempts as usize >= plan.arrivals.len() / 2,
        "{attempts} attempts for {}",
        plan.arrivals.len()
    );
    assert!(tally.measures[&Measure::Answered] > 0.0);
    for sidecar in 0..3 {
        let log = std::fs::read_to_string(folder.path().join(format!("n{sidecar}.log")))
            .expect("its log is kept");
        assert!(
            log.ends_with("sidecar: told to stop\n"),
            "sidecar {sidecar}: {log}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn three_sidecars_keep_the_rules_through_pauses_resets_errors_moods_and_a_roll() {
    let mut experiment = Experiment {
        name: "troubled".to_owned(),
        ..Experiment::default()
    };
    (experiment.topology.sidecars, experiment.topology.servers) = (3, 6);
    (
        experiment.load.lasts,
        experiment.load.warmup,
        experiment.load.work,
    ) = (Time::ms(9000), Time::ms(0), 0.3);
    let sized = |kind, at, lasts, size| Fault {
        size: Some(size),
        ..fault(kind, at, lasts)
    };
    experiment.fault = vec![
        Fault {
            part: Some(0.3),
            ..fault(FaultKind::SidecarsPause, 500, 700)
        },
        sized(FaultKind::NetworkResets, 1500, 700, 0.1),
        Fault {
            part: Some(0.5),
            ..sized(FaultKind::ServersFail, 2500, 700, 0.5)
        },
        fault(FaultKind::DiscoverySilent, 3500, 400),
        fault(FaultKind::DiscoveryGarbled, 4200, 400),
        fault(FaultKind::DiscoveryEmpty, 4900, 400),
        sized(FaultKind::NetworkSlow, 5500, 300, 40.0),
        fault(FaultKind::SidecarsRoll, 6000, 2000),
    ];
    let plan = Arc::new(draw(&experiment, 11));
    let folder = tempfile::tempdir().expect("a folder");
    let played = played(&experiment, &plan, &Variant::default(), folder.path()).await;
    let tally = played.expect("it is played");
    assert_eq!(tally.findings, []);
    // Each sidecar was told to stop by the roll, came back, and was told again at the end.
    for sidecar in 0..3 {
        let log = std::fs::read_to_string(folder.path().join(format!("n{sidecar}.log")))
            .expect("its log is kept");
        assert_eq!(
            log.matches("sidecar: told to stop\n").count(),
            2,
            "sidecar {sidecar}: {log}"
        );
    }
    assert!(
        tally.measures[&Measure::Attempts] > 0.5,
        "{:?}",
        tally.measures
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn three_members_of_a_fleet_keep_the_rules_through_loss_a_cut_a_kill_and_a_pause() {
    let mut experiment = Experiment {
        name: "fleet".to_owned(),
        ..Experiment::default()
    };
    (experiment.topology.sidecars, experiment.topology.servers) = (3, 6);
    (
        experiment.load.lasts,
        experiment.load.warmup,
        experiment.load.work,
    ) = (Time::ms(8000), Time::ms(0), 0.3);
    let part = |kind, at, lasts| Fault {
        part: Some(0.3),
        ..fault(kind, at, lasts)
    };
    experiment.fault = vec![
        Fault {
            size: Some(0.3),
            ..fault(FaultKind::DatagramsLost, 0, 7000)
        },
        Fault {
            size: Some(0.3),
            ..fault(FaultKind::DatagramsRepeated, 0, 7000)
        },
        Fault {
            size: Some(0.3),
            ..fault(FaultKind::DatagramsLate, 0, 7000)
        },
        // Over before any connection has been idle for long: see docs/ROADMAP.md on stops that
        // outlast that.
        part(FaultKind::SidecarsPause, 300, 1500),
        part(FaultKind::ServersSilent, 2000, 4000),
        part(FaultKind::SidecarsKill, 3500, 300),
        Fault {
            zone: Some(0),
            way: Some(Way::Out),
            ..fault(FaultKind::ZoneCut, 5500, 1000)
        },
    ];
    let plan = Arc::new(draw(&experiment, 5));
    let folder = tempfile::tempdir().expect("a folder");
    let config = "[fleet]\nenabled = true\n{fleet}\n[fleet.verdicts]\nwitnesses = 2\n";
    let variant = Variant {
        config: config.to_owned(),
        ..Variant::default()
    };
    let played = played(&experiment, &plan, &variant, folder.path()).await;
    let tally = played.expect("it is played");
    assert_eq!(tally.findings, []);
    assert!(tally.measures[&Measure::Answered] > 0.0);
    assert!(
        tally.measures[&Measure::FleetBytes] > 0.0,
        "members have spoken"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sidecar_that_does_not_start_ends_the_run_with_its_last_output() {
    let experiment = Experiment {
        name: "short".to_owned(),
        ..Experiment::default()
    };
    let plan = Arc::new(draw(&experiment, 7));
    let folder = tempfile::tempdir().expect("a folder");
    let variant = Variant {
        config: "[metrics]\nadress = \"\"\n".to_owned(),
        ..Variant::default()
    };
    let played = played(&experiment, &plan, &variant, folder.path()).await;
    let said = played.expect_err("it cannot start").to_string();
    assert!(said.contains("metrics.adress: unknown field"), "{said}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_port_that_is_taken_ends_the_play_and_names_the_sidecar_and_the_port() {
    let holder = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let taken = holder.local_addr().expect("an address");
    let experiment = Experiment {
        name: "short".to_owned(),
        ..Experiment::default()
    };
    let plan = Arc::new(draw(&experiment, 7));
    let folder = tempfile::tempdir().expect("a folder");
    let config = format!("[metrics]\nenabled = true\naddress = \"{taken}\"\n");
    let variant = Variant {
        config,
        ..Variant::default()
    };
    let played = played(&experiment, &plan, &variant, folder.path()).await;
    let said = played.expect_err("it cannot start").to_string();
    assert!(said.starts_with("sidecar 0 ended as it started"), "{said}");
    assert!(
        said.contains(&format!("cannot listen on metrics.address {taken}")),
        "{said}"
    );
}

fn emulator(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fleet-emulator"))
        .args(args)
        .output()
        .expect("it starts")
}

#[test]
fn the_command_line_says_what_is_wrong_and_simulates_the_same_twice() {
    let experiments = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let mut files = Vec::new();
    for entry in std::fs::read_dir(&experiments).expect("the experiments are there") {
        files.push(
            entry
                .expect("an entry")
                .path()
                .to_str()
                .expect("a plain name")
                .to_owned(),
        );
    }
    assert!(files.len() >= 6, "{files:?}");
    let check: Vec<&str> = std::iter::once("check")
        .chain(files.iter().map(String::as_str))
        .collect();
    assert_eq!(emulator(&check).status.code(), Some(0));
    let missing = emulator(&["run", "/nonexistent.toml"]);
    assert_eq!(missing.status.code(), Some(78));
    let said = String::from_utf8(missing.stderr).expect("text");
    assert!(
        said.starts_with("fleet-emulator: /nonexistent.toml: cannot read it")
            && said.lines().count() == 1
    );
    let calm = experiments.join("calm.toml");
    let calm = calm.to_str().expect("a plain name");
    let simulated = || {
        emulator(&[
            "sim",
            calm,
            "--sidecars",
            "300",
            "--servers",
            "375",
            "--seed",
            "5",
            "--json",
        ])
    };
    let (one, two) = (simulated(), simulated());
    assert_eq!(
        one.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&one.stderr)
    );
    assert!(one.stdout == two.stdout && one.stdout.len() > 1000);
}
