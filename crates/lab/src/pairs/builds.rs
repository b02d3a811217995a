//! Builds a pinned revision out of this repository's own history. Changes with how a revision is built.

use super::pins::Revision;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Pause between two looks at a build.
const LOOK: Duration = Duration::from_millis(100);
/// The profile of a pinned build: that of today's product programs.
const PROFILE: &str = "product";
/// The program by which a revision's member talks in lines, see `pairs/recorder`; and its steward, where it has one.
pub const MEMBER: &str = "pairs-member";
/// See [`MEMBER`].
pub const STEWARD: &str = "pairs-steward";

/// Why a revision could not be built.
#[derive(Debug)]
pub enum BuildError {
    /// The history here does not hold it, as in a shallow copy: recorded bytes are read instead.
    Unknown(String),
    /// A program that is needed cannot be used, or a file cannot be written.
    Io(String, io::Error),
    /// A step failed.
    Failed(String, ExitStatus),
    /// It took longer than it may.
    Late(String),
}

impl std::fmt::Display for BuildError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unknown(commit) => write!(f, "the history here does not hold {commit}"),
            Self::Io(what, e) => write!(f, "{what}: {e}"),
            Self::Failed(what, status) => write!(f, "{what}: {status}"),
            Self::Late(what) => write!(f, "{what} took too long"),
        }
    }
}

impl std::error::Error for BuildError {}

/// Where a revision's programs lie once they are built.
pub fn folder(builds: &Path, revision: &str) -> PathBuf {
    builds.join(revision)
}

/// Builds a revision of the repository at `repository` within that time; its programs then lie in [`folder`]. What is
/// there already for the same commit is kept.
///
/// # Errors
/// See [`BuildError`].
pub fn build(
    repository: &Path,
    revision: &Revision,
    builds: &Path,
    within: Duration,
) -> Result<PathBuf, BuildError> {
    let until = Instant::now() + within;
    let io = |what: &str| {
        let what = what.to_owned();
        move |e| BuildError::Io(what, e)
    };
    // Its steps run in other folders.
    let target =
        std::path::absolute(folder(builds, &revision.name)).map_err(io("the folder of builds"))?;
    let stamp = target.join("commit");
    let programs = || {
        revision
            .program
            .iter()
            .map(|p| p.name.as_str())
            .chain([MEMBER])
            .map(|p| target.join(p))
    };
    if fs::read_to_string(&stamp).is_ok_and(|c| c == revision.commit)
        && programs().all(|p| p.is_file())
    {
        return Ok(target);
    }
    let commit = format!("{}^{{commit}}", revision.commit);
    let known = git(repository)
        .args(["cat-file", "-e", &commit])
        .stderr(Stdio::null())
        .status();
    if !known.map_err(io("git"))?.success() {
        return Err(BuildError::Unknown(revision.commit.clone()));
    }
    let sources = target.join("sources");
    if sources.exists() {
        fs::remove_dir_all(&sources).map_err(io("the sources of before"))?;
    }
    fs::create_dir_all(&sources).map_err(io("a folder for the sources"))?;
    let archive = target.join("sources.tar");
    let mut out = git(repository);
    let out = out
        .args(["archive", "--format=tar", "-o"])
        .arg(&archive)
        .arg(&revision.commit);
    step("git archive", out, until)?;
    step(
        "tar",
        Command::new("tar")
            .arg("-xf")
            .arg(&archive)
            .arg("-C")
            .arg(&sources),
        until,
    )?;
    for program in &revision.program {
        let mut cargo = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
        cargo.current_dir(&sources).args([
            "build",
            "--locked",
            "--all-features",
            "--profile",
            PROFILE,
        ]);
        cargo.args([
            "-p",
            &program.package,
            "--bin",
            &program.name,
            "--target-dir",
        ]);
        step("cargo build", cargo.arg(target.join("target")), until)?;
        let built = target.join("target").join(PROFILE).join(&program.name);
        fs::copy(&built, target.join(&program.name)).map_err(io("a program that was built"))?;
    }
    for recorder in recorders(&sources).map_err(io("a part that talks in lines"))? {
        let mut cargo = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
        cargo
            .current_dir(&sources)
            .args(["build", "--locked", "--profile", PROFILE]);
        cargo.args([
            "-p",
            recorder.package,
            "--example",
            recorder.name,
            "--target-dir",
        ]);
        step("cargo build", cargo.arg(target.join("target")), until)?;
        let built = target
            .join("target")
            .join(PROFILE)
            .join("examples")
            .join(recorder.name);
        fs::copy(&built, target.join(recorder.name)).map_err(io("a part that talks in lines"))?;
    }
    fs::write(&stamp, &revision.commit).map_err(io("the commit's name"))?;
    Ok(target)
}

/// A part that talks in lines, built as an example of a revision's own package.
struct Recorder {
    package: &'static str,
    name: &'static str,
}

/// Lays the parts that talk in lines beside the sources of a revision, as far as it has what they speak for.
fn recorders(sources: &Path) -> io::Result<Vec<Recorder>> {
    let ours = Path::new(env!("CARGO_MANIFEST_DIR")).join("pairs/recorder");
    let lay = |of: &str, name: &str, files: &[(&str, &str)], main: &str| -> io::Result<()> {
        let folder = sources.join("crates").join(of).join("examples").join(name);
        fs::create_dir_all(&folder)?;
        for (from, to) in files.iter().chain(&[("lines.rs", "lines.rs")]) {
            fs::copy(ours.join(from), folder.join(to))?;
        }
        fs::write(folder.join("main.rs"), main)
    };
    let serves = |part: &str| {
        format!(
            "fn main() -> std::io::Result<()> {{\n    let mut session = {part}::Session::default();\n    lines::serve(|line| session.line(line))\n}}\n"
        )
    };
    let carries = sources.join("crates/fleet/src/carrier.rs").is_file();
    let later = if carries { "later.rs" } else { "earlier.rs" };
    let files = [("member.rs", "member.rs"), (later, "later.rs")];
    lay(
        "fleet",
        MEMBER,
        &files,
        &format!(
            "mod later;\nmod lines;\nmod member;\n\n{}",
            serves("member")
        ),
    )?;
    let mut all = vec![Recorder {
        package: "linenproxy-fleet",
        name: MEMBER,
    }];
    if sources.join("crates/steward/src/agreement").is_dir() {
        let main = format!("mod lines;\nmod steward;\n\n{}", serves("steward"));
        lay("steward", STEWARD, &[("steward.rs", "steward.rs")], &main)?;
        all.push(Recorder {
            package: "linenproxy-steward",
            name: STEWARD,
        });
    }
    Ok(all)
}

fn git(repository: &Path) -> Command {
    let mut git = Command::new("git");
    git.arg("-C").arg(repository);
    git
}

/// One step, which is ended where it goes on for too long.
fn step(what: &str, command: &mut Command, until: Instant) -> Result<(), BuildError> {
    let io = |e| BuildError::Io(what.to_owned(), e);
    let mut child: Child = command.stdin(Stdio::null()).spawn().map_err(io)?;
    loop {
        if let Some(status) = child.try_wait().map_err(io)? {
            return match status.success() {
                true => Ok(()),
                false => Err(BuildError::Failed(what.to_owned(), status)),
            };
        }
        if Instant::now() > until {
            let _ = child.kill();
            let _ = child.wait();
            return Err(BuildError::Late(what.to_owned()));
        }
        sleep(LOOK);
    }
}
