//! A child process that is killed when its owner drops it.

use std::io;
use std::process::ExitStatus;
use std::thread;
use std::time::Duration;
use tokio::process::{Child, Command};

/// Interval of the checks of a killed process whose owner was dropped.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Most such checks: a process that the system can't end in five seconds is left alone.
const MAX_POLLS: usize = 5000;

/// A running process. Dropping this kills it and waits for its end: SIGKILL alone only requests the
/// end, and on a busy machine the process may run a little longer.
#[derive(Debug)]
pub(crate) struct ChildProcess(Child);

impl ChildProcess {
    /// Starts a process.
    pub(crate) fn start(command: &mut Command) -> io::Result<Self> {
        command.spawn().map(Self)
    }

    /// Its id, until its end has been observed.
    pub(crate) fn id(&self) -> Option<u32> {
        self.0.id()
    }

    /// Its exit status, if it has exited.
    pub(crate) fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.0.try_wait()
    }

    /// Waits for its end.
    pub(crate) async fn wait(&mut self) -> io::Result<ExitStatus> {
        self.0.wait().await
    }

    /// Kills it and waits for its end.
    pub(crate) async fn kill(&mut self) -> io::Result<()> {
        self.0.kill().await
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // It may have exited already.
        let _ = self.0.start_kill();
        for _ in 0..MAX_POLLS {
            match self.0.try_wait() {
                Ok(None) => thread::sleep(POLL_INTERVAL),
                Ok(Some(_)) | Err(_) => return,
            }
        }
    }
}
