//! A sidecar with a product configuration, and its output.

use crate::stubs::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

pub fn served() -> Reply {
    Reply::Answer(200, "", b"served".to_vec())
}

/// A product configuration file.
pub struct File(pub PathBuf);

impl File {
    pub fn new(text: &str) -> Self {
        Self(config_file(text))
    }

    /// Writes in place, as some editors do.
    pub fn write(&self, text: &str) {
        std::fs::write(&self.0, text).expect("the file can be written");
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// The standard error of a sidecar so far.
#[derive(Clone, Default)]
pub struct Said(Arc<Mutex<String>>);

impl Said {
    pub fn text(&self) -> String {
        self.0.lock().expect("no reader panics").clone()
    }

    pub fn count(&self, words: &str) -> usize {
        self.text().matches(words).count()
    }
}

/// Starts a sidecar with a product configuration, and reads its standard error.
pub fn start(discovery: &Discovery, endpoint: &Endpoint, file: &File) -> (Sidecar, Said) {
    start_named("", discovery, endpoint, file)
}

pub fn start_named(
    name: &str,
    discovery: &Discovery,
    endpoint: &Endpoint,
    file: &File,
) -> (Sidecar, Said) {
    let mut sidecar = start_piped(name, discovery, endpoint, &file.0);
    let (said, mut pipe) = (
        Said::default(),
        sidecar.process.stderr.take().expect("it is a pipe"),
    );
    let into = said.clone();
    thread::spawn(move || {
        let mut bytes = [0; 4096];
        while let Ok(length @ 1..) = pipe.read(&mut bytes) {
            into.0
                .lock()
                .expect("no reader panics")
                .push_str(&String::from_utf8_lossy(&bytes[..length]));
        }
    });
    (sidecar, said)
}

pub fn start_piped(name: &str, discovery: &Discovery, endpoint: &Endpoint, file: &Path) -> Sidecar {
    Sidecar::start_adapted(
        discovery,
        &[("s-1", endpoint)],
        1024,
        |c| c,
        |command| {
            command
                .arg("--config")
                .arg(file)
                .env("LB_NAME", name)
                .stderr(Stdio::piped());
        },
    )
}

pub fn ask(sidecar: &Sidecar) -> u16 {
    sidecar
        .ask(&request("look", "", ""))
        .expect("an answer")
        .status()
}

pub fn run(args: &[&str], variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sidecar"));
    command
        .args(args)
        .env_remove("LB_CONFIG")
        .envs(variables.iter().copied())
        .stdin(Stdio::null());
    command.output().expect("it starts")
}

/// Reads a page at the metrics address; empty if the reader is rejected.
pub fn page(at: SocketAddr, path: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(at) else {
        return String::new();
    };
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out can be set");
    let mut text = String::new();
    if stream
        .write_all(format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes())
        .is_ok()
    {
        let _ = stream.read_to_string(&mut text);
    }
    text
}

pub fn metrics(at: SocketAddr, more: &str) -> String {
    format!("[metrics]\nenabled = true\naddress = \"{at}\"\n{more}")
}
