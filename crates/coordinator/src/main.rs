//! The program `coordinator`: its command line.
#![forbid(unsafe_code)]

mod acts;
mod bindings;
mod calls;
mod clock;
mod commands;
mod config;
mod fetch;
mod figures;
mod joining;
mod keeper;
mod looks;
mod pages;
mod peers;
mod run;
mod serve;

use clap::{Parser, Subcommand};
use load_balancer_common::cli::{self, Exit};
use load_balancer_common::config as files;
use load_balancer_common::logging;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

/// The program's name, in its lines.
const NAME: &str = "coordinator";

/// A steward: one of three or five processes that agree on maintenance windows and carry them out.
#[derive(Parser)]
#[command(name = "coordinator", subcommand_negates_reqs = true)]
struct Call {
    /// Runs a steward with this configuration: a TOML file, see docs/coordinator.md.
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a steward.
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
        (Some(Command::Run { config, check }), _) => steward(&config, check),
        (Some(Command::People(command)), _) => commands::run(command).into(),
        (None, Some(config)) => steward(&config, false),
        (None, None) => Exit::Usage.into(),
    }
}

fn steward(file: &std::path::Path, check: bool) -> ExitCode {
    let plain = |what: &dyn std::fmt::Display, exit: Exit| {
        let _ = writeln!(std::io::stderr(), "{NAME}: {what}");
        ExitCode::from(exit)
    };
    let sections: config::Sections = match files::load(file) {
        Ok(sections) => sections,
        Err(problem) => return plain(&problem, Exit::Config),
    };
    if check {
        let _ = write!(std::io::stdout(), "{}", files::written(&sections));
        return Exit::Done.into();
    }
    let log = logging::start(&sections.log, NAME);
    let ended = run::run(sections);
    if let Err((what, _)) = &ended {
        tracing::error!(target: "steward", "{what}");
    }
    log.flush();
    ended.map_or_else(|(_, exit)| exit.into(), |()| ExitCode::SUCCESS)
}
