//! The command `pair`: builds pinned revisions and holds today's decisions against theirs. Changes with what is asked of
//! two versions.

use crate::say;
use clap::Subcommand;
use linenproxy_common::cli::Exit;
use linenproxy_common::units::Time;
use linenproxy_lab::pairs::builds::{BuildError, build};
use linenproxy_lab::pairs::feed::{answers, parting};
use linenproxy_lab::pairs::histories::{Kind, history};
use linenproxy_lab::pairs::pins::{Pins, Revision};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Write as _;
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub enum Pair {
    /// Build pinned revisions out of this repository's history: each one's programs then lie in BUILDS/NAME.
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
    /// Put the same histories to a pinned revision's module and to today's: exits with 1 where they differ and no
    /// difference is declared.
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
    /// Write down what today's module decides in each history, one hash a line.
    Record {
        /// The file.
        file: PathBuf,
        /// How many histories.
        #[arg(long, default_value_t = 1000)]
        histories: u64,
    },
}

pub fn pair(what: Pair) -> Result<Exit, Exit> {
    match what {
        Pair::Build { names, builds, pins, within } => {
            let pins = read(&pins)?;
            let all = || pins.revision.iter().map(|r| r.name.clone()).collect();
            for name in if names.is_empty() { all() } else { names } {
                let revision = named(&pins, &name)?;
                let folder =
                    build(Path::new("."), revision, &builds, within.0).map_err(|e| say(&e, exit_of(&e)))?;
                tell(&format!("{name} ({:.7}): {}", revision.commit, folder.display()));
            }
            Ok(Exit::Done)
        }
        Pair::Hold { name, builds, pins, histories, first } => {
            let pins = read(&pins)?;
            hold(named(&pins, &name)?, &builds, first..first.saturating_add(histories))
        }
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
    let program = builds.join(&revision.name).join("linenproxy-wirehost");
    if !program.is_file() {
        return Err(say(&format!("{} is not built: see pair build", program.display()), Exit::Io));
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
                tell(&format!("history {number} ({kind:?}), meant: {meant}, {parting}"));
            }
        }
    }
    for (kind, [all, differ]) in played {
        tell(&format!("{kind:?}: {differ} of {all} histories differ"));
    }
    tell(&format!("{lines} lines of answers, {unmeant} histories differ without being meant to"));
    Ok(if unmeant == 0 { Exit::Done } else { Exit::Failed })
}

fn read(file: &Path) -> Result<Pins, Exit> {
    Pins::load(file).map_err(|problem| say(&problem, Exit::Config))
}

fn named<'a>(pins: &'a Pins, name: &str) -> Result<&'a Revision, Exit> {
    pins.revision(name).ok_or_else(|| say(&format!("no revision is pinned as {name}"), Exit::Usage))
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
