//! Starts processes so that they end with the emulator.

use super::START_TIMEOUT;
use rustix::process::{Pid, Signal, getppid, set_parent_process_death_signal};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::process::Command;

/// How a process is started.
#[derive(Clone, Debug, PartialEq)]
pub struct LaunchOptions {
    /// The program.
    pub program: PathBuf,
    /// An emulator program through which it is started, so that it ends with the emulator however
    /// that ends; see [`exec_guarded`].
    pub parent_guard: Option<PathBuf>,
    /// Time within which it must be ready.
    pub start_timeout: Duration,
}

impl LaunchOptions {
    /// Starts that program directly, with the default timeout.
    pub fn new(program: PathBuf) -> Self {
        Self {
            program,
            parent_guard: None,
            start_timeout: START_TIMEOUT,
        }
    }

    /// As [`Self::command`], but a write beyond the process's limit on file sizes returns an error
    /// instead of ending the process: ignored signals are inherited, and a shell can set that.
    pub(crate) fn command_ignoring_file_size_signal(&self) -> Command {
        let program = self.program.clone();
        let mut command = Self {
            program: PathBuf::from("/bin/sh"),
            ..self.clone()
        }
        .command();
        command
            .args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""])
            .arg(program);
        command
    }

    pub(crate) fn command(&self) -> Command {
        match &self.parent_guard {
            Some(parent_guard) => {
                let mut command = Command::new(parent_guard);
                command
                    .arg(GUARD_ARGUMENT)
                    .arg(std::process::id().to_string())
                    .arg(&self.program);
                command
            }
            None => Command::new(&self.program),
        }
    }
}

/// The argument that makes the emulator's program a guard.
pub const GUARD_ARGUMENT: &str = "keep";

/// Replaces this process by `program`, so that the system kills it when the emulator, which must be
/// process `parent`, has ended: a killed emulator can't end its processes itself.
///
/// # Errors
/// The emulator has ended already, or the program can't be started. Otherwise this does not return.
pub fn exec_guarded(parent: u32, program: &Path, arguments: &[String]) -> io::Error {
    if let Err(e) = set_parent_process_death_signal(Some(Signal::KILL)) {
        return e.into();
    }
    // If the emulator ended before the signal was set, there will be no signal.
    if getppid()
        .map(Pid::as_raw_pid)
        .and_then(|id| u32::try_from(id).ok())
        != Some(parent)
    {
        return io::Error::other("the lab has ended");
    }
    std::os::unix::process::CommandExt::exec(std::process::Command::new(program).args(arguments))
}
