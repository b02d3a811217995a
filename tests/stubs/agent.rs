//! A discovery agent under the test's control: each call waits until the test answers it.

use super::TEST_TIMEOUT;
use super::discovery::Discovery;
use super::endpoint::Endpoint;
use super::message::{Message, answer, read_message};
use super::sidecar::Sidecar;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

/// An agent that passes its calls to the test, in order.
pub struct Agent {
    pub address: SocketAddr,
    calls: Mutex<Receiver<Call>>,
}

/// A call that waits for its answer. Dropping it closes the connection without one.
pub struct Call {
    /// Its request line.
    pub start: String,
    pub stream: TcpStream,
    calls: Sender<Call>,
}

impl Agent {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (sender, calls) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                read_next(stream, sender.clone());
            }
        });
        Self {
            address,
            calls: Mutex::new(calls),
        }
    }

    /// The next call.
    pub fn call(&self) -> Call {
        self.call_within(TEST_TIMEOUT).expect("no call came")
    }

    /// The next call, if one arrives within that time.
    pub fn call_within(&self, time: Duration) -> Option<Call> {
        self.calls
            .lock()
            .expect("no stub panics")
            .recv_timeout(time)
            .ok()
    }

    /// Starts a sidecar that follows this agent and knows these endpoints as version 1 of the list;
    /// `mode` is the setting of how lists are delivered.
    pub fn sidecar(&self, mode: &str, endpoints: &[(&str, &Endpoint)]) -> Sidecar {
        self.sidecar_altered(endpoints, |config| config.replace("on_request", mode))
    }

    /// As above, with a modified configuration.
    pub fn sidecar_altered(
        &self,
        endpoints: &[(&str, &Endpoint)],
        alter: impl Fn(String) -> String,
    ) -> Sidecar {
        self.sidecar_adapted(endpoints, alter, |_| {})
    }

    /// As above, with a modified command.
    pub fn sidecar_adapted(
        &self,
        endpoints: &[(&str, &Endpoint)],
        alter: impl Fn(String) -> String,
        adapt: impl FnOnce(&mut Command),
    ) -> Sidecar {
        self.start_sidecar(endpoints, 1024, alter, adapt)
    }

    /// Starts a sidecar whose limit of file descriptors differs from the configured one.
    pub fn sidecar_granted(
        &self,
        endpoints: &[(&str, &Endpoint)],
        granted: u32,
        told: u32,
    ) -> Sidecar {
        let told = format!("\"sockets\":{told}");
        self.start_sidecar(
            endpoints,
            granted,
            |config| config.replace("\"sockets\":1024", &told),
            |_| {},
        )
    }

    fn start_sidecar(
        &self,
        endpoints: &[(&str, &Endpoint)],
        granted: u32,
        alter: impl Fn(String) -> String,
        adapt: impl FnOnce(&mut Command),
    ) -> Sidecar {
        let (nobody, at) = (Discovery::start(), self.address.to_string());
        let here = |config: String| alter(config.replace(&nobody.address.to_string(), &at));
        Sidecar::start_adapted(&nobody, endpoints, granted, here, |command| {
            adapt(command.env("LB_DISCOVERY", &at));
        })
    }
}

impl Call {
    /// The version after which changes are requested; `None` if the whole list is.
    pub fn after(&self) -> Option<u64> {
        self.field("after")
    }

    /// How long the agent may wait for changes, in milliseconds.
    pub fn wait_ms(&self) -> Option<u64> {
        self.field("wait_ms")
    }

    fn field(&self, name: &str) -> Option<u64> {
        let (_, query) = self.start.split_once('?')?;
        let value = query
            .split(['&', ' '])
            .find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
        value?.parse().ok()
    }

    /// Answers the call, and reads the next one from the same connection.
    pub fn answer(self, body: &str) {
        self.answer_as(200, "", body);
    }

    /// As above, with a status and headers.
    pub fn answer_as(mut self, status: u16, headers: &str, body: &str) {
        answer(&mut self.stream, status, headers, body.as_bytes());
        read_next(self.stream, self.calls);
    }

    /// Answers the call with these bytes, and reads the next one from the same connection.
    pub fn answer_raw(mut self, bytes: &[u8]) {
        // The sidecar may have closed the connection.
        let _ = self.stream.write_all(bytes);
        read_next(self.stream, self.calls);
    }

    /// Resets the connection.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.stream);
        socket
            .set_linger(Some(Duration::ZERO))
            .expect("a socket may be reset");
    }
}

/// Passes on the next request of a connection as a call.
fn read_next(mut stream: TcpStream, calls: Sender<Call>) {
    thread::spawn(move || {
        if let Some(Message { start, .. }) = read_message(&mut stream) {
            // The test may have ended.
            let _ = calls.clone().send(Call {
                start,
                stream,
                calls,
            });
        }
    });
}
