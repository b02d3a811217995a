//! Command line of the program `coordinator`.
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

/// Name of the program in its output.
const NAME: &str = "coordinator";
/// Earlier target of its log lines, accepted in older configurations.
const EARLIER_TARGET: &str = "steward";

/// A coordinator: one of three or five processes that decide on maintenance windows and carry them
/// out.
#[derive(Parser)]
#[command(name = "coordinator", subcommand_negates_reqs = true)]
struct Call {
    /// Run a coordinator with this configuration file (TOML), see docs/coordinator.md.
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Run a coordinator.
    Run {
        /// Configuration file (TOML), see docs/coordinator.md.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Validate the file, print the effective configuration including defaults, and exit.
        #[arg(long)]
        check: bool,
    },
    #[command(flatten)]
    Query(commands::Command),
}

fn main() -> ExitCode {
    let call: Call = match cli::parse() {
        Ok(call) => call,
        Err(exit) => return exit.into(),
    };
    match (call.command, call.config) {
        (Some(Command::Run { config, check }), _) => coordinator(&config, check),
        (Some(Command::Query(command)), _) => commands::run(command).into(),
        (None, Some(config)) => coordinator(&config, false),
        (None, None) => Exit::Usage.into(),
    }
}

fn coordinator(file: &std::path::Path, check: bool) -> ExitCode {
    let fail = |message: &dyn std::fmt::Display, exit: Exit| {
        let _ = writeln!(std::io::stderr(), "{NAME}: {message}");
        ExitCode::from(exit)
    };
    let mut sections: config::Sections = match files::load(file) {
        Ok(sections) => sections,
        Err(problem) => return fail(&problem, Exit::Config),
    };
    sections.log.rename_targets(EARLIER_TARGET, NAME);
    if check {
        let _ = write!(std::io::stdout(), "{}", files::to_toml(&sections));
        return Exit::Done.into();
    }
    let log = logging::start(&sections.log, NAME);
    let result = run::run(sections);
    if let Err((message, _)) = &result {
        tracing::error!(target: "coordinator", "{message}");
    }
    log.flush();
    result.map_or_else(|(_, exit)| exit.into(), |()| ExitCode::SUCCESS)
}
