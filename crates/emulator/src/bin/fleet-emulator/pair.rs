//! The command `pair`: builds pinned revisions and compares today's decisions and messages with
//! theirs.

use crate::say;
use clap::Subcommand;
use load_balancer_common::cli::Exit;
use load_balancer_common::units::Time;
use load_balancer_emulator::pairs::builds::{
    BuildError, COORDINATOR, MEMBER, SIMULATOR_ADAPTER, build,
};
use load_balancer_emulator::pairs::feed::{answers, parting};
use load_balancer_emulator::pairs::histories::{Kind, history};
use load_balancer_emulator::pairs::pins::{Pins, Revision};
use load_balancer_emulator::pairs::{coordinators, lan};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Write as _;
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub enum Pair {
    /// Build pinned revisions out of this repository's history: each one's programs then lie in
    /// BUILDS/NAME.
    Build {
        /// Which; all that are pinned where none is named.
        names: Vec<String>,
        /// Where builds go.
        #[arg(long, default_value = "target/pairs")]
        builds: PathBuf,
        /// The pinned revisions.
        #[arg(long, default_value_os_t = Pins::place())]
        pins: PathBuf,
        /// How long one may take.
        #[arg(long, default_value = "20m")]
        within: Time,
    },
    /// Put the same histories to a pinned revision's module and to today's: exits with 1 where they
    /// differ and no difference is declared.
    Hold {
        /// The revision.
        name: String,
        /// Where builds are.
        #[arg(long, default_value = "target/pairs")]
        builds: PathBuf,
        /// The pinned revisions.
        #[arg(long, default_value_os_t = Pins::place())]
        pins: PathBuf,
        /// How many histories.
        #[arg(long, default_value_t = 1000)]
        histories: u64,
        /// The first one's number.
        #[arg(long, default_value_t = 0)]
        first: u64,
    },
    /// Put members, and coordinators where it has them, of a pinned revision and of today into one
    /// fleet, in simulated time: exits with 1 where one does not read what the other says or keeps.
    Mix {
        /// The revision.
        name: String,
        /// Where builds are.
        #[arg(long, default_value = "target/pairs")]
        builds: PathBuf,
        /// The first run's seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Write what an earlier member and coordinator were told by others of their revision to
        /// this folder.
        #[arg(long, value_name = "DIR")]
        record: Option<PathBuf>,
    },
    /// Write down what today's module decides in each history, one hash a line.
    Record {
        /// The file.
        file: PathBuf,
        /// How many histories.
        #[arg(long, default_value_t = 1000)]
        histories: u64,
    },
}

/// Ticks with orders, and messages at the end, of what is recorded of an earlier coordinator: some
/// tens of kilobytes.
const RECORDED: u64 = 60;
/// See [`RECORDED`].
const MESSAGES: usize = 100;

pub fn pair(what: Pair) -> Result<Exit, Exit> {
    match what {
        Pair::Build {
            names,
            builds,
            pins,
            within,
        } => {
            let pins = read(&pins)?;
            let all = || pins.revision.iter().map(|r| r.name.clone()).collect();
            for name in if names.is_empty() { all() } else { names } {
                let revision = named(&pins, &name)?;
                let folder = build(Path::new("."), revision, &builds, within.0)
                    .map_err(|e| say(&e, exit_of(&e)))?;
                tell(&format!(
                    "{name} ({:.7}): {}",
                    revision.commit,
                    folder.display()
                ));
            }
            Ok(Exit::Done)
        }
        Pair::Hold {
            name,
            builds,
            pins,
            histories,
            first,
        } => {
            let pins = read(&pins)?;
            hold(
                named(&pins, &name)?,
                &builds,
                first..first.saturating_add(histories),
            )
        }
        Pair::Mix {
            name,
            builds,
            seed,
            record,
        } => mix(&builds.join(name), seed, record.as_deref()),
        Pair::Record { file, histories } => {
            let mut text = String::new();
            for number in 0..histories {
                let history = history(number).map_err(|e| say(&e, Exit::Software))?;
                let _ = writeln!(text, "{:016x}", history.digest());
            }
            std::fs::write(&file, text)
                .map_err(|e| say(&format!("cannot write {}: {e}", file.display()), Exit::Io))?;
            Ok(Exit::Done)
        }
    }
}

fn hold(revision: &Revision, builds: &Path, numbers: std::ops::Range<u64>) -> Result<Exit, Exit> {
    let program = builds.join(&revision.name).join(SIMULATOR_ADAPTER);
    if !program.is_file() {
        return Err(say(
            &format!("{} is not built: see pair build", program.display()),
            Exit::Io,
        ));
    }
    let (mut lines, mut played, mut unmeant) = (0, BTreeMap::<Kind, [u64; 2]>::new(), 0);
    for number in numbers {
        let kind = Kind::of(number);
        let history = history(number).map_err(|e| say(&e, Exit::Software))?;
        let theirs = answers(&program, &history.told)
            .map_err(|e| say(&format!("{}: {e}", program.display()), Exit::Software))?;
        lines += history.answered.lines().count();
        let count = played.entry(kind).or_default();
        count[0] += 1;
        if let Some(parting) = parting(&history, &theirs) {
            count[1] += 1;
            let meant = revision.may_differ(kind);
            unmeant += u64::from(!meant);
            // The first of each kind, and each that nobody means.
            if !meant || count[1] == 1 {
                tell(&format!(
                    "history {number} ({kind:?}), meant: {meant}, {parting}"
                ));
            }
        }
    }
    for (kind, [all, differ]) in played {
        tell(&format!("{kind:?}: {differ} of {all} histories differ"));
    }
    tell(&format!(
        "{lines} lines of answers, {unmeant} histories differ without being meant to"
    ));
    Ok(if unmeant == 0 {
        Exit::Done
    } else {
        Exit::Failed
    })
}

fn mix(build: &Path, seed: u64, record: Option<&Path>) -> Result<Exit, Exit> {
    let failed = |e: std::io::Error| say(&format!("{}: {e}", build.display()), Exit::Software);
    let mut wrong = Vec::new();
    let member = build.join(MEMBER);
    // By turns, so that each zone has both: a third, half, two thirds, all.
    for old in [3, 5, 6, lan::MEMBERS] {
        let mut programs = [None; lan::MEMBERS];
        programs
            .iter_mut()
            .take(old)
            .for_each(|place| *place = Some(member.as_path()));
        let came = lan::play(&programs, seed).map_err(failed)?;
        let found = lan::judge(&came, |place| place < old);
        tell(&format!(
            "members, {old} of {} old: {}",
            lan::MEMBERS,
            lan::sum(&came)
        ));
        wrong.extend(
            found
                .into_iter()
                .map(|what| format!("{old} old members: {what}")),
        );
        if let Some(folder) = record.filter(|_| old == lan::MEMBERS) {
            write(&folder.join("member.txt"), &came[0].told)?;
        }
    }
    let coordinator = build.join(COORDINATOR);
    if coordinator.is_file() {
        let (old, new) = (Some(coordinator.as_path()), None);
        let folder = tempfile::tempdir().map_err(failed)?;
        // All old; forward one by one, back in the middle, forward to the end.
        let stages = [
            [old, old, old],
            [new, old, old],
            [new, new, old],
            [old, new, old],
            [new, new, old],
            [new, new, new],
        ];
        let came =
            coordinators::play(folder.path(), &stages, coordinators::STAGE).map_err(failed)?;
        tell(&format!("coordinators: {}", coordinators::sum(&came)));
        wrong.extend(coordinators::judge(&came));
        if let Some(record) = record {
            let folder = tempfile::tempdir().map_err(failed)?;
            let came =
                coordinators::play(folder.path(), &[[old, old, old]], RECORDED).map_err(failed)?;
            let steps: Vec<&String> = came.told[2]
                .iter()
                .filter(|line| line.starts_with("step "))
                .collect();
            let last = steps[steps.len().saturating_sub(MESSAGES)..]
                .iter()
                .map(|line| (*line).clone());
            let lines: Vec<String> = std::iter::once(came.books[2].clone()).chain(last).collect();
            write(&record.join("steward.txt"), &lines)?;
            let file = std::fs::read(folder.path().join("coordinator-2.redb")).map_err(failed)?;
            write(
                &record.join("steward-store.txt"),
                &coordinators::sparse(&file),
            )?;
        }
    }
    wrong.iter().for_each(|what| tell(what));
    Ok(if wrong.is_empty() {
        Exit::Done
    } else {
        Exit::Failed
    })
}

fn write(file: &Path, lines: &[String]) -> Result<(), Exit> {
    std::fs::write(file, lines.join("\n") + "\n")
        .map_err(|e| say(&format!("cannot write {}: {e}", file.display()), Exit::Io))
}

fn read(file: &Path) -> Result<Pins, Exit> {
    Pins::load(file).map_err(|problem| say(&problem, Exit::Config))
}

fn named<'a>(pins: &'a Pins, name: &str) -> Result<&'a Revision, Exit> {
    pins.revision(name)
        .ok_or_else(|| say(&format!("no revision is pinned as {name}"), Exit::Usage))
}

fn exit_of(error: &BuildError) -> Exit {
    match error {
        BuildError::Unknown(_) | BuildError::Late(_) => Exit::Unavailable,
        BuildError::Io(..) => Exit::Io,
        BuildError::Failed(..) => Exit::Failed,
    }
}

fn tell(what: &str) {
    let _ = writeln!(std::io::stdout(), "{what}");
}
