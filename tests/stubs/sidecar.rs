//! A sidecar process and its configuration.

use super::discovery::{Discovery, list};
use super::endpoint::Endpoint;
use super::message::{Message, read_message, read_message_within};
use super::{LOCALHOST, Reserved, STARTED, TEST_TIMEOUT, wait_until};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// The settings of these tests. Classes: `look` (idempotent), `book` (non-idempotent), `pay`
/// (idempotent by key).
pub const SETTINGS: &str = r#"{"Balancers":1,"Discovery":"on_request","Index":0,
"Lanes":[{"AimUs":8000000,"DeadlineUs":20000000,"Effect":"pure","Name":"look"},
{"AimUs":8000000,"DeadlineUs":20000000,"Effect":"side_effect","Name":"book"},
{"AimUs":8000000,"DeadlineUs":20000000,"DedupScope":"all","Effect":"token","KeyTtlUs":5000000,"Name":"pay"}],
"Limits":{"DialTimeoutUs":5000000,"IdleCloseUs":2000000,"MaxAttempts":3,"MayCancel":true,"MayDuplicate":true},
"Rules":{"AskWithinUs":2000000,"ColdShare":0.3,"OverloadFactor":3.0,"TipAfterUs":1500000,"WarmWithinUs":8900000},
"Tenants":[{"Name":"acme","QuotaPerS":98.0,"Share":1.0}],"TickUs":5000,"WeightSource":"nominal","Zone":"a","Zones":["a"]}"#;

/// Interval of checks of a process.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout of one check of a starting sidecar, so that a lost connection costs only one check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// A sidecar process.
pub struct Sidecar {
    pub address: SocketAddr,
    pub process: Child,
    config: PathBuf,
    /// Keeps its address reserved while it is down.
    _reserved: Reserved,
}

/// Writes a configuration file of its own.
pub fn config_file(text: &str) -> PathBuf {
    let number = STARTED.fetch_add(1, Ordering::SeqCst);
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).expect("the file can be written");
    path
}

/// The configuration of a sidecar.
pub fn config(listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{SETTINGS}}}"#
    )
}

impl Sidecar {
    /// Starts a sidecar that knows these endpoints as version 1 of the list.
    pub fn start(discovery: &Discovery, endpoints: &[(&str, &Endpoint)]) -> Self {
        Self::start_with(discovery, endpoints, 1024, 1024)
    }

    /// As above, with a limit of file descriptors set in the system and one in the configuration.
    pub fn start_with(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        granted: u32,
        told: u32,
    ) -> Self {
        let told = format!("\"sockets\":{told}");
        Self::start_altered(discovery, endpoints, granted, |config| {
            config.replace("\"sockets\":1024", &told)
        })
    }

    /// As above, with a modified configuration.
    pub fn start_altered(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        granted: u32,
        alter: impl Fn(String) -> String,
    ) -> Self {
        Self::start_adapted(discovery, endpoints, granted, alter, |_| {})
    }

    /// As above, with a modified command: its arguments, variables and streams.
    pub fn start_adapted(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        granted: u32,
        alter: impl Fn(String) -> String,
        adapt: impl FnOnce(&mut Command),
    ) -> Self {
        let known: Vec<_> = endpoints
            .iter()
            .map(|(name, e)| (*name, e.address, "active"))
            .collect();
        let reserved = Reserved::on(LOCALHOST);
        let address = reserved.address;
        let config = config(address, discovery.address, &list(1, true, &known));
        let config = config_file(&alter(config));
        let mut command = Command::new("/bin/sh");
        command
            .args([
                "-c",
                &format!("ulimit -n {granted}; exec \"$0\" \"$@\""),
                env!("CARGO_BIN_EXE_sidecar"),
            ])
            .env("LB_CONFIG", &config)
            .env("LB_LISTEN", address.to_string())
            .env("LB_DISCOVERY", discovery.address.to_string())
            .stdin(Stdio::null());
        adapt(&mut command);
        let process = command.spawn().expect("the sidecar starts");
        let mut sidecar = Self {
            address,
            process,
            config,
            _reserved: reserved,
        };
        sidecar.wait_until_ready();
        sidecar
    }

    /// Waits until it is ready; fails if it has exited.
    fn wait_until_ready(&mut self) {
        let until = Instant::now() + TEST_TIMEOUT;
        while self.up().is_none_or(|answer| answer.status() != 200) {
            let ended = self.process.try_wait().expect("its state");
            assert!(
                ended.is_none(),
                "the sidecar at {} ended as it started: {ended:?}",
                self.address
            );
            assert!(
                Instant::now() < until,
                "it never came that the sidecar is up"
            );
            thread::sleep(CHECK_INTERVAL);
        }
    }

    fn up(&self) -> Option<Message> {
        let mut stream = TcpStream::connect_timeout(&self.address, CHECK_TIMEOUT).ok()?;
        stream
            .write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            .ok()?;
        read_message_within(&mut stream, CHECK_TIMEOUT)
    }

    /// Waits until its process has exited.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = self.process.try_wait().expect("its state") {
                return status;
            }
            assert!(
                Instant::now() < until,
                "it never came that the sidecar ends"
            );
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Sends one request on a connection of its own.
    pub fn ask(&self, request: &str) -> Option<Message> {
        let mut stream = self.connect();
        stream
            .write_all(request.as_bytes())
            .expect("the sidecar takes it");
        read_message(&mut stream)
    }

    pub fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).expect("the sidecar accepts")
    }

    /// A client whose system buffers only a few KiB of answers.
    pub fn connect_with_small_buffer(&self) -> TcpStream {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(4096).expect("it can be small");
        socket
            .connect(&self.address.into())
            .expect("the sidecar accepts");
        socket.into()
    }

    /// Number of file descriptors of the process.
    pub fn descriptors(&self) -> usize {
        let held = std::fs::read_dir(format!("/proc/{}/fd", self.process.id()));
        held.expect("the process is there").count()
    }

    /// The most memory that the process has held so far, in KiB.
    pub fn peak_memory_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id()));
        let status = status.expect("the process is there");
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let peak = peak.expect("the process has not ended");
        let number = peak.trim().strip_suffix(" kB").map(str::parse);
        number.expect("a number").expect("a number")
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Kills it and reads what it wrote to its piped standard error.
    pub fn stop_and_read_log(&mut self) -> String {
        let mut log = self.process.stderr.take().expect("it is a pipe");
        self.process.kill().expect("it runs");
        let mut said = String::new();
        log.read_to_string(&mut said).expect("text");
        said
    }

    /// Replaces its configuration file and tells it to reload.
    pub fn reconfigure(&self, alter: impl Fn(String) -> String) {
        let text = std::fs::read_to_string(&self.config).expect("the file is there");
        std::fs::rename(config_file(&alter(text)), &self.config).expect("the file can be replaced");
        self.signal("-HUP");
    }

    /// Suspends the process.
    pub fn stop(&self) {
        self.signal("-STOP");
        let state = format!("/proc/{}/stat", self.process.id());
        wait_until("it has stopped", || {
            std::fs::read_to_string(&state).is_ok_and(|line| line.contains("(sidecar) T "))
        });
    }

    pub fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        assert!(
            Command::new("kill")
                .args([name, &id])
                .status()
                .expect("kill runs")
                .success()
        );
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}
