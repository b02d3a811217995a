//! The program that inspects a snapshot directory modifies nothing, and rejects what a start would
//! reject.

mod common;
use common::*;
use load_balancer_snapshot::*;
use std::path::Path;
use std::process::{Command, Output};

fn run(what: &str, dir: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_snapshot-inspect"))
        .arg(what)
        .arg(dir)
        .output()
        .expect("it starts")
}

fn bytes(dir: &Path) -> Vec<Vec<u8>> {
    ["known", "numbers"]
        .map(|file| std::fs::read(dir.join(file)).expect("it is there"))
        .to_vec()
}

#[test]
fn a_live_and_a_copied_directory_are_read_and_not_changed() {
    let directory = tempfile::tempdir().expect("a directory");
    let (live, copy) = (directory.path().join("live"), directory.path().join("copy"));
    let taken = Directory::lock(&live).expect("taken");
    // A real clock is later than this time, so nothing is from the future.
    let (snapshot_store, _) =
        SnapshotStore::begin(&taken, OWNER, NOW - 1_000_000_000 * SECOND).expect("begins");
    snapshot_store
        .commit(&changes(10, NOW - 1_000_000_000 * SECOND))
        .expect("kept");
    std::fs::create_dir(&copy).expect("made");
    for file in ["known", "numbers"] {
        std::fs::copy(live.join(file), copy.join(file)).expect("copied");
    }
    for dir in [&live, &copy] {
        let before = bytes(dir);
        let text = |what| String::from_utf8(run(what, dir).stdout).expect("text");
        let (show, export) = (text("show"), text("export"));
        assert!(
            show.contains("\"endpoints\": 10") && show.contains("\"s-5\""),
            "{show}"
        );
        assert!(
            export.contains("\"10.0.0.7:80\"") && export.contains("\"openings\": 1"),
            "{export}"
        );
        assert_eq!(run("verify", dir).status.code(), Some(0));
        assert_eq!(bytes(dir), before);
    }
    // The sidecar still uses the directory.
    snapshot_store.commit(&changes(11, NOW)).expect("kept");
}

#[test]
fn files_that_a_start_would_quarantine_are_reported() {
    let directory = tempfile::tempdir().expect("a directory");
    let taken = Directory::lock(directory.path()).expect("taken");
    drop(SnapshotStore::begin(&taken, OWNER, NOW).expect("begins"));
    let known = directory.path().join("known");
    let mut bytes = std::fs::read(&known).expect("it is there");
    let at = bytes
        .windows(OWNER.len())
        .position(|w| w == OWNER.as_bytes())
        .expect("the owner is in it");
    bytes[at] ^= 1;
    std::fs::write(&known, &bytes).expect("written");
    let output = run("verify", directory.path());
    let said = String::from_utf8(output.stdout).expect("text");
    assert_eq!(output.status.code(), Some(1), "{said}");
    assert!(
        said.contains("checksum") || said.contains("does not hold together"),
        "{said}"
    );
    assert_eq!(std::fs::read(&known).expect("it is there"), bytes);
    assert_eq!(
        run("verify", &directory.path().join("nowhere"))
            .status
            .code(),
        Some(1)
    );
}
