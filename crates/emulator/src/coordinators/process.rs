//! One coordinator's process over all its incarnations, and its disk.

use super::data_path;
use crate::supervisor::{ChildProcess, LaunchOptions};
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::time::timeout;

/// Timeout of a shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// A coordinator.
pub(super) struct CoordinatorProcess {
    launch_options: LaunchOptions,
    config: PathBuf,
    log: PathBuf,
    data: PathBuf,
    child: Option<ChildProcess>,
}

impl CoordinatorProcess {
    pub(super) fn start(
        number: usize,
        text: &str,
        launch_options: LaunchOptions,
        folder: &Path,
    ) -> io::Result<Self> {
        let file = |kind: &str| folder.join(format!("s{number}.{kind}"));
        let (config, log) = (file("toml"), file("log"));
        fs::write(&config, text)?;
        fs::File::create(&log)?;
        let mut coordinator = Self {
            launch_options,
            config,
            log,
            data: data_path(folder, number),
            child: None,
        };
        coordinator.start_process()?;
        Ok(coordinator)
    }

    /// Starts the process, unless it runs.
    pub(super) fn start_process(&mut self) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = || {
            OpenOptions::new()
                .append(true)
                .open(&self.log)
                .map(Stdio::from)
        };
        let mut command = self.launch_options.command_ignoring_file_size_signal();
        command
            .arg("--config")
            .arg(&self.config)
            .env_clear()
            .stdin(Stdio::null());
        command.stdout(log()?).stderr(log()?);
        self.child = Some(ChildProcess::start(&mut command)?);
        Ok(())
    }

    /// Whether the process runs.
    pub(super) fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.exit_status(), Ok(None)))
    }

    fn pid(&self) -> Option<Pid> {
        let id = self
            .child
            .as_ref()
            .and_then(ChildProcess::id)
            .and_then(|id| i32::try_from(id).ok());
        id.and_then(Pid::from_raw)
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill_process(pid, signal);
        }
    }

    /// Makes all writes to files fail, or ends that, by the process's limit on file sizes: writes
    /// return an error as on a full disk, without a disk of its own.
    pub(super) fn fill_disk(&self, full: bool) -> io::Result<()> {
        let limit = Rlimit {
            current: full.then_some(0),
            maximum: None,
        };
        self.pid().map_or(Ok(()), |pid| {
            prlimit(Some(pid), Resource::Fsize, limit)
                .map(drop)
                .map_err(Into::into)
        })
    }

    /// Suspends or resumes the process.
    pub(super) fn set_paused(&self, paused: bool) {
        self.signal(if paused { Signal::STOP } else { Signal::CONT });
    }

    /// Kills the process.
    pub(super) async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Shuts the process down, and kills it if that takes too long.
    pub(super) async fn stop(&mut self) {
        self.signal(Signal::CONT);
        self.signal(Signal::TERM);
        if let Some(mut child) = self.child.take()
            && timeout(SHUTDOWN_TIMEOUT, child.wait()).await.is_err()
        {
            let _ = child.kill().await;
        }
    }

    fn files(&self) -> Vec<PathBuf> {
        if self.data.is_file() {
            return vec![self.data.clone()];
        }
        fs::read_dir(&self.data)
            .into_iter()
            .flatten()
            .flatten()
            .map(|entry| entry.path())
            .collect()
    }

    /// Removes all of its data files.
    pub(super) fn erase_data(&self) -> io::Result<()> {
        self.files().iter().try_for_each(fs::remove_file)
    }

    /// Truncates its largest data file in the middle.
    pub(super) fn truncate_data(&self) -> io::Result<()> {
        let size = |file: &PathBuf| fs::metadata(file).map_or(0, |meta| meta.len());
        let Some(file) = self.files().into_iter().max_by_key(size) else {
            return Ok(());
        };
        OpenOptions::new()
            .write(true)
            .open(&file)?
            .set_len(size(&file) / 2)
    }

    /// The last line of its log.
    pub(super) fn last_line(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        text.lines()
            .next_back()
            .unwrap_or("it has said nothing")
            .to_owned()
    }
}
