//! Clients that do not keep the protocol.

use crate::fleet::Requests;
use crate::plan::Crowd;
use crate::signals::Process;
use crate::stubs::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Most connections of a crowd: this process needs as many descriptors.
const MAX_SIZE: usize = 200;
/// How long a wave of connections is kept.
const WAVE: Duration = Duration::from_millis(600);
/// Between two small writes or reads.
const STEP: Duration = Duration::from_millis(2);
/// What an idle client asks once.
const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
/// Length of a large body.
const LARGE: usize = 60_000;

/// Behaves as a crowd until it is stopped.
pub fn run(
    crowd: Crowd,
    descriptors: u32,
    process: &Process,
    requests: &Requests,
    stopped: &Arc<AtomicBool>,
) {
    let size = (descriptors as usize / 3).min(MAX_SIZE);
    for wave in 0.. {
        if stopped.load(Ordering::SeqCst) || crowd == Crowd::Absent {
            return;
        }
        let size = match crowd {
            Crowd::Flood => 1,
            Crowd::Leave => size / 8,
            // More than there are places.
            Crowd::Idle => (descriptors as usize / 2).min(MAX_SIZE),
            _ => size,
        };
        let clients: Vec<_> = (0..size).map_while(|_| process.connect()).collect();
        if clients.is_empty() {
            // The process is down.
            thread::sleep(STEP);
            continue;
        }
        match crowd {
            Crowd::Absent => {}
            Crowd::WriteSlowly => write_slowly(&clients),
            Crowd::Stop => stop_half_way(&clients),
            Crowd::ManyFields => send_to_all(&clients, &many_fields(wave)),
            Crowd::ReadSlowly => {
                send_to_all(&clients, &request("look", "X-Large: 1\r\n", "").repeat(20))
            }
            Crowd::Idle => be_idle(clients, process, stopped),
            Crowd::Flood => flood(clients),
            Crowd::Leave => leave(clients, wave, requests),
        }
    }
}

fn large_request() -> String {
    request_of("crowd", "book", &"b".repeat(LARGE))
}

fn write_slowly(clients: &[TcpStream]) {
    let text = large_request();
    let head = text.find("\r\n\r\n").expect("a head") + 4;
    for client in clients {
        write_some(client, &text.as_bytes()[..head]);
    }
    let began = Instant::now();
    while began.elapsed() < WAVE {
        for client in clients {
            write_some(client, b"bbb");
        }
        thread::sleep(STEP);
    }
}

fn stop_half_way(clients: &[TcpStream]) {
    send_to_all(clients, &large_request()[..LARGE / 2]);
}

fn many_fields(wave: usize) -> String {
    let fields: String = (0..85).map(|n| format!("f{n}-{wave}:\r\n")).collect();
    request("look", &fields, "")
}

fn send_to_all(clients: &[TcpStream], text: &str) {
    for client in clients {
        write_some(client, text.as_bytes());
    }
    thread::sleep(WAVE);
}

/// Keeps the places taken: who was closed comes again.
fn be_idle(clients: Vec<TcpStream>, process: &Process, stopped: &AtomicBool) {
    let mut clients: Vec<_> = clients.into_iter().map(Some).collect();
    for client in clients.iter().flatten() {
        write_some(client, UP.as_bytes());
    }
    let began = Instant::now();
    while began.elapsed() < WAVE && !stopped.load(Ordering::SeqCst) {
        for place in &mut clients {
            if place.as_ref().is_none_or(is_closed) {
                *place = process.connect();
                if let Some(client) = place {
                    write_some(client, UP.as_bytes());
                }
            }
        }
        thread::sleep(STEP);
    }
}

/// Whether the sidecar has closed the connection; discards its answers.
fn is_closed(mut stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = loop {
        match stream.read(&mut [0; 1024]) {
            Ok(0) => break true,
            Ok(_) => {}
            Err(e) => break e.kind() != ErrorKind::WouldBlock,
        }
    };
    let _ = stream.set_nonblocking(false);
    closed
}

fn flood(clients: Vec<TcpStream>) {
    let began = Instant::now();
    while began.elapsed() < WAVE {
        for client in &clients {
            let page = "GET /page HTTP/1.1\r\nHost: x\r\n\r\n".repeat(100);
            if write_some(client, page.as_bytes()) < page.len() {
                let _ = std::io::Read::read(&mut &*client, &mut [0; 65536]);
            }
        }
    }
}

/// Sends requests, and behind some of them more than the system buffers, and leaves.
fn leave(clients: Vec<TcpStream>, wave: usize, requests: &Requests) {
    for (number, mut client) in clients.into_iter().enumerate() {
        let id = format!("left-{wave}-{number}");
        let behind = request_of("crowd", "look", "").repeat(if number % 2 == 0 { 0 } else { 500 });
        requests.note_sent(&id, "look", Instant::now(), Duration::from_secs(60));
        let text = request_of(&id, "look", "");
        let _ = client.write_all(text.as_bytes());
        thread::sleep(STEP);
        write_some(&client, behind.as_bytes());
        drop(client);
        requests.note_left(&id);
    }
}

/// Writes what the socket takes at once; returns how many bytes that were.
fn write_some(mut stream: &TcpStream, bytes: &[u8]) -> usize {
    let _ = stream.set_nonblocking(true);
    let written = stream.write(bytes).unwrap_or(0);
    let _ = stream.set_nonblocking(false);
    written
}
