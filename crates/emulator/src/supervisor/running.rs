//! A child process that is killed when its owner drops it.

use std::io;
use std::process::ExitStatus;
use std::thread;
use std::time::Duration;
use tokio::process::{Child, Command};

/// Pause between two looks at a process that was killed and is let go of.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Most such looks: a process that the system can't end in five seconds is left to it.
const POLLS: usize = 5000;

/// A process that runs. Where this is dropped, the process is killed and has ended afterwards:
/// SIGKILL alone only says that it is to end, and on a busy machine it goes on until it has a turn.
#[derive(Debug)]
pub(crate) struct Running(Child);

impl Running {
    /// Starts a process.
    pub(crate) fn start(command: &mut Command) -> io::Result<Self> {
        command.spawn().map(Self)
    }

    /// Its id, until its end has been seen.
    pub(crate) fn id(&self) -> Option<u32> {
        self.0.id()
    }

    /// How it has ended, if it has.
    pub(crate) fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.0.try_wait()
    }

    /// Waits for its end.
    pub(crate) async fn end(&mut self) -> io::Result<ExitStatus> {
        self.0.wait().await
    }

    /// Kills it and waits for its end.
    pub(crate) async fn kill(&mut self) -> io::Result<()> {
        self.0.kill().await
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.0.start_kill();
        for _ in 0..POLLS {
            match self.0.try_wait() {
                Ok(None) => thread::sleep(POLL_INTERVAL),
                Ok(Some(_)) | Err(_) => return,
            }
        }
    }
}
