//! The lab's command line. Changes with what people ask of it.
#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use linenproxy_common::cli::{self, Exit};
use linenproxy_common::config;
use linenproxy_common::units::Time;
use linenproxy_lab::comparison::{Comparison, Order, compare};
use linenproxy_lab::draw::draw;
use linenproxy_lab::experiment::{Experiment, Variant};
use linenproxy_lab::live::Live;
use linenproxy_lab::outcome::Measure;
use linenproxy_lab::play::{Launch, Progress, play};
use linenproxy_lab::record::Record;
use linenproxy_lab::report::{figure, html};
use linenproxy_lab::supervisor::{Bringing, KEEP, READY_WITHIN, keep};
use std::cell::Cell;
use std::fmt::Display;
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

/// A lab for fleets of sidecars on this machine's loopback addresses: real processes, stand-ins for everything around
/// them, faults, auditors, reports.
#[derive(Parser)]
#[command(name = "linenproxy-lab")]
struct Call {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Bring up a small fleet with servers, discovery and load, and show what happens until Ctrl-C.
    Up(Up),
    /// Play an experiment with real processes; exits with 1 where a rule is broken or a bound is missed.
    Run(Run),
    /// Play an experiment in simulated time, with the decision module itself.
    Sim(Sim),
    /// Play an experiment with two builds side by side: the programs take the variants' place.
    Compare(Compare),
    /// Become a program that ends with the lab, however that ends; the lab starts its sidecars by it.
    #[command(name = KEEP, hide = true)]
    Keep {
        /// The lab's process.
        parent: u32,
        /// The program.
        program: PathBuf,
    },
    /// Read experiment files and say what is wrong with them.
    Check {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

#[derive(Args)]
struct Up {
    /// Sidecars.
    #[arg(long, default_value_t = 6)]
    sidecars: usize,
    /// Servers.
    #[arg(long, default_value_t = 12)]
    servers: usize,
    /// Requests a second of the mean sidecar.
    #[arg(long, default_value_t = 10.0)]
    rate: f64,
    /// How long it goes on.
    #[arg(long, default_value = "10m")]
    lasts: Time,
    /// The sidecars' product configuration.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The sidecars' program; tinflow beside this one where that is left out.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
}

#[derive(Args)]
struct Played {
    /// The experiment: a TOML file, see docs/lab.md.
    file: PathBuf,
    /// The first play's seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Plays, each with a seed of its own.
    #[arg(long, default_value_t = 1)]
    plays: usize,
    /// Where result.json, report.html and the logs go.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Print result.json instead of a table.
    #[arg(long)]
    json: bool,
    /// How soon a sidecar must be ready after its start.
    #[arg(long, default_value = "30s")]
    ready_within: Time,
}

#[derive(Args)]
struct Run {
    #[command(flatten)]
    played: Played,
    /// The sidecars' program; tinflow beside this one where that is left out.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
}

#[derive(Args)]
struct Sim {
    #[command(flatten)]
    played: Played,
    /// Sidecars, in place of the file's.
    #[arg(long)]
    sidecars: Option<usize>,
    /// Servers, in place of the file's.
    #[arg(long)]
    servers: Option<usize>,
}

#[derive(Args)]
struct Compare {
    /// The earlier program.
    old: PathBuf,
    /// The later one.
    new: PathBuf,
    #[command(flatten)]
    played: Played,
}

fn main() -> ExitCode {
    let call: Call = match cli::parse() {
        Ok(call) => call,
        Err(exit) => return exit.into(),
    };
    if let What::Keep { parent, program } = &call.what {
        return say(&keep(*parent, program), Exit::Software).into();
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(WORKERS).enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(e) => return say(&format!("cannot start the runtime: {e}"), Exit::Unavailable).into(),
    };
    let exit = runtime.block_on(async {
        let interrupted = async {
            let (int, term) = (signal(SignalKind::interrupt()), signal(SignalKind::terminate()));
            match (int, term) {
                (Ok(mut int), Ok(mut term)) => {
                    tokio::select! { _ = int.recv() => {}, _ = term.recv() => {} }
                }
                _ => std::future::pending().await,
            }
        };
        tokio::select! {
            done = carry_out(call.what) => done.unwrap_or_else(|exit| exit),
            // Whatever was started ends with what it belongs to, which is dropped here.
            () = interrupted => say(&"interrupted", Exit::Failed),
        }
    });
    // Tasks that still hold processes are dropped with the runtime, and the processes with them.
    runtime.shutdown_timeout(SHUT_DOWN);
    exit.into()
}

/// Threads of the lab; the rest of a machine belongs to the sidecars.
const WORKERS: usize = 3;
/// How long tasks may take to end.
const SHUT_DOWN: Duration = Duration::from_secs(5);
/// How often a table or a progress line is written anew.
const REFRESH: Duration = Duration::from_secs(1);

fn say(what: &dyn Display, exit: Exit) -> Exit {
    let _ = writeln!(std::io::stderr(), "linenproxy-lab: {what}");
    exit
}

async fn carry_out(what: What) -> Result<Exit, Exit> {
    match what {
        What::Up(up) => bring_up(up).await,
        What::Run(run) => {
            let launch = Some(kept(program(run.program)?, run.played.ready_within));
            let experiment = read(&run.played.file)?;
            played(&experiment, &run.played, launch).await
        }
        What::Sim(sim) => {
            let mut experiment = read(&sim.played.file)?;
            let t = &mut experiment.topology;
            (t.sidecars, t.servers) = (sim.sidecars.unwrap_or(t.sidecars), sim.servers.unwrap_or(t.servers));
            config::Configuration::check(&experiment)
                .map_err(|c| say(&format!("{}: {}", c.key, c.what), Exit::Usage))?;
            played(&experiment, &sim.played, None).await
        }
        What::Compare(both) => {
            let mut experiment = read(&both.played.file)?;
            let config = experiment.variant.first().map(|v| v.config.clone()).unwrap_or_default();
            let variant = |name: &str, program: &Path| Variant {
                name: name.to_owned(),
                program: Some(program.to_owned()),
                config: config.clone(),
            };
            experiment.variant = vec![variant("old", &both.old), variant("new", &both.new)];
            experiment.bounds.measure.retain(|b| b.variant.is_none() && b.against.is_none());
            played(&experiment, &both.played, Some(kept(both.new.clone(), both.played.ready_within))).await
        }
        What::Keep { .. } => Ok(Exit::Usage),
        What::Check { files } => {
            for file in &files {
                read(file)?;
                let _ = writeln!(std::io::stdout(), "{}: fine", file.display());
            }
            Ok(Exit::Done)
        }
    }
}

/// Brings up a program so that it ends with this process.
fn kept(program: PathBuf, within: Time) -> Launch {
    let keeper = std::env::current_exe().ok();
    Launch::Program(Bringing { program, keeper, within: within.0 })
}

fn read(file: &Path) -> Result<Experiment, Exit> {
    config::load(file).map_err(|problem| say(&problem, Exit::Config))
}

/// The sidecar's program: the one that was named, or the one beside this.
fn program(named: Option<PathBuf>) -> Result<PathBuf, Exit> {
    let beside = || std::env::current_exe().ok().map(|own| own.with_file_name("tinflow"));
    let program = named.or_else(beside).ok_or_else(|| say(&"name the sidecars' --program", Exit::Usage))?;
    if !program.is_file() {
        return Err(say(
            &format!("there is no program {}; name one by --program", program.display()),
            Exit::Io,
        ));
    }
    Ok(program)
}

async fn played(experiment: &Experiment, how: &Played, launch: Option<Launch>) -> Result<Exit, Exit> {
    let logs;
    let folder = match &how.out {
        Some(out) => {
            std::fs::create_dir_all(out)
                .map_err(|e| say(&format!("cannot make {}: {e}", out.display()), Exit::Io))?;
            out.as_path()
        }
        None => {
            logs = tempfile::tempdir().map_err(|e| say(&format!("cannot make a folder: {e}"), Exit::Io))?;
            logs.path()
        }
    };
    let (shown, plays) = (Cell::new(None), how.plays);
    let told = |play: usize, variant: &str, progress: Progress| {
        let due = shown.get().is_none_or(|last: Instant| last.elapsed() >= REFRESH);
        if due && std::io::stderr().is_terminal() {
            shown.set(Some(Instant::now()));
            let Progress { sent, all } = progress;
            let _ = write!(
                std::io::stderr(),
                "\r\x1b[Kplay {} of {plays}, {variant}: {sent} of {all} requests",
                play + 1
            );
        }
    };
    let order = Order { experiment, seed: how.seed, plays: how.plays.max(1), launch, folder };
    let comparison = compare(order, told).await;
    if std::io::stderr().is_terminal() {
        let _ = write!(std::io::stderr(), "\r\x1b[K");
    }
    let comparison = comparison.map_err(|e| say(&e, Exit::Unavailable))?;
    let json = serde_json::to_string_pretty(&comparison).map_err(|e| say(&e, Exit::Software))?;
    if let Some(out) = &how.out {
        for (name, text) in [("result.json", &json), ("report.html", &html(&comparison))] {
            let file = out.join(name);
            std::fs::write(&file, text)
                .map_err(|e| say(&format!("cannot write {}: {e}", file.display()), Exit::Io))?;
        }
    }
    let text = if how.json { json + "\n" } else { table(&comparison) };
    let _ = std::io::stdout().write_all(text.as_bytes());
    Ok(if comparison.passed { Exit::Done } else { Exit::Failed })
}

fn table(comparison: &Comparison) -> String {
    let mut text = format!("{:<22}", comparison.experiment.name);
    for variant in &comparison.variants {
        text += &format!("{:>14}", variant.name);
    }
    for measure in Measure::ALL {
        text += &format!("\n{:<22}", measure.name());
        for variant in &comparison.variants {
            text += &format!("{:>14}", figure(variant.measures[&measure].mean));
        }
        for d in comparison.differences.iter().filter(|d| d.measure == measure) {
            if let Some((low, high)) = d.difference.low.zip(d.difference.high) {
                text += &format!("   {} ({} to {})", figure(d.difference.mean), figure(low), figure(high));
            }
        }
    }
    for judged in &comparison.bounds {
        let b = &judged.bound;
        let against = b.against.as_ref().map(|a| format!(" over {a}")).unwrap_or_default();
        let limit =
            |word: &str, x: Option<f64>| x.map(|x| format!(", {word} {}", figure(x))).unwrap_or_default();
        text += &format!(
            "\nbound: {} of {}{against} is {}{}{}: {}",
            b.measure.name(),
            judged.variant,
            figure(judged.value),
            limit("at least", b.least),
            limit("at most", b.most),
            if judged.holds { "holds" } else { "MISSED" }
        );
    }
    for variant in &comparison.variants {
        for (play, finding) in variant.findings.iter().take(20) {
            let (name, at) = (&variant.name, finding.at as f64 / 1e6);
            text += &format!("\nbroken: {name}, play {play}, {at:.3} s, {}: {}", finding.rule, finding.what);
        }
    }
    text + &format!(
        "\n{} plays from seed {}, {} void: {}\n",
        comparison.plays,
        comparison.seed,
        comparison.voided,
        if comparison.passed { "passed" } else { "FAILED" }
    )
}

async fn bring_up(up: Up) -> Result<Exit, Exit> {
    let mut experiment = Experiment { name: "up".to_owned(), ..Experiment::default() };
    (experiment.topology.sidecars, experiment.topology.servers) = (up.sidecars, up.servers);
    (experiment.load.rate, experiment.load.lasts) = (up.rate, up.lasts);
    let config = match &up.config {
        Some(file) => std::fs::read_to_string(file)
            .map_err(|e| say(&format!("cannot read {}: {e}", file.display()), Exit::Io))?,
        None => String::new(),
    };
    experiment.variant = vec![Variant { name: "up".to_owned(), program: None, config }];
    config::Configuration::check(&experiment)
        .map_err(|c| say(&format!("{}: {}", c.key, c.what), Exit::Usage))?;
    let launch = kept(program(up.program)?, Time(READY_WITHIN));
    let folder = tempfile::tempdir().map_err(|e| say(&format!("cannot make a folder: {e}"), Exit::Io))?;
    let plan = Arc::new(draw(&experiment, fastrand::u64(..)));
    let (sender, _progress) = watch::channel(Progress::default());
    let record = Record::default();
    let played = play(&experiment, &plan, &experiment.variant[0], &launch, folder.path(), &sender, &record);
    let mut live = Live::new(&plan, record.clone());
    let show = async {
        loop {
            let since = Instant::now();
            sleep(REFRESH).await;
            let home = if std::io::stdout().is_terminal() { "\x1b[H\x1b[J" } else { "" };
            let head = format!(
                "{} sidecars, {} servers, logs in {}; Ctrl-C ends all\n\n",
                up.sidecars,
                up.servers,
                folder.path().display()
            );
            let table = live.table(since.elapsed().as_secs_f64());
            if writeln!(std::io::stdout(), "{home}{head}{table}").is_err() {
                return;
            }
        }
    };
    tokio::select! {
        tally = played => {
            let tally = tally.map_err(|e| say(&e, Exit::Unavailable))?;
            let served = tally.measures[&Measure::Served];
            let _ = writeln!(std::io::stdout(), "served {} of the worth; {} rules broken", figure(served), tally.findings.len());
            Ok(if tally.findings.is_empty() { Exit::Done } else { Exit::Failed })
        }
        () = show => Ok(Exit::Done),
    }
}
