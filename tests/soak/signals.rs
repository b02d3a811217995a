//! The sidecar's process, and the signals that it gets.

use crate::plan::{Plan, Signal};
use crate::stubs::*;
use crate::verdict::Verdict;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Between the end of a process and the start of the next one.
const DOWN_TIME: Duration = Duration::from_millis(200);
/// After SIGTERM the platform waits for the longest deadline and this time before SIGKILL.
const GRACE_BEHIND_DEADLINE: Duration = Duration::from_millis(700);
/// How long after SIGTERM clients open connections.
const CONNECTS_AFTER_TERM: Duration = Duration::from_millis(200);
/// Between two looks at the process.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What clients know of the process.
pub struct Process {
    pub address: SocketAddr,
    /// Kills so far, counted before each: what is cut off by one is no break.
    kills: AtomicU64,
    /// Until when clients open connections; without a limit while it serves.
    connects_until: Mutex<Option<Instant>>,
}

impl Process {
    pub fn kills(&self) -> u64 {
        self.kills.load(Ordering::SeqCst)
    }

    /// A connection, unless clients open none now or the process is down.
    pub fn connect(&self) -> Option<TcpStream> {
        let until = *self.connects_until.lock().expect("no holder panics");
        if until.is_some_and(|until| Instant::now() >= until) {
            return None;
        }
        let stream = TcpStream::connect(self.address).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    fn set_connects_until(&self, until: Option<Instant>) {
        *self.connects_until.lock().expect("no holder panics") = until;
    }
}

/// Starts, signals and watches the process.
pub struct Supervisor {
    pub process: Arc<Process>,
    child: Child,
    config: PathBuf,
    plan: Plan,
    _reserved: Reserved,
}

impl Supervisor {
    /// Starts the process and waits until it is ready.
    pub fn start(plan: &Plan, discovery: SocketAddr, known: &str) -> Self {
        let reserved = Reserved::on([127, 0, 0, 1]);
        let address = reserved.address;
        let (deadline, aim) = (plan.deadline.as_micros(), plan.deadline.as_micros() / 3);
        let text = config(address, discovery, known)
            .replace(
                "\"memory_mb\":192",
                &format!("\"memory_mb\":{}", plan.memory_mb),
            )
            .replace(
                "\"sockets\":1024",
                &format!("\"sockets\":{}", plan.descriptors),
            )
            .replace(
                "\"DeadlineUs\":20000000",
                &format!("\"DeadlineUs\":{deadline}"),
            )
            .replace("\"AimUs\":8000000", &format!("\"AimUs\":{aim}"))
            .replace("\"DialTimeoutUs\":5000000", "\"DialTimeoutUs\":200000");
        let config = config_file(&text);
        let process = Arc::new(Process {
            address,
            kills: AtomicU64::new(0),
            connects_until: Mutex::new(None),
        });
        let child = spawn(&config, plan.descriptors);
        let supervisor = Self {
            process,
            child,
            config,
            plan: plan.clone(),
            _reserved: reserved,
        };
        supervisor.wait_until_ready();
        supervisor
    }

    /// Sends a signal and waits until its effect is over.
    pub fn send(&mut self, signal: Signal, verdict: &mut Verdict) {
        match signal {
            Signal::Suspend(time) => {
                self.kill_with("-STOP");
                thread::sleep(time);
                self.kill_with("-CONT");
            }
            Signal::Reload => self.kill_with("-HUP"),
            Signal::Kill => {
                self.kill(verdict);
                self.start_again();
            }
            Signal::Restart => {
                let began = Instant::now();
                self.process
                    .set_connects_until(Some(began + CONNECTS_AFTER_TERM));
                self.kill_with("-TERM");
                let killed_at = began + self.plan.deadline + GRACE_BEHIND_DEADLINE;
                while Instant::now() < killed_at && self.is_running() {
                    self.look(verdict);
                    thread::sleep(CHECK_INTERVAL);
                }
                self.kill(verdict);
                self.start_again();
            }
        }
    }

    /// Watches the process for that long.
    pub fn watch(&mut self, time: Duration, verdict: &mut Verdict) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.look(verdict);
            thread::sleep(CHECK_INTERVAL);
            if !self.is_running() {
                verdict
                    .ended
                    .push(format!("ended by itself: {:?}", self.child.wait()));
                return self.start_again();
            }
        }
    }

    fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("its state").is_none()
    }

    /// Notes how much memory and how many descriptors it holds, unless it has just ended.
    fn look(&self, verdict: &mut Verdict) {
        let id = self.child.id();
        if let Some(peak) = peak_memory_kb(id) {
            verdict.peak_memory_kb = verdict.peak_memory_kb.max(peak);
        }
        if let Ok(held) = std::fs::read_dir(format!("/proc/{id}/fd")) {
            verdict.most_descriptors = verdict.most_descriptors.max(held.count());
        }
    }

    fn kill(&mut self, verdict: &mut Verdict) {
        self.look(verdict);
        self.process.kills.fetch_add(1, Ordering::SeqCst);
        self.process.set_connects_until(Some(Instant::now()));
        self.child.kill().expect("it can be killed");
        self.child.wait().expect("its status");
    }

    fn start_again(&mut self) {
        thread::sleep(DOWN_TIME);
        self.child = spawn(&self.config, self.plan.descriptors);
        self.wait_until_ready();
        self.process.set_connects_until(None);
    }

    fn wait_until_ready(&self) {
        let address = self.process.address;
        wait_until("the sidecar is up", || {
            let Ok(mut stream) = TcpStream::connect(address) else {
                return false;
            };
            let sent =
                std::io::Write::write_all(&mut stream, b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
            let answer = read_message_within(&mut stream, Duration::from_secs(1));
            sent.is_ok() && answer.is_some_and(|answer| answer.status() == 200)
        });
    }

    fn kill_with(&self, signal: &str) {
        let id = self.child.id().to_string();
        // It may have ended, which is noticed elsewhere.
        let _ = Command::new("kill").args([signal, &id]).status();
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

fn spawn(config: &PathBuf, descriptors: u32) -> Child {
    // The limit of the system is a little higher, so that one too many is seen and not refused.
    let granted = descriptors + 64;
    let mut command = Command::new("/bin/sh");
    command
        .args(["-c", &format!("ulimit -n {granted}; exec \"$0\"")])
        .arg(env!("CARGO_BIN_EXE_sidecar"))
        .env("LB_CONFIG", config)
        .stdin(Stdio::null())
        .stderr(Stdio::null());
    command.spawn().expect("the sidecar starts")
}

/// The most memory that a process has held, in KiB; `None` once it has ended.
fn peak_memory_kb(id: u32) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
    peak.trim().strip_suffix(" kB")?.parse().ok()
}
