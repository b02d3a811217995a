//! A start of the program with a configuration, and its result.

use crate::stubs::*;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Instant;

/// The result of a start, with the line by which it was rejected.
#[derive(Debug, PartialEq)]
pub enum Start {
    Refused(String),
    Serving,
}

/// Starts the program with this text; returns its result within a limited time.
pub fn start(text: &str, listen: SocketAddr) -> Start {
    let path = config_file(text);
    let said = config_file("");
    let mut command = Command::new(env!("CARGO_BIN_EXE_sidecar"));
    command
        .env("LB_CONFIG", &path)
        .env_remove("LB_LISTEN")
        .env_remove("LB_DISCOVERY");
    command
        .stdin(Stdio::null())
        .stderr(File::create(&said).expect("a file"));
    let mut process = Running(command.spawn().expect("it starts"));
    let up = || {
        let mut stream = std::net::TcpStream::connect(listen).ok()?;
        stream
            .write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            .ok()?;
        read_message(&mut stream)
    };
    let until = Instant::now() + TEST_TIMEOUT;
    let started = loop {
        if let Some(status) = process.0.try_wait().expect("it can be asked") {
            let said = std::fs::read_to_string(&said).expect("text");
            assert_eq!(status.code(), Some(1), "{text}: {said}");
            assert!(
                said.starts_with("sidecar: ") && said.lines().count() == 1,
                "{text}: {said}"
            );
            break Start::Refused(said);
        }
        if up().is_some_and(|m| m.status() == 200) {
            let mut stream = std::net::TcpStream::connect(listen).expect("it accepts");
            let ask = request("look", "", "").replace("19000m", "1000m");
            stream
                .write_all(ask.as_bytes())
                .expect("it takes a request");
            assert!(
                read_message(&mut stream).is_some(),
                "no answer under {text}"
            );
            assert_eq!(
                process.0.try_wait().expect("it can be asked"),
                None,
                "{text}"
            );
            break Start::Serving;
        }
        assert!(Instant::now() < until, "neither up nor ended: {text}");
    };
    let _ = (std::fs::remove_file(path), std::fs::remove_file(said));
    started
}

/// A process that is killed at the end of its test.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}
