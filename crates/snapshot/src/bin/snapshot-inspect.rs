//! The program `snapshot-inspect`: shows, verifies and exports a snapshot directory. It only reads.
#![forbid(unsafe_code)]
#![warn(clippy::too_many_lines, clippy::cognitive_complexity)]

use clap::{Parser, Subcommand};
use load_balancer_common::cli::{self, Exit};
use load_balancer_snapshot::{Contents, Micros, SCHEMA, read_directory};
use serde_json::{Value, json};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// Looks at the state directory of a sidecar that runs, or at a copy of one, and changes nothing
/// there.
#[derive(Parser)]
#[command(name = "snapshot-inspect", after_help = cli::EXIT_CODES)]
struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// A summary.
    Show {
        /// The directory.
        dir: PathBuf,
    },
    /// Checks all that a start would check; exit code 1 where something would not be believed.
    Verify {
        /// The directory.
        dir: PathBuf,
    },
    /// All that is kept.
    Export {
        /// The directory.
        dir: PathBuf,
    },
}

fn main() -> ExitCode {
    let call: Arguments = match cli::parse() {
        Ok(call) => call,
        Err(exit) => return exit.into(),
    };
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let now = Micros::try_from(unix.as_micros()).unwrap_or(Micros::MAX);
    let (What::Show { dir } | What::Verify { dir } | What::Export { dir }) = &call.what;
    let found = read_directory(dir, now);
    let page = match call.what {
        What::Show { .. } => summary(dir, &found, now),
        What::Verify { .. } => json!({"owner": found.owner, "problems": found.problems}),
        What::Export { .. } => export(&found),
    };
    // A closed standard output is not a fault of the directory.
    let _ = writeln!(std::io::stdout(), "{page:#}");
    if found.problems.is_empty() {
        Exit::Done.into()
    } else {
        Exit::Failed.into()
    }
}

fn summary(dir: &Path, found: &Contents, now: Micros) -> Value {
    let age_s = |seen: Micros| now.saturating_sub(seen) as f64 / 1e6;
    let known = &found.known;
    let list = known
        .list
        .as_ref()
        .map(|list| json!({"index": list.index, "age_s": age_s(list.seen), "endpoints": list.entries.len()}));
    let processes = known.processes.as_ref().map(|processes| {
        let open: Vec<&str> =
            processes.all.iter().filter(|p| p.open).map(|p| p.name.as_str()).collect();
        json!({"age_s": age_s(processes.seen), "listed": processes.listed, "known": processes.all.len(), "open": open})
    });
    json!({
        "directory": dir, "form": SCHEMA, "owner": found.owner, "incarnation": found.incarnation,
        "list": list, "processes": processes, "life": known.incarnation_record, "set_aside": quarantined(dir),
        "configuration_bytes": known.configuration.as_ref().map(String::len), "problems": found.problems,
    })
}

fn export(found: &Contents) -> Value {
    let known = &found.known;
    json!({
        "form": SCHEMA, "owner": found.owner, "incarnation": found.incarnation, "list": known.list,
        "processes": known.processes, "configuration": known.configuration, "life": known.incarnation_record,
        "problems": found.problems,
    })
}

/// The quarantined files in the directory.
fn quarantined(dir: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(dir).into_iter().flatten().flatten();
    let names = entries.filter_map(|entry| entry.file_name().into_string().ok());
    let mut names: Vec<String> = names.filter(|name| name.contains(".aside-")).collect();
    names.sort();
    names
}
