//! A sidecar that is told to stop in the middle of something.

use super::message::{await_close, read_message};
use super::sidecar::Sidecar;
use std::io::Write;
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A connection on which one request has been answered.
pub fn resting(sidecar: &Sidecar) -> TcpStream {
    let mut stream = sidecar.connect();
    stream
        .write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        .expect("the sidecar takes it");
    assert_eq!(read_message(&mut stream).expect("an answer").status(), 200);
    stream
}

/// Something that is about to tell a sidecar to stop.
pub struct Stopping {
    idle: TcpStream,
    process: Child,
}

impl Stopping {
    /// Tells that sidecar, once it is to.
    pub fn prepare(sidecar: &Sidecar) -> Self {
        let script = format!("read line && kill -TERM {}", sidecar.process.id());
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &script]).stdin(Stdio::piped());
        Self {
            idle: resting(sidecar),
            process: command.spawn().expect("a shell starts"),
        }
    }

    /// Tells it, and waits until it has heard of that: it closes resting connections then.
    pub fn stop(mut self) {
        let mut line = self.process.stdin.take().expect("it is a pipe");
        line.write_all(b"\n").expect("the shell reads it");
        assert!(self.process.wait().expect("it ends").success());
        assert!(
            await_close(&mut self.idle),
            "an idle connection stayed open"
        );
    }
}

/// Tells a sidecar to stop, and waits until it has heard of that.
pub fn stop(sidecar: &Sidecar) {
    Stopping::prepare(sidecar).stop();
}

/// Half of the time that a sidecar has patience: the rest is its own.
pub const PATIENCE: Duration = Duration::from_millis(250);

/// Tries an order of events until it came about within the time that a sidecar waits for it, which
/// the try tells. On a busy machine a try may take longer, and shows nothing then.
pub fn in_time(attempt: impl Fn() -> bool) {
    assert!(
        (0..40).any(|_| attempt()),
        "the machine is too busy for this"
    );
}
