//! Shutdowns of a sidecar while something is in progress.

use super::message::{read_message, wait_for_close};
use super::sidecar::Sidecar;
use std::io::Write;
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A connection on which one request has been answered.
pub fn idle_connection(sidecar: &Sidecar) -> TcpStream {
    let mut stream = sidecar.connect();
    stream
        .write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        .expect("the sidecar takes it");
    assert_eq!(read_message(&mut stream).expect("an answer").status(), 200);
    stream
}

/// A process that will signal a sidecar to shut down.
pub struct PendingShutdown {
    idle: TcpStream,
    process: Child,
}

impl PendingShutdown {
    /// Prepares to signal that sidecar.
    pub fn prepare(sidecar: &Sidecar) -> Self {
        let script = format!("read line && kill -TERM {}", sidecar.process.id());
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &script]).stdin(Stdio::piped());
        Self {
            idle: idle_connection(sidecar),
            process: command.spawn().expect("a shell starts"),
        }
    }

    /// Signals it, and waits until it has noticed, as it then closes idle connections.
    pub fn stop(mut self) {
        let mut line = self.process.stdin.take().expect("it is a pipe");
        line.write_all(b"\n").expect("the shell reads it");
        assert!(self.process.wait().expect("it ends").success());
        assert!(
            wait_for_close(&mut self.idle),
            "an idle connection stayed open"
        );
    }
}

/// Signals a sidecar to shut down, and waits until it has noticed.
pub fn stop(sidecar: &Sidecar) {
    PendingShutdown::prepare(sidecar).stop();
}

/// Half of the sidecar's grace period; leaves the rest for the sidecar.
pub const HALF_GRACE_PERIOD: Duration = Duration::from_millis(250);

/// Repeats a sequence of events until it was completed within the sidecar's grace period, which the
/// attempt reports. On a busy machine an attempt may take too long and show nothing.
pub fn repeat_until_in_time(attempt: impl Fn() -> bool) {
    assert!(
        (0..40).any(|_| attempt()),
        "the machine is too busy for this"
    );
}
