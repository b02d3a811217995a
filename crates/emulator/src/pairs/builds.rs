//! Builds a pinned revision out of this repository's own history.

use super::pins::{Program, Recorded, Revision};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Pause between two looks at a build.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The profile of a pinned build: that of today's product programs.
const PROFILE: &str = "product";
/// A revision's sidecar, whatever its name is there, in its folder of builds.
pub const SIDECAR: &str = "sidecar";
/// A revision's adapter for the simulator's wire in its folder of builds.
pub const SIMULATOR_ADAPTER: &str = "simulator-adapter";
/// The program by which a revision's member talks in lines, see `pairs/recorder`.
pub const MEMBER: &str = "pairs-member";
/// The same for its coordinator, where it has one.
pub const COORDINATOR: &str = "pairs-coordinator";

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

/// Builds a revision of the repository at `repository` within that time; its programs then lie in
/// [`folder`]. What is there already for the same commit is kept.
///
/// # Errors
/// See [`BuildError`].
pub fn build(
    repository: &Path,
    revision: &Revision,
    builds: &Path,
    within: Duration,
) -> Result<PathBuf, BuildError> {
    // Its steps run in other folders.
    let folder = std::path::absolute(folder(builds, &revision.name))
        .map_err(|e| io_error("the folder of builds", e))?;
    let build = Build {
        revision,
        sources: folder.join("sources"),
        folder,
        until: Instant::now() + within,
    };
    if build.is_done() {
        return Ok(build.folder);
    }
    build.unpack(repository)?;
    build.program(&revision.sidecar, SIDECAR)?;
    build.program(&revision.simulator_adapter, SIMULATOR_ADAPTER)?;
    build.recorder(&revision.member, "member", MEMBER)?;
    if let Some(coordinator) = &revision.coordinator {
        build.recorder(coordinator, "coordinator", COORDINATOR)?;
    }
    fs::write(build.stamp(), &revision.commit).map_err(|e| io_error("the commit's name", e))?;
    Ok(build.folder)
}

/// One build of a revision.
struct Build<'a> {
    revision: &'a Revision,
    folder: PathBuf,
    sources: PathBuf,
    until: Instant,
}

impl Build<'_> {
    /// The file that names the commit which was built.
    fn stamp(&self) -> PathBuf {
        self.folder.join("commit")
    }

    fn is_done(&self) -> bool {
        let coordinator = self.revision.coordinator.as_ref().map(|_| COORDINATOR);
        let mut programs = [SIDECAR, SIMULATOR_ADAPTER, MEMBER]
            .into_iter()
            .chain(coordinator);
        fs::read_to_string(self.stamp()).is_ok_and(|commit| commit == self.revision.commit)
            && programs.all(|program| self.folder.join(program).is_file())
    }

    /// Lays the revision's sources down.
    fn unpack(&self, repository: &Path) -> Result<(), BuildError> {
        let commit = format!("{}^{{commit}}", self.revision.commit);
        let known = git(repository)
            .args(["cat-file", "-e", &commit])
            .stderr(Stdio::null())
            .status()
            .map_err(|e| io_error("git", e))?;
        if !known.success() {
            return Err(BuildError::Unknown(self.revision.commit.clone()));
        }
        if self.sources.exists() {
            fs::remove_dir_all(&self.sources).map_err(|e| io_error("the sources of before", e))?;
        }
        fs::create_dir_all(&self.sources).map_err(|e| io_error("a folder for the sources", e))?;
        let archive = self.folder.join("sources.tar");
        let mut pack = git(repository);
        pack.args(["archive", "--format=tar", "-o"])
            .arg(&archive)
            .arg(&self.revision.commit);
        self.step("git archive", &mut pack)?;
        let mut unpack = Command::new("tar");
        unpack.arg("-xf").arg(&archive).arg("-C").arg(&self.sources);
        self.step("tar", &mut unpack)
    }

    /// Builds a program, and puts it into the folder as `name`.
    fn program(&self, program: &Program, name: &str) -> Result<(), BuildError> {
        let mut cargo = self.cargo();
        cargo.args(["--all-features", "-p", &program.package]);
        cargo.args(["--bin", &program.name]);
        self.step("cargo build", &mut cargo)?;
        self.take(Path::new(&program.name), name)
    }

    /// Lays a part that talks in lines of text beside a package's sources, builds it as an example
    /// of that package, and puts it into the folder as `name`.
    fn recorder(&self, recorded: &Recorded, part: &str, name: &str) -> Result<(), BuildError> {
        self.lay_recorder(recorded, part, name)
            .map_err(|e| io_error("a part that talks in lines", e))?;
        let mut cargo = self.cargo();
        cargo.args(["-p", &recorded.package, "--example", name]);
        self.step("cargo build", &mut cargo)?;
        self.take(&Path::new("examples").join(name), name)
    }

    fn lay_recorder(&self, recorded: &Recorded, part: &str, name: &str) -> io::Result<()> {
        let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("pairs/recorder");
        let package = self.sources.join("crates").join(&recorded.folder);
        let to = package.join("examples").join(name);
        fs::create_dir_all(&to)?;
        let interface = format!("{part}_interface");
        for (source, module) in [
            ("lines", "lines"),
            (part, part),
            (recorded.interface.as_str(), interface.as_str()),
        ] {
            fs::copy(
                from.join(source).with_extension("rs"),
                to.join(module).with_extension("rs"),
            )?;
        }
        let main = format!(
            "mod lines;\nmod {part};\nmod {interface};\n\nfn main() -> std::io::Result<()> {{\n    \
             let mut session = {part}::Session::default();\n    lines::serve(|line| session.line(line))\n}}\n"
        );
        fs::write(to.join("main.rs"), main)
    }

    fn cargo(&self) -> Command {
        let mut cargo = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
        cargo
            .current_dir(&self.sources)
            .args(["build", "--locked", "--profile", PROFILE, "--target-dir"])
            .arg(self.folder.join("target"));
        cargo
    }

    /// Puts what cargo built at `built` into the folder as `name`.
    fn take(&self, built: &Path, name: &str) -> Result<(), BuildError> {
        let built = self.folder.join("target").join(PROFILE).join(built);
        fs::copy(built, self.folder.join(name))
            .map(drop)
            .map_err(|e| io_error("a program that was built", e))
    }

    /// Runs one step, which is ended where it goes on for too long.
    fn step(&self, what: &str, command: &mut Command) -> Result<(), BuildError> {
        let mut child = command
            .stdin(Stdio::null())
            .spawn()
            .map_err(|e| io_error(what, e))?;
        loop {
            if let Some(status) = child.try_wait().map_err(|e| io_error(what, e))? {
                return match status.success() {
                    true => Ok(()),
                    false => Err(BuildError::Failed(what.to_owned(), status)),
                };
            }
            if Instant::now() > self.until {
                let _ = child.kill();
                let _ = child.wait();
                return Err(BuildError::Late(what.to_owned()));
            }
            sleep(POLL_INTERVAL);
        }
    }
}

fn io_error(what: &str, error: io::Error) -> BuildError {
    BuildError::Io(what.to_owned(), error)
}

fn git(repository: &Path) -> Command {
    let mut git = Command::new("git");
    git.arg("-C").arg(repository);
    git
}
