//! Starts, stops, kills and restarts real sidecars, and keeps their logs (DEPLOY, PROTOCOL).

mod launch_options;
mod platform_config;
mod release;
mod running;

use crate::experiment::Variant;
use crate::net::Clock;
use crate::record::{Record, Seen};
pub use launch_options::{KEEP, LaunchOptions, keep};
use load_balancer_common::process::usage_of;
pub use platform_config::PlatformConfig;
use release::Other;
pub(crate) use running::Running;
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

/// A sidecar that is not ready after this has failed to start, unless something else was said.
pub const READY_WITHIN: Duration = Duration::from_secs(30);
/// Pause between two looks at a sidecar that starts.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// SIGKILL comes this long after SIGTERM: the longest deadline, taken as 3 s where it is longer,
/// and 700 ms.
const STOPS_WITHIN: Duration = Duration::from_millis(3700);
/// How much a machine under load may be late with that, before it is held against the sidecar.
const STOP_SLACK: Duration = Duration::from_millis(1000);

/// One sidecar's process, over all its lives.
pub struct Supervised {
    told: PlatformConfig,
    bringing: LaunchOptions,
    product: Option<PathBuf>,
    other: Option<Other>,
    platform: PathBuf,
    log: PathBuf,
    seed: u64,
    child: Option<Running>,
    clock: Clock,
    record: Record,
    spent: Spent,
}

/// What a sidecar's processes have used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    /// Processor time of all its lives that the emulator ended, in seconds.
    pub processor: f64,
    /// Resident memory at the end of the last one, in bytes.
    pub resident: u64,
}

impl Supervised {
    /// One that is not started yet; its files lie in `folder`.
    ///
    /// # Errors
    /// A file cannot be written.
    pub fn new(
        told: PlatformConfig,
        bringing: LaunchOptions,
        variant: &Variant,
        folder: &Path,
        seed: u64,
        (clock, record): (Clock, Record),
    ) -> io::Result<Self> {
        let name = format!("n{}", told.sidecar);
        let product = release::write(folder, &name, told.sidecar, &variant.config)?;
        let (platform, log) = (
            folder.join(format!("{name}.json")),
            folder.join(format!("{name}.log")),
        );
        File::create(&log)?;
        Ok(Self {
            told,
            bringing,
            product,
            other: None,
            platform,
            log,
            seed,
            child: None,
            clock,
            record,
            spent: Spent::default(),
        })
    }

    /// Its process, while one runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().and_then(Running::id)
    }

    /// Starts it; [`Supervised::ready`] tells when it can be used.
    ///
    /// # Errors
    /// The program or a file cannot be used.
    pub fn start(&mut self) -> io::Result<()> {
        // A new one with each start.
        self.seed = self
            .seed
            .wrapping_mul(0x5851_f42d_4c95_7f2d)
            .wrapping_add(1);
        let mut platform = self.told.platform.clone();
        platform["seed"] = json!(format!("{:016x}", self.seed));
        fs::write(&self.platform, platform.to_string())?;
        let log = OpenOptions::new().append(true).open(&self.log)?;
        let mut command = self.bringing.command();
        command
            .env_clear()
            .env("LB_CONFIG", &self.platform)
            .env("LB_NAME", format!("n{}", self.told.sidecar))
            .env("LB_LISTEN", self.told.listen.to_string())
            .env("LB_DISCOVERY", self.told.discovery.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log));
        if let Some(product) = &self.product {
            // Earlier revisions know the argument too, but not the variable of today.
            command.arg("--config").arg(product);
        }
        self.child = Some(Running::start(&mut command)?);
        Ok(())
    }

    /// Waits until it answers `GET /up` with 200.
    ///
    /// # Errors
    /// It has ended, or is not ready in time.
    pub async fn ready(&mut self) -> Result<(), String> {
        let until = Instant::now() + self.bringing.within;
        while !up(self.told.listen).await {
            if let Some(status) = self.ended() {
                return Err(format!(
                    "ended as it started: {status}; {}",
                    self.last_line()
                ));
            }
            if Instant::now() > until {
                return Err(format!(
                    "was not ready within {:.1} s",
                    self.bringing.within.as_secs_f64()
                ));
            }
            sleep(POLL_INTERVAL).await;
        }
        self.record.note(
            self.clock.now(),
            Seen::SidecarUp {
                sidecar: self.told.sidecar,
            },
        );
        Ok(())
    }

    /// How it has ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child
            .as_mut()
            .and_then(|child| child.ended().ok().flatten())
    }

    /// Its log's last line.
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

    /// What it has used so far, as of its last planned end.
    pub fn spent(&self) -> Spent {
        self.spent
    }

    fn account(&mut self) {
        let Some(process) = self.id() else { return };
        let usage = usage_of(process);
        self.spent.processor += usage.cpu_seconds.unwrap_or(0.0);
        self.spent.resident = usage.resident_bytes.unwrap_or(0);
    }

    /// Kills it and waits for its end.
    pub async fn kill(&mut self) {
        self.account();
        let Some(mut child) = self.child.take() else {
            return;
        };
        let sidecar = self.told.sidecar;
        let down = || {
            self.record.note(
                self.clock.now(),
                Seen::SidecarDown {
                    sidecar,
                    killed: true,
                },
            )
        };
        down();
        let _ = child.kill().await;
        // Its sockets take requests until the last of its threads is gone, one that waits for a
        // disk included: what came meanwhile goes with it too.
        down();
    }

    /// Stops it by SIGTERM, and kills it where it goes on for too long.
    pub async fn stop(&mut self) {
        self.account();
        self.signal(Signal::TERM);
        let sidecar = self.told.sidecar;
        self.record
            .note(self.clock.now(), Seen::SidecarTold { sidecar });
        let Some(mut child) = self.child.take() else {
            return;
        };
        let ended = timeout(STOPS_WITHIN + STOP_SLACK, child.end()).await;
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

/// Whether a sidecar there is ready.
async fn up(at: SocketAddr) -> bool {
    let look = async {
        let mut stream = TcpStream::connect(at).await?;
        stream
            .write_all(b"GET /up HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
            .await?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await?;
        Ok::<_, io::Error>(&head == b"HTTP/1.1 200")
    };
    timeout(Duration::from_secs(1), look)
        .await
        .is_ok_and(|up| up.unwrap_or(false))
}
