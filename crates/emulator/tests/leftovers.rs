//! However an emulator ends, nothing that it started goes on, and no folder of its own stays.

use load_balancer_emulator::experiment::Variant;
use load_balancer_emulator::net::Clock;
use load_balancer_emulator::record::Record;
use load_balancer_emulator::supervisor::{LaunchOptions, PlatformConfig, Supervised};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

/// Looks for something so often at most, this far apart: a bound in count for what a slow machine
/// may take.
const POLLS: usize = 600;
const APART: Duration = Duration::from_millis(50);
/// Lives of one sidecar: a single process might have ended by chance.
const LIVES: usize = 20;

const EXPERIMENT: &str = "name = \"left\"\n[topology]\nsidecars = 3\nservers = 3\n[load]\nrate = 5.0\nlasts = \"60s\"\n\
    [[variant]]\nname = \"today\"\n";

/// An emulator that runs for a minute; its own files lie in `folder`.
fn emulator(folder: &Path, more: &[&str]) -> Child {
    let file = folder.join("left.toml");
    fs::write(&file, EXPERIMENT).expect("it can be written");
    Command::new(env!("CARGO_BIN_EXE_fleet-emulator"))
        .arg("run")
        .arg(&file)
        .args(more)
        .env("TMPDIR", folder)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts")
}

/// Processes that were given a file in that folder.
fn started(folder: &Path) -> Vec<u32> {
    let mark = folder.to_str().expect("a plain name");
    let of = |entry: fs::DirEntry| {
        let id: u32 = entry.file_name().to_str()?.parse().ok()?;
        let environment = fs::read(entry.path().join("environ")).ok()?;
        let config = environment
            .split(|byte| *byte == 0)
            .find(|pair| pair.starts_with(b"LB_CONFIG="))?;
        String::from_utf8_lossy(config).contains(mark).then_some(id)
    };
    fs::read_dir("/proc")
        .expect("it is there")
        .flatten()
        .filter_map(of)
        .collect()
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..POLLS {
        if holds() {
            return;
        }
        std::thread::sleep(APART);
    }
    panic!("{what}: never");
}

fn ended(mut emulator: Child) -> ExitStatus {
    let mut status = None;
    until("the lab ends", || {
        status = emulator.try_wait().expect("it can be asked");
        status.is_some()
    });
    status.expect("it has ended")
}

fn folders(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("it is there").flatten();
    entries
        .map(|entry| entry.path())
        .filter(|path| path.is_dir())
        .collect()
}

/// Ends an emulator by a signal in the middle of a run.
fn ended_by(signal: &str) -> (tempfile::TempDir, ExitStatus) {
    let folder = tempfile::tempdir().expect("a folder");
    let emulator = emulator(folder.path(), &[]);
    until("its sidecars run", || started(folder.path()).len() == 3);
    let killed = Command::new("sh")
        .args(["-c", &format!("kill {signal} {}", emulator.id())])
        .status()
        .expect("it starts");
    assert!(killed.success());
    let status = ended(emulator);
    (folder, status)
}

#[test]
fn interrupted_or_terminated_it_leaves_neither_processes_nor_folders() {
    for signal in ["-INT", "-TERM"] {
        let (folder, status) = ended_by(signal);
        assert_eq!(status.code(), Some(1), "{signal}");
        assert_eq!(started(folder.path()), [] as [u32; 0], "{signal}");
        assert_eq!(folders(folder.path()), [] as [PathBuf; 0], "{signal}");
    }
}

#[test]
fn killed_itself_its_sidecars_end_all_the_same() {
    let (folder, status) = ended_by("-KILL");
    assert_eq!(status.code(), None);
    until("its sidecars end", || started(folder.path()).is_empty());
}

#[test]
fn a_sidecar_that_hangs_or_crashes_at_its_start_ends_the_run_and_all_others() {
    // One that never answers, and one that ends at once.
    for (program, patience) in [("/usr/bin/yes", "300ms"), ("/bin/false", "20s")] {
        let folder = tempfile::tempdir().expect("a folder");
        let emulator = emulator(
            folder.path(),
            &["--program", program, "--ready-within", patience],
        );
        assert_eq!(ended(emulator).code(), Some(69), "{program}");
        assert_eq!(started(folder.path()), [] as [u32; 0], "{program}");
        assert_eq!(folders(folder.path()), [] as [PathBuf; 0], "{program}");
    }
}

/// A sidecar's process that runs for good.
fn running(folder: &Path) -> Supervised {
    let nowhere = "127.0.0.1:9".parse().expect("an address");
    let told = PlatformConfig::new((0, 1), 0, nowhere, nowhere, serde_json::Value::Null);
    let bringing = LaunchOptions::new(PathBuf::from("/usr/bin/yes"));
    let beside = (Clock::default(), Record::default());
    let supervised = Supervised::new(told, bringing, &Variant::default(), folder, 1, beside);
    let mut supervised = supervised.expect("its files can be written");
    supervised.start().expect("it starts");
    supervised
}

// On this thread nothing else runs in between, so nobody else can have waited for the process.
#[tokio::test]
async fn a_sidecar_that_is_let_go_of_has_ended() {
    let folder = tempfile::tempdir().expect("a folder");
    let goes_on = |_: &usize| {
        let supervised = running(folder.path());
        let process = PathBuf::from(format!("/proc/{}", supervised.id().expect("it runs")));
        assert!(process.exists());
        drop(supervised);
        process.exists()
    };
    let left = (0..LIVES).filter(goes_on).count();
    assert_eq!(left, 0, "of {LIVES} processes");
}
