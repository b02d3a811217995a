//! A short run with real coordinators: the leader is killed while a server drains, stopped while
//! one is away, and all are killed while one returns. Judged by the auditors and by counts alone,
//! so that the result is the same on a slow machine.

use load_balancer_common::config;
use load_balancer_emulator::draw::draw;
use load_balancer_emulator::experiment::Experiment;
use load_balancer_emulator::outcome::Measure;
use load_balancer_emulator::record::Record;
use load_balancer_emulator::run::{Launch, Progress, run};
use load_balancer_emulator::supervisor::LaunchOptions;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::sync::watch;

const PLAYED: &str = r#"
name = "stewards"

[topology]
sidecars = 3
servers = 9

[load]
rate = 6.0
lasts = "45s"
warmup = "0s"
work = 0.3

[agreement]
keep = 0.6
keep_zone = 0.3
most_away = 2

[[window]]
at = "1s"
zone = 0
servers = 1
length = "7s"
latest = "5m"

[[window]]
at = "1s"
zone = 1
servers = 1
length = "7s"
latest = "5m"

[stewards]
count = 3
config = """
[evidence]
period = "500ms"
warm_after = "7400ms"
"""

[[stewards.fault]]
kind = "kill"
who = "leader"
at = "1s"
lasts = "1s"
on = "draining"

[[stewards.fault]]
kind = "stop"
who = "leader"
at = "5s"
lasts = "3s"
on = "away"

[[stewards.fault]]
kind = "kill"
who = "all"
at = "9s"
lasts = "1s"
on = "returning"

[[variant]]
name = "asked"
windows = "asked"
"#;

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

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn windows_go_on_over_a_killed_leader_a_stopped_one_and_the_restart_of_all() {
    let experiment: Experiment =
        config::parse(Path::new("played.toml"), PLAYED).expect("an experiment");
    let plan = Arc::new(draw(&experiment, 7));
    let folder = tempfile::tempdir().expect("a folder");
    program("coordinator");
    let launch = Launch::Program(LaunchOptions::new(program("sidecar")));
    let (sender, _progress) = watch::channel(Progress::default());
    let variant = &experiment.variant[0];
    let played = run(
        &experiment,
        &plan,
        variant,
        &launch,
        folder.path(),
        &sender,
        &Record::default(),
    )
    .await;
    let tally = played.expect("it is played");
    assert_eq!(tally.findings, []);
    let measured = |measure| tally.measures.get(&measure).copied();
    assert_eq!(measured(Measure::Maintained), Some(1.0));
    assert_eq!(measured(Measure::CapacityBreaches), Some(0.0));
    // Each has happened.
    assert_eq!(measured(Measure::CoordinatorFaults), Some(3.0));
}
