//! The arguments of the emulator's command line.

use crate::pair::Pair;
use clap::{Args, Parser, Subcommand};
use load_balancer_common::units::Time;
use load_balancer_emulator::supervisor::GUARD_ARGUMENT;
use std::path::PathBuf;

/// An emulator for fleets of sidecars on this machine's loopback addresses: real processes,
/// stand-ins for everything around them, faults, auditors, reports.
#[derive(Parser)]
#[command(name = "fleet-emulator")]
pub struct Call {
    /// What is to be done.
    #[command(subcommand)]
    pub what: What,
}

#[derive(Subcommand)]
pub enum What {
    /// Bring up a small fleet with servers, discovery and load, and show what happens until Ctrl-C.
    Up(Up),
    /// Run an experiment with real processes; exits with 1 where a rule is broken or a bound is
    /// missed.
    Run(Run),
    /// Run an experiment in simulated time, with the decision module itself.
    Sim(Sim),
    /// Run an experiment with two builds side by side: the programs take the variants' place.
    Compare(Compare),
    /// Hold an earlier revision of this repository against today's; see docs/versions.md.
    Pair {
        /// What is to be done.
        #[command(subcommand)]
        what: Pair,
    },
    /// Become a program that ends with the emulator, however that ends; the emulator starts its
    /// sidecars by it.
    #[command(name = GUARD_ARGUMENT, hide = true)]
    Keep {
        /// The emulator's process.
        parent: u32,
        /// The program.
        program: PathBuf,
        /// Its words.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        words: Vec<String>,
    },
    /// Read experiment files and say what is wrong with them.
    Check {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

#[derive(Args)]
pub struct Up {
    /// Sidecars.
    #[arg(long, default_value_t = 6)]
    pub sidecars: usize,
    /// Servers.
    #[arg(long, default_value_t = 12)]
    pub servers: usize,
    /// Requests a second of the mean sidecar.
    #[arg(long, default_value_t = 10.0)]
    pub rate: f64,
    /// How long it goes on.
    #[arg(long, default_value = "10m")]
    pub lasts: Time,
    /// The sidecars' product configuration.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The sidecars' program; sidecar beside this one where that is left out.
    #[arg(long, value_name = "FILE")]
    pub program: Option<PathBuf>,
}

#[derive(Args)]
pub struct Played {
    /// The experiment: a TOML file, see docs/emulator.md.
    pub file: PathBuf,
    /// The first run's seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Runs, each with a seed of its own.
    #[arg(long, default_value_t = 1)]
    pub plays: usize,
    /// Where result.json, report.html and the logs go.
    #[arg(long, value_name = "DIR")]
    pub out: Option<PathBuf>,
    /// Print result.json instead of a table.
    #[arg(long)]
    pub json: bool,
    /// How soon a sidecar must be ready after its start.
    #[arg(long, default_value = "30s")]
    pub ready_within: Time,
}

#[derive(Args)]
pub struct Run {
    /// Where pinned revisions are built, for experiments that mix versions.
    #[arg(long, value_name = "DIR", default_value = "target/pairs")]
    pub builds: PathBuf,
    /// How it is run.
    #[command(flatten)]
    pub played: Played,
    /// The sidecars' program; sidecar beside this one where that is left out.
    #[arg(long, value_name = "FILE")]
    pub program: Option<PathBuf>,
}

#[derive(Args)]
pub struct Sim {
    /// How it is run.
    #[command(flatten)]
    pub played: Played,
    /// Sidecars, in place of the file's.
    #[arg(long)]
    pub sidecars: Option<usize>,
    /// Servers, in place of the file's.
    #[arg(long)]
    pub servers: Option<usize>,
}

#[derive(Args)]
pub struct Compare {
    /// The earlier program.
    pub old: PathBuf,
    /// The later one.
    pub new: PathBuf,
    /// How it is run.
    #[command(flatten)]
    pub played: Played,
}
