//! The program `coordinator`: its command line.
#![forbid(unsafe_code)]
#![warn(clippy::too_many_lines, clippy::cognitive_complexity)]

mod actions;
mod affinity_drain;
mod calls;
mod clock;
mod commands;
mod config;
mod fetch;
mod joining;
mod log_thread;
mod metrics;
mod pages;
mod peers;
mod poller;
mod run;
mod serve;
mod server_list;

use clap::{Parser, Subcommand};
use load_balancer_common::cli::{self, Exit};
use load_balancer_common::config as files;
use load_balancer_common::logging;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

/// The program's name, in its lines.
const NAME: &str = "coordinator";
/// The target of its log lines before it was called coordinator, as older configurations have it.
const EARLIER_TARGET: &str = "steward";

/// A coordinator: one of three or five processes that agree on maintenance windows and carry them
/// out.
#[derive(Parser)]
#[command(name = "coordinator", subcommand_negates_reqs = true)]
struct Call {
    /// Runs a coordinator with this configuration: a TOML file, see docs/coordinator.md.
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a coordinator.
    Run {
        /// Its configuration: a TOML file, see docs/coordinator.md.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Read it, print what would hold, defaults included, and exit.
        #[arg(long)]
        check: bool,
    },
    #[command(flatten)]
    People(commands::Command),
}

fn main() -> ExitCode {
    let call: Call = match cli::parse() {
        Ok(call) => call,
        Err(exit) => return exit.into(),
    };
    match (call.command, call.config) {
        (Some(Command::Run { config, check }), _) => coordinator(&config, check),
        (Some(Command::People(command)), _) => commands::run(command).into(),
        (None, Some(config)) => coordinator(&config, false),
        (None, None) => Exit::Usage.into(),
    }
}

fn coordinator(file: &std::path::Path, check: bool) -> ExitCode {
    let plain = |what: &dyn std::fmt::Display, exit: Exit| {
        let _ = writeln!(std::io::stderr(), "{NAME}: {what}");
        ExitCode::from(exit)
    };
    let mut sections: config::Sections = match files::load(file) {
        Ok(sections) => sections,
        Err(problem) => return plain(&problem, Exit::Config),
    };
    sections.log.rename_targets(EARLIER_TARGET, NAME);
    if check {
        let _ = write!(std::io::stdout(), "{}", files::written(&sections));
        return Exit::Done.into();
    }
    let log = logging::start(&sections.log, NAME);
    let ended = run::run(sections);
    if let Err((what, _)) = &ended {
        tracing::error!(target: "coordinator", "{what}");
    }
    log.flush();
    ended.map_or_else(|(_, exit)| exit.into(), |()| ExitCode::SUCCESS)
}
