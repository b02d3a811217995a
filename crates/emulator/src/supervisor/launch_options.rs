//! Starts a process so that it ends with the emulator.

use super::READY_WITHIN;
use rustix::process::{Pid, Signal, getppid, set_parent_process_death_signal};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::process::Command;

/// How a sidecar's process is brought up.
#[derive(Clone, Debug, PartialEq)]
pub struct LaunchOptions {
    /// The program.
    pub program: PathBuf,
    /// An emulator's program through which it is started, so that it ends with the emulator however
    /// that ends; see [`keep`].
    pub parent_guard: Option<PathBuf>,
    /// It must be ready within this.
    pub within: Duration,
}

impl LaunchOptions {
    /// Brings up that program, by itself and with the usual patience.
    pub fn plain(program: PathBuf) -> Self {
        Self {
            program,
            parent_guard: None,
            within: READY_WITHIN,
        }
    }

    /// The same, but a write beyond the process's limit on the size of files is an error to it
    /// rather than its end: what a program may ignore of signals it inherits, and a shell can say
    /// so.
    pub(crate) fn command_that_outlives_full_disks(&self) -> Command {
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
                    .arg(KEEP)
                    .arg(std::process::id().to_string())
                    .arg(&self.program);
                command
            }
            None => Command::new(&self.program),
        }
    }
}

/// The word that makes the emulator's program a keeper.
pub const KEEP: &str = "keep";

/// Becomes `program`, in a process that the system kills when the emulator, which must be process
/// `parent`, has ended: a emulator that is itself killed can end nothing any more.
///
/// # Errors
/// The emulator has ended already, or the program cannot be started. It does not come back
/// otherwise.
pub fn keep(parent: u32, program: &Path, words: &[String]) -> io::Error {
    if let Err(e) = set_parent_process_death_signal(Some(Signal::KILL)) {
        return e.into();
    }
    // Where the emulator ended before that was said, nobody will say so any more.
    if getppid()
        .map(Pid::as_raw_pid)
        .and_then(|id| u32::try_from(id).ok())
        != Some(parent)
    {
        return io::Error::other("the lab has ended");
    }
    std::os::unix::process::CommandExt::exec(std::process::Command::new(program).args(words))
}
