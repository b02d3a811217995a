//! Starts, stops, kills and restarts real sidecars, and keeps their logs.

mod launch_options;
mod platform_config;
mod release;
mod running;

use crate::experiment::Variant;
use crate::net::Clock;
use crate::record::{Record, Seen};
pub use launch_options::{GUARD_ARGUMENT, LaunchOptions, exec_guarded};
use load_balancer_common::process::usage_of;
pub use platform_config::PlatformConfig;
use release::OtherRelease;
pub(crate) use running::ChildProcess;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Default time within which a sidecar must be ready.
pub const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval of the checks of a starting sidecar.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time from SIGTERM to SIGKILL: the longest deadline, at most 3 s, plus 700 ms.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3700);
/// Additional time for a machine under load, before a slow shutdown counts as a fault.
const SHUTDOWN_SLACK: Duration = Duration::from_millis(1000);

/// A sidecar's process, over all its incarnations.
pub struct Supervised {
    config: PlatformConfig,
    launch_options: LaunchOptions,
    product: Option<PathBuf>,
    other_release: Option<OtherRelease>,
    platform: PathBuf,
    log: PathBuf,
    seed: u64,
    child: Option<ChildProcess>,
    clock: Clock,
    record: Record,
    resources: ResourceUsage,
}

/// The resources used by a sidecar's processes.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUsage {
    /// CPU time of all its incarnations ended by the emulator, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory at the end of the last incarnation, in bytes.
    pub resident_bytes: u64,
}

impl Supervised {
    /// A sidecar that is not started yet, with its files in `folder`.
    ///
    /// # Errors
    /// A file can't be written.
    pub fn new(
        config: PlatformConfig,
        launch_options: LaunchOptions,
        variant: &Variant,
        folder: &Path,
        seed: u64,
        (clock, record): (Clock, Record),
    ) -> io::Result<Self> {
        let name = format!("n{}", config.sidecar);
        let product =
            release::write_product_config(folder, &name, config.sidecar, &variant.config)?;
        let (platform, log) = (
            folder.join(format!("{name}.json")),
            folder.join(format!("{name}.log")),
        );
        File::create(&log)?;
        Ok(Self {
            config,
            launch_options,
            product,
            other_release: None,
            platform,
            log,
            seed,
            child: None,
            clock,
            record,
            resources: ResourceUsage::default(),
        })
    }

    /// The id of its process, while one runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().and_then(ChildProcess::id)
    }

    /// Starts the process; [`Supervised::wait_until_ready`] tells when it can be used.
    ///
    /// # Errors
    /// The program or a file can't be used.
    pub fn start(&mut self) -> io::Result<()> {
        // A different seed at each start.
        self.seed = self
            .seed
            .wrapping_mul(0x5851_f42d_4c95_7f2d)
            .wrapping_add(1);
        let mut platform = self.config.platform.clone();
        platform["seed"] = json!(format!("{:016x}", self.seed));
        fs::write(&self.platform, platform.to_string())?;
        let log = OpenOptions::new().append(true).open(&self.log)?;
        let mut command = self.launch_options.command();
        command
            .env_clear()
            .env("LB_CONFIG", &self.platform)
            .env("LB_NAME", format!("n{}", self.config.sidecar))
            .env("LB_LISTEN", self.config.listen.to_string())
            .env("LB_DISCOVERY", self.config.discovery.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log));
        if let Some(product) = &self.product {
            // Earlier revisions know the argument, but not today's environment variable.
            command.arg("--config").arg(product);
        }
        self.child = Some(ChildProcess::start(&mut command)?);
        Ok(())
    }

    /// Waits until it answers `GET /up` with 200.
    ///
    /// # Errors
    /// It has exited, or is not ready in time.
    pub async fn wait_until_ready(&mut self) -> Result<(), String> {
        let until = Instant::now() + self.launch_options.start_timeout;
        while !is_ready(self.config.listen).await {
            if let Some(status) = self.ended() {
                return Err(format!(
                    "ended as it started: {status}; {}",
                    self.last_line()
                ));
            }
            if Instant::now() > until {
                return Err(format!(
                    "was not ready within {:.1} s",
                    self.launch_options.start_timeout.as_secs_f64()
                ));
            }
            sleep(POLL_INTERVAL).await;
        }
        self.record.note(
            self.clock.now(),
            Seen::SidecarUp {
                sidecar: self.config.sidecar,
            },
        );
        Ok(())
    }

    /// Its exit status, if it has exited.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child
            .as_mut()
            .and_then(|child| child.exit_status().ok().flatten())
    }

    /// The last line of its log.
    pub fn last_line(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        text.lines()
            .next_back()
            .unwrap_or("it has said nothing")
            .to_owned()
    }

    /// Sends it a signal, if it runs.
    pub fn signal(&self, signal: Signal) {
        let pid = self
            .id()
            .and_then(|id| i32::try_from(id).ok())
            .and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// The resources it had used at its last planned end.
    pub fn resources(&self) -> ResourceUsage {
        self.resources
    }

    fn record_usage(&mut self) {
        let Some(process) = self.id() else { return };
        let usage = usage_of(process);
        self.resources.cpu_seconds += usage.cpu_seconds.unwrap_or(0.0);
        self.resources.resident_bytes = usage.resident_bytes.unwrap_or(0);
    }

    /// Kills it and waits for its end.
    pub async fn kill(&mut self) {
        self.record_usage();
        let Some(mut child) = self.child.take() else {
            return;
        };
        let sidecar = self.config.sidecar;
        let record_down = || {
            self.record.note(
                self.clock.now(),
                Seen::SidecarDown {
                    sidecar,
                    killed: true,
                },
            )
        };
        record_down();
        let _ = child.kill().await;
        // Its sockets accept requests until its last thread has ended, including one that waits for
        // a disk; requests accepted meanwhile are lost too.
        record_down();
    }

    /// Shuts it down by SIGTERM, and kills it if that takes too long.
    pub async fn stop(&mut self) {
        self.record_usage();
        self.signal(Signal::TERM);
        let sidecar = self.config.sidecar;
        self.record
            .note(self.clock.now(), Seen::SidecarTold { sidecar });
        let Some(mut child) = self.child.take() else {
            return;
        };
        let ended = timeout(SHUTDOWN_TIMEOUT + SHUTDOWN_SLACK, child.wait()).await;
        let (killed, what) = match ended {
            Ok(Ok(status)) if status.success() => (false, None),
            Ok(Ok(status)) => (
                false,
                Some(format!("ended badly when it was told to stop: {status}")),
            ),
            Ok(Err(e)) => (true, Some(format!("cannot be waited for: {e}"))),
            Err(_) => {
                let _ = child.kill().await;
                (
                    true,
                    Some("went on for too long after it was told to stop".to_owned()),
                )
            }
        };
        let now = self.clock.now();
        self.record.note(now, Seen::SidecarDown { sidecar, killed });
        if let Some(what) = what {
            self.record.note(now, Seen::SidecarFault { sidecar, what });
        }
    }
}

/// Whether the sidecar at that address is ready.
async fn is_ready(at: SocketAddr) -> bool {
    let check = async {
        let mut stream = TcpStream::connect(at).await?;
        stream
            .write_all(b"GET /up HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
            .await?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await?;
        Ok::<_, io::Error>(&head == b"HTTP/1.1 200")
    };
    timeout(Duration::from_secs(1), check)
        .await
        .is_ok_and(|up| up.unwrap_or(false))
}
