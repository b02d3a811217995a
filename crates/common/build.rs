//! Sets the commit that the programs are built from, if it is known.

use std::path::Path;
use std::process::Command;

fn main() {
    println!("cargo::rerun-if-env-changed=LOAD_BALANCER_COMMIT");
    // The log of HEAD changes with each commit and checkout; without a repository the commit is
    // unknown.
    let log = Path::new("../../.git/logs/HEAD");
    if log.exists() {
        println!("cargo::rerun-if-changed={}", log.display());
    }
    let configured = std::env::var("LOAD_BALANCER_COMMIT")
        .ok()
        .filter(|commit| !commit.is_empty());
    if let Some(commit) = configured.or_else(git_commit) {
        println!("cargo::rustc-env=LOAD_BALANCER_COMMIT={commit}");
    }
}

fn git_commit() -> Option<String> {
    let output = Command::new("git")
        .args(["rev-parse", "--short=12", "HEAD"])
        .output()
        .ok()?;
    let commit = String::from_utf8(output.stdout).ok()?.trim().to_owned();
    (output.status.success() && !commit.is_empty()).then_some(commit)
}
