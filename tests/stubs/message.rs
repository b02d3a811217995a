//! HTTP messages as the stubs read and write them.

use super::TEST_TIMEOUT;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A received HTTP message.
#[derive(Clone, Debug)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .expect("a status line")
    }
}

/// Reads one message; `None` if the peer has closed or reset the connection, or was silent for too
/// long.
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
    read_message_within(stream, TEST_TIMEOUT)
}

/// As above, with a limit on silence.
pub fn read_message_within(stream: &mut TcpStream, silence: Duration) -> Option<Message> {
    stream
        .set_read_timeout(Some(silence))
        .expect("a time-out can be set");
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(0) => return None,
            Ok(_) => head.push(byte[0]),
            // The system does not restart a read with a timeout after a signal.
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
    let head = String::from_utf8(head).expect("heads are text");
    let mut lines = head.lines();
    let start = lines.next()?.to_owned();
    let pairs = lines.filter_map(|l| l.split_once(": "));
    let headers: Vec<_> = pairs.map(|(n, v)| (n.to_owned(), v.to_owned())).collect();
    let mut message = Message {
        start,
        headers,
        body: Vec::new(),
    };
    let length = message
        .header("content-length")
        .map_or(0, |v| v.parse().expect("a length"));
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Writes a response.
pub fn answer(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) {
    let head = format!(
        "HTTP/1.1 {status} stub\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let whole: Vec<u8> = head.bytes().chain(body.iter().copied()).collect();
    // The sidecar may have closed the connection.
    let _ = stream.write_all(&whole);
}

/// A request of a class, with further headers and a body.
pub fn request(class: &str, headers: &str, body: &str) -> String {
    let (method, key) = match class {
        "look" => ("GET", ""),
        "pay" => ("POST", "Idempotency-Key: 5c0f6e1a\r\n"),
        _ => ("POST", ""),
    };
    format!(
        "{method} /api?site=4 HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: 9b1f03aa\r\n\
         X-Service-Class: {class}\r\nX-Account: acme\r\nX-Time-Left: 19000m\r\n{key}{headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A request of a class with an id of its own. The ids of [`request`] are all the same.
pub fn request_of(id: &str, class: &str, body: &str) -> String {
    request(class, "", body).replace("9b1f03aa", id)
}

/// Waits until the peer has closed the connection.
pub fn wait_for_close(stream: &mut TcpStream) -> bool {
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out can be set");
    let mut rest = [0; 1024];
    loop {
        match stream.read(&mut rest) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }
}
