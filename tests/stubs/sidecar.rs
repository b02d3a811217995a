//! A sidecar's process and its configuration.

use super::discovery::{Discovery, list};
use super::endpoint::Endpoint;
use super::message::{Message, read_message, read_message_within};
use super::{LOCALHOST, LONG, Reserved, STARTED, await_that};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// The settings of these tests. Classes: `look` (safe), `book` (unsafe), `pay` (keyed).
pub const SETTINGS: &str = r#"{"Balancers":1,"Discovery":"on_request","Index":0,
"Lanes":[{"AimUs":8000000,"DeadlineUs":20000000,"Effect":"pure","Name":"look"},
{"AimUs":8000000,"DeadlineUs":20000000,"Effect":"side_effect","Name":"book"},
{"AimUs":8000000,"DeadlineUs":20000000,"DedupScope":"all","Effect":"token","KeyTtlUs":5000000,"Name":"pay"}],
"Limits":{"DialTimeoutUs":5000000,"IdleCloseUs":2000000,"MaxAttempts":3,"MayCancel":true,"MayDuplicate":true},
"Rules":{"AskWithinUs":2000000,"ColdShare":0.3,"OverloadFactor":3.0,"TipAfterUs":1500000,"WarmWithinUs":8900000},
"Tenants":[{"Name":"acme","QuotaPerS":98.0,"Share":1.0}],"TickUs":5000,"WeightSource":"nominal","Zone":"a","Zones":["a"]}"#;

/// Pause between two looks at a process.
const LOOK: Duration = Duration::from_millis(5);
/// How long one look at a sidecar that starts may take, so that a connection that is lost costs one
/// look alone.
const LOOK_WITHIN: Duration = Duration::from_secs(1);

/// A sidecar's process.
pub struct Sidecar {
    pub address: SocketAddr,
    pub process: Child,
    config: PathBuf,
    /// Its address stays its own while it is down.
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

/// A sidecar's configuration.
pub fn config(listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{SETTINGS}}}"#
    )
}

impl Sidecar {
    /// Starts one that knows these endpoints, as version 1 of the list.
    pub fn start(discovery: &Discovery, endpoints: &[(&str, &Endpoint)]) -> Self {
        Self::start_with(discovery, endpoints, 1024, 1024)
    }

    /// The same with so many file descriptors that the system grants it, and that it is told of.
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

    /// The same with a configuration that is altered first.
    pub fn start_altered(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        granted: u32,
        alter: impl Fn(String) -> String,
    ) -> Self {
        Self::start_adapted(discovery, endpoints, granted, alter, |_| {})
    }

    /// The same with a process that is adapted first: its arguments, variables and streams.
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
        sidecar.await_up();
        sidecar
    }

    /// Waits until it says that it is ready, which one that has ended never does.
    fn await_up(&mut self) {
        let until = Instant::now() + LONG;
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
            thread::sleep(LOOK);
        }
    }

    fn up(&self) -> Option<Message> {
        let mut stream = TcpStream::connect_timeout(&self.address, LOOK_WITHIN).ok()?;
        stream
            .write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            .ok()?;
        read_message_within(&mut stream, LOOK_WITHIN)
    }

    /// Waits until its process has ended by itself.
    pub fn await_end(&mut self) -> ExitStatus {
        let until = Instant::now() + LONG;
        loop {
            if let Some(status) = self.process.try_wait().expect("its state") {
                return status;
            }
            assert!(
                Instant::now() < until,
                "it never came that the sidecar ends"
            );
            thread::sleep(LOOK);
        }
    }

    /// One request on a connection of its own.
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

    /// Descriptors that the process holds.
    pub fn descriptors(&self) -> usize {
        let held = std::fs::read_dir(format!("/proc/{}/fd", self.process.id()));
        held.expect("the process is there").count()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Ends it and reads what it wrote to its piped standard error.
    pub fn stop_and_read_log(&mut self) -> String {
        let mut log = self.process.stderr.take().expect("it is a pipe");
        self.process.kill().expect("it runs");
        let mut said = String::new();
        log.read_to_string(&mut said).expect("text");
        said
    }

    /// Puts another text in the place of its configuration file and tells it so.
    pub fn reconfigure(&self, alter: impl Fn(String) -> String) {
        let text = std::fs::read_to_string(&self.config).expect("the file is there");
        std::fs::rename(config_file(&alter(text)), &self.config).expect("the file can be replaced");
        self.signal("-HUP");
    }

    /// Stops the process until it is told to go on.
    pub fn stop(&self) {
        self.signal("-STOP");
        let state = format!("/proc/{}/stat", self.process.id());
        await_that("it has stopped", || {
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
