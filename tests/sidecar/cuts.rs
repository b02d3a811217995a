//! A non-idempotent request whose connection ends at each byte of the request and of the response.

use crate::stubs::*;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Successful requests between two failures; with fewer, the endpoints' circuits would open.
const SUCCESSES_BETWEEN_FAILURES: usize = 6;

/// How an endpoint handles the next request.
#[derive(Clone, Copy)]
enum Mode {
    /// It responds.
    Good,
    /// It reads that many bytes of the request and resets the connection.
    CutRequest(usize),
    /// It writes that many bytes of this response, and resets or closes the connection.
    CutAnswer(&'static str, usize, End),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Reset,
    Close,
}

/// Endpoints with the same behaviour.
struct FailingEndpoints {
    state: Arc<Mutex<(Mode, usize)>>,
}

impl FailingEndpoints {
    fn new() -> Self {
        Self {
            state: Arc::new(Mutex::new((Mode::Good, 0))),
        }
    }

    fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = self.state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = state.clone();
                thread::spawn(move || serve(stream, &state));
            }
        });
        address
    }

    /// Sets the handling of requests from now on.
    fn set(&self, mode: Mode) {
        *self.state.lock().expect("no stub panics") = (mode, 0);
    }

    /// Requests that began to arrive since then.
    fn begun(&self) -> usize {
        self.state.lock().expect("no stub panics").1
    }
}

fn serve(mut stream: TcpStream, state: &Mutex<(Mode, usize)>) {
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out can be set");
    while stream.peek(&mut [0]).is_ok_and(|n| n > 0) {
        let mode = {
            let mut state = state.lock().expect("no stub panics");
            state.1 += 1;
            state.0
        };
        let end = match mode {
            Mode::Good => {
                if read_message(&mut stream).is_none() {
                    return;
                }
                answer(&mut stream, 200, "", b"served");
                continue;
            }
            Mode::CutRequest(length) => {
                // A short request arrives in one segment here.
                let _ = stream.read(&mut vec![0; length]);
                End::Reset
            }
            Mode::CutAnswer(text, length, end) => {
                read_message(&mut stream);
                let _ = stream.write_all(&text.as_bytes()[..length]);
                end
            }
        };
        if end == End::Reset {
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .expect("it can be reset");
        }
        return;
    }
}

/// Sends one non-idempotent request to endpoints in that mode, and then successful ones; returns
/// the status, and at how many endpoints the request began to arrive.
fn ask(sidecar: &Sidecar, cutters: &FailingEndpoints, mode: Mode) -> (u16, usize) {
    cutters.set(mode);
    let status = sidecar
        .ask(&request("book", "", "{}"))
        .expect("an answer")
        .status();
    let begun = cutters.begun();
    cutters.set(Mode::Good);
    for _ in 0..SUCCESSES_BETWEEN_FAILURES {
        assert_eq!(
            sidecar
                .ask(&request("book", "", "{}"))
                .expect("an answer")
                .status(),
            200
        );
    }
    (status, begun)
}

fn sidecar(cutters: &FailingEndpoints) -> (Discovery, Sidecar) {
    let discovery = Discovery::start();
    let sidecar = Sidecar::start(&discovery, &[]);
    let both = [
        ("s-1", cutters.start(), "active"),
        ("s-2", cutters.start(), "active"),
    ];
    discovery.publish(2, list(2, false, &both));
    discovery.wait_for_watch(2);
    (discovery, sidecar)
}

// All of its bytes were written by then: it may have been executed, whatever was read.
#[test]
fn a_non_idempotent_request_reset_at_any_byte_is_sent_once() {
    let cutters = FailingEndpoints::new();
    let (_discovery, sidecar) = sidecar(&cutters);
    // A little longer than the request.
    for length in 1..300 {
        assert_eq!(
            ask(&sidecar, &cutters, Mode::CutRequest(length)),
            (502, 1),
            "after {length} bytes"
        );
    }
}

#[test]
fn a_non_idempotent_request_whose_response_ends_at_any_byte_is_sent_once() {
    let cutters = FailingEndpoints::new();
    let (_discovery, sidecar) = sidecar(&cutters);
    for (text, unframed) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved", false),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n0\r\n\r\n",
            false,
        ),
        ("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nserved", true),
        (
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved",
            false,
        ),
        (
            "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 4\r\n\r\nfull",
            false,
        ),
        (
            "HTTP/1.1 504 Late\r\nX-Unprocessed: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
            false,
        ),
    ] {
        let head = text.rfind("\r\n\r\nserved").map_or(text.len(), |at| at + 4);
        for end in [End::Reset, End::Close] {
            for length in 0..text.len() + usize::from(unframed && end == End::Reset) {
                // Without a length, a close ends the response and a reset does not.
                let whole = unframed && end == End::Close && length >= head;
                let seen = ask(&sidecar, &cutters, Mode::CutAnswer(text, length, end));
                assert_eq!(
                    seen,
                    (if whole { 200 } else { 502 }, 1),
                    "{text:?} {end:?} after {length}"
                );
            }
        }
    }
}
