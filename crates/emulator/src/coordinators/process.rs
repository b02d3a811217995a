//! One coordinator's process over all its incarnations, and its disk.

use super::data;
use crate::supervisor::{LaunchOptions, Running};
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::time::timeout;

/// How long it may take to end when it is told to.
const STOPS_WITHIN: Duration = Duration::from_secs(5);

/// One coordinator.
pub(super) struct CoordinatorProcess {
    bringing: LaunchOptions,
    config: PathBuf,
    log: PathBuf,
    data: PathBuf,
    child: Option<Running>,
}

impl CoordinatorProcess {
    pub(super) fn start(
        number: usize,
        text: &str,
        bringing: LaunchOptions,
        folder: &Path,
    ) -> io::Result<Self> {
        let file = |kind: &str| folder.join(format!("s{number}.{kind}"));
        let (config, log) = (file("toml"), file("log"));
        fs::write(&config, text)?;
        fs::File::create(&log)?;
        let mut coordinator = Self {
            bringing,
            config,
            log,
            data: data(folder, number),
            child: None,
        };
        coordinator.run()?;
        Ok(coordinator)
    }

    /// Starts it, where it does not run.
    pub(super) fn run(&mut self) -> io::Result<()> {
        if self.runs() {
            return Ok(());
        }
        let log = || {
            OpenOptions::new()
                .append(true)
                .open(&self.log)
                .map(Stdio::from)
        };
        let mut command = self.bringing.command_that_outlives_full_disks();
        command
            .arg("--config")
            .arg(&self.config)
            .env_clear()
            .stdin(Stdio::null());
        command.stdout(log()?).stderr(log()?);
        self.child = Some(Running::start(&mut command)?);
        Ok(())
    }

    /// Whether its process runs.
    pub(super) fn runs(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.ended(), Ok(None)))
    }

    fn pid(&self) -> Option<Pid> {
        let id = self
            .child
            .as_ref()
            .and_then(Running::id)
            .and_then(|id| i32::try_from(id).ok());
        id.and_then(Pid::from_raw)
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill_process(pid, signal);
        }
    }

    /// Lets it write to no file, or to all again. It is its limit on the size of files, so that a
    /// disk of its own is not needed: writing answers with an error, as on a full disk.
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

    /// Stops or continues it.
    pub(super) fn pause(&self, on: bool) {
        self.signal(if on { Signal::STOP } else { Signal::CONT });
    }

    /// Kills it.
    pub(super) async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Tells it to stop, and kills it where it goes on for too long.
    pub(super) async fn stop(&mut self) {
        self.signal(Signal::CONT);
        self.signal(Signal::TERM);
        if let Some(mut child) = self.child.take()
            && timeout(STOPS_WITHIN, child.end()).await.is_err()
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

    /// Removes all that it keeps.
    pub(super) fn empty_disk(&self) -> io::Result<()> {
        self.files().iter().try_for_each(fs::remove_file)
    }

    /// Tears the largest file that it keeps in the middle.
    pub(super) fn tear_disk(&self) -> io::Result<()> {
        let size = |file: &PathBuf| fs::metadata(file).map_or(0, |meta| meta.len());
        let Some(file) = self.files().into_iter().max_by_key(size) else {
            return Ok(());
        };
        OpenOptions::new()
            .write(true)
            .open(&file)?
            .set_len(size(&file) / 2)
    }

    /// Its log's last line.
    pub(super) fn last_line(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        text.lines()
            .next_back()
            .unwrap_or("it has said nothing")
            .to_owned()
    }
}
