//! The program `fleet-emulator`: its command line.
#![forbid(unsafe_code)]
#![warn(clippy::too_many_lines, clippy::cognitive_complexity)]

mod call;
mod pair;
mod table;
mod up;

use call::{Call, Played, What};
use load_balancer_common::cli::{self, Exit};
use load_balancer_common::config;
use load_balancer_common::units::Time;
use load_balancer_emulator::comparison::{Order, compare};
use load_balancer_emulator::experiment::{Experiment, Variant};
use load_balancer_emulator::pairs::builds::{SIDECAR, folder};
use load_balancer_emulator::report::html;
use load_balancer_emulator::run::{Launch, Progress};
use load_balancer_emulator::supervisor::{LaunchOptions, exec_guarded};
use std::cell::Cell;
use std::fmt::Display;
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use table::table;
use tokio::signal::unix::{SignalKind, signal};
use up::bring_up;

fn main() -> ExitCode {
    let call: Call = match cli::parse() {
        Ok(call) => call,
        Err(exit) => return exit.into(),
    };
    if let What::Keep {
        parent,
        program,
        words,
    } = &call.what
    {
        return say(&exec_guarded(*parent, program, words), Exit::Software).into();
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(e) => return say(&format!("cannot start the runtime: {e}"), Exit::Unavailable).into(),
    };
    let exit = runtime.block_on(async {
        let interrupted = async {
            let (int, term) = (
                signal(SignalKind::interrupt()),
                signal(SignalKind::terminate()),
            );
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

/// Threads of the emulator; the rest of a machine belongs to the sidecars.
const WORKERS: usize = 3;
/// How long tasks may take to end.
const SHUT_DOWN: Duration = Duration::from_secs(5);
/// How often a table or a progress line is written anew.
const REFRESH: Duration = Duration::from_secs(1);

fn say(what: &dyn Display, exit: Exit) -> Exit {
    let _ = writeln!(std::io::stderr(), "fleet-emulator: {what}");
    exit
}

async fn carry_out(what: What) -> Result<Exit, Exit> {
    match what {
        What::Up(up) => bring_up(up).await,
        What::Run(run) => {
            let launch = Some(kept(program(run.program)?, run.played.ready_within));
            let mut experiment = read(&run.played.file)?;
            for mix in experiment
                .variant
                .iter_mut()
                .filter_map(|variant| variant.mix.as_mut())
            {
                let built = folder(&run.builds, &mix.revision).join(SIDECAR);
                mix.program = Some(program(mix.program.take().or(Some(built)))?);
            }
            played(&experiment, &run.played, launch).await
        }
        What::Sim(sim) => {
            let mut experiment = read(&sim.played.file)?;
            let t = &mut experiment.topology;
            (t.sidecars, t.servers) = (
                sim.sidecars.unwrap_or(t.sidecars),
                sim.servers.unwrap_or(t.servers),
            );
            config::Configuration::check(&experiment)
                .map_err(|c| say(&format!("{}: {}", c.key, c.reason), Exit::Usage))?;
            played(&experiment, &sim.played, None).await
        }
        What::Compare(both) => {
            let mut experiment = read(&both.played.file)?;
            let config = experiment
                .variant
                .first()
                .map(|v| v.config.clone())
                .unwrap_or_default();
            let variant = |name: &str, program: &Path| Variant {
                name: name.to_owned(),
                program: Some(program.to_owned()),
                config: config.clone(),
                ..Variant::default()
            };
            experiment.variant = vec![variant("old", &both.old), variant("new", &both.new)];
            experiment
                .bounds
                .measure
                .retain(|b| b.variant.is_none() && b.against.is_none());
            played(
                &experiment,
                &both.played,
                Some(kept(both.new.clone(), both.played.ready_within)),
            )
            .await
        }
        What::Keep { .. } => Ok(Exit::Usage),
        What::Pair { what } => pair::pair(what),
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
    let parent_guard = std::env::current_exe().ok();
    Launch::Program(LaunchOptions {
        program,
        parent_guard,
        start_timeout: within.0,
    })
}

fn read(file: &Path) -> Result<Experiment, Exit> {
    config::load(file).map_err(|problem| say(&problem, Exit::Config))
}

/// The sidecar's program: the one that was named, or the one beside this.
fn program(named: Option<PathBuf>) -> Result<PathBuf, Exit> {
    let beside = || {
        std::env::current_exe()
            .ok()
            .map(|own| own.with_file_name("sidecar"))
    };
    let program = named
        .or_else(beside)
        .ok_or_else(|| say(&"name the sidecars' --program", Exit::Usage))?;
    if !program.is_file() {
        return Err(say(
            &format!(
                "there is no program {}; name one by --program",
                program.display()
            ),
            Exit::Io,
        ));
    }
    Ok(program)
}

async fn played(
    experiment: &Experiment,
    how: &Played,
    launch: Option<Launch>,
) -> Result<Exit, Exit> {
    let logs;
    let folder = match &how.out {
        Some(out) => {
            std::fs::create_dir_all(out)
                .map_err(|e| say(&format!("cannot make {}: {e}", out.display()), Exit::Io))?;
            out.as_path()
        }
        None => {
            logs = tempfile::tempdir()
                .map_err(|e| say(&format!("cannot make a folder: {e}"), Exit::Io))?;
            logs.path()
        }
    };
    let (shown, plays) = (Cell::new(None), how.plays);
    let told = |play: usize, variant: &str, progress: Progress| {
        let due = shown
            .get()
            .is_none_or(|last: Instant| last.elapsed() >= REFRESH);
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
    let order = Order {
        experiment,
        seed: how.seed,
        plays: how.plays.max(1),
        launch,
        folder,
    };
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
    let text = if how.json {
        json + "\n"
    } else {
        table(&comparison)
    };
    let _ = std::io::stdout().write_all(text.as_bytes());
    Ok(if comparison.passed {
        Exit::Done
    } else {
        Exit::Failed
    })
}
