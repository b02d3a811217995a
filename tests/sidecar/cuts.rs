//! A request that may not be repeated, whose connection ends at every byte of the request and of
//! the answer.

use crate::stubs::*;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Answers between two cuts: with fewer, the endpoints' circuits would open.
const GOOD_BETWEEN: usize = 6;

/// How an endpoint treats the next request.
#[derive(Clone, Copy)]
enum Mode {
    /// It answers.
    Good,
    /// It reads so many bytes of it and resets the connection.
    CutRequest(usize),
    /// It writes so many bytes of this answer, and resets or closes the connection.
    CutAnswer(&'static str, usize, End),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Reset,
    Close,
}

/// Endpoints that behave alike.
struct Cutters {
    state: Arc<Mutex<(Mode, usize)>>,
}

impl Cutters {
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

    /// Treats requests like this from now on.
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
        .set_read_timeout(Some(LONG))
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
                // A short request comes in one fragment here.
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

/// Sends one unsafe request to endpoints of that mode, and then good ones; returns the status, and
/// how many endpoints it began to arrive at.
fn ask(sidecar: &Sidecar, cutters: &Cutters, mode: Mode) -> (u16, usize) {
    cutters.set(mode);
    let status = sidecar
        .ask(&request("book", "", "{}"))
        .expect("an answer")
        .status();
    let begun = cutters.begun();
    cutters.set(Mode::Good);
    for _ in 0..GOOD_BETWEEN {
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

fn sidecar(cutters: &Cutters) -> (Discovery, Sidecar) {
    let discovery = Discovery::start();
    let sidecar = Sidecar::start(&discovery, &[]);
    let both = [
        ("s-1", cutters.start(), "active"),
        ("s-2", cutters.start(), "active"),
    ];
    discovery.publish(2, list(2, false, &both));
    discovery.await_watch(2);
    (discovery, sidecar)
}

// Its bytes have all been written by then: whatever of them was read, it may have run.
#[test]
fn an_unsafe_request_reset_at_any_of_its_bytes_is_sent_once() {
    let cutters = Cutters::new();
    let (_discovery, sidecar) = sidecar(&cutters);
    // Longer than the request by some.
    for length in 1..300 {
        assert_eq!(
            ask(&sidecar, &cutters, Mode::CutRequest(length)),
            (502, 1),
            "after {length} bytes"
        );
    }
}

#[test]
fn an_unsafe_request_whose_answer_ends_at_any_byte_is_sent_once() {
    let cutters = Cutters::new();
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
                // Without a length, what has come up to a close is the answer; a reset is no end.
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
