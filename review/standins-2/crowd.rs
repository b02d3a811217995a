//! Idle clients fill the descriptors while requests come in pieces.

use crate::kit::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const CLIENTS: usize = 8;
const DAY_MS: u64 = 20_000;
const CROWD_FROM_MS: u64 = 3_000;
const CROWD: usize = 150;
const PAUSE_MS: u64 = 60;

pub fn play(folder: &str) {
    let place = Place::from_args(folder);
    let record = Arc::clone(&place.record);
    let runs: Runs = Arc::default();
    let endpoints: Vec<Endpoint> = (0..6)
        .map(|n| Endpoint::start(&format!("s-{n}"), &record, &runs, |_| Deed::Serve(ms(60))))
        .collect();
    let list: Arc<ListState> = Arc::default();
    list.set(&endpoints.iter().map(|e| (e.name.clone(), e.entry("a", "active", 0), true)).collect::<Vec<_>>());
    let agent = start_agent(&list, &record);
    let mut sidecar = Sidecar::start(&place, "n1", agent, &list.whole(), &Limits { memory_mb: 64, sockets: 256 }, &settings(3));

    let start = Instant::now();
    let over = Arc::new(AtomicBool::new(false));
    let opened = Arc::new(AtomicUsize::new(0));
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let fates: Arc<Mutex<Vec<Fate>>> = Arc::default();
    let mut threads = Vec::new();
    if place.trouble {
        for n in 0..CROWD {
            let (over, address, opened) = (Arc::clone(&over), sidecar.address, Arc::clone(&opened));
            threads.push(thread::spawn(move || {
                // They come one after the other, ask once whether the sidecar is up, are idle then, and come again once they are closed.
                thread::sleep(ms(CROWD_FROM_MS + 10 * n as u64).saturating_sub(start.elapsed()));
                while !over.load(Ordering::SeqCst) {
                    if let Some(mut conn) = Conn::connect(address) {
                        opened.fetch_add(1, Ordering::SeqCst);
                        if conn.send(b"GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n") {
                            let _ = conn.read(Instant::now() + ms(1_000));
                        }
                        while !over.load(Ordering::SeqCst) && conn.read(Instant::now() + ms(200)) == Err(NoMessage::TimedOut) {}
                    }
                    thread::sleep(ms(500));
                }
            }));
        }
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let (record, fates, address, broken) = (Arc::clone(&record), Arc::clone(&fates), sidecar.address, Arc::clone(&broken));
            let seed = place.seed;
            thread::spawn(move || {
                let mut rng = Rng(seed + c as u64);
                let mut kept: Option<Conn> = None;
                for n in 0.. {
                    if start.elapsed() > ms(DAY_MS) {
                        return;
                    }
                    let class_name = ["statement", "entry", "close"][(n + c) % 3];
                    let time = class(class_name).deadline_ms;
                    let id = format!("c{c}n{n}");
                    let text = request(class_name, &id, time, "{\"a\":1}");
                    let was_kept = kept.is_some();
                    let Some(conn) = kept.take().or_else(|| Conn::connect(address)) else { continue };
                    let first = try_once(conn, &id, &text, time, was_kept, &record);
                    let (mut fate, first_ended) = match first {
                        Try::Answered(conn, status) => {
                            kept = conn;
                            (Fate { id: id.clone(), sent: Instant::now(), answered: Some((status, Instant::now())), closed: None }, None)
                        }
                        Try::Ended { after, whole } => (Fate { id: id.clone(), sent: Instant::now(), answered: None, closed: Some(Instant::now()) }, Some((after, whole))),
                    };
                    if let Some((after, whole)) = first_ended.filter(|_| was_kept) {
                        // What is safe to repeat or carries a key is sent once more, on a new
                        // connection. What is unsafe to repeat is not: half of it may have been read.
                        let again = (class_name != "close").then(|| {
                            record.line(&format!("again    {id} on a new connection"));
                            Conn::connect(address).map(|conn| try_once(conn, &id, &text, time, false, &record))
                        });
                        match again {
                            Some(Some(Try::Answered(conn, status))) => {
                                kept = conn;
                                fate.answered = Some((status, Instant::now()));
                            }
                            _ if whole && after > ms(15) => broken.lock().unwrap().push(format!(
                                "lost: {id} ({class_name}): its kept connection was ended {} ms after its first byte, without an answer{}", after.as_millis(),
                                if class_name == "close" { "" } else { ", and sent once more it got none either" })),
                            _ => {}
                        }
                    }
                    fates.lock().unwrap().push(fate);
                    thread::sleep(ms(rng.range(20, 120)));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    over.store(true, Ordering::SeqCst);
    if sidecar.exit_status().is_some() {
        broken.lock().unwrap().push("the sidecar has ended".to_owned());
    }
    drop(sidecar);
    for thread in threads {
        let _ = thread.join();
    }
    record.line(&format!("crowd    {} idle connections were opened", opened.load(Ordering::SeqCst)));
    let broken = broken.lock().unwrap();
    place.end(&broken, &summary(&fates.lock().unwrap()));
}

enum Try {
    /// The connection, if it stays open, and the status.
    Answered(Option<Conn>, u16),
    /// Ended without an answer, so long after the first byte; whether all bytes could be written.
    Ended { after: std::time::Duration, whole: bool },
}

/// Sends a request in two pieces and waits for its answer.
fn try_once(mut conn: Conn, id: &str, text: &str, time: u64, was_kept: bool, record: &Record) -> Try {
    let began = Instant::now();
    let half = text.len() / 2;
    let mut ended = None;
    let mut whole = conn.send(&text.as_bytes()[..half]);
    if conn.read(began + ms(PAUSE_MS)) != Err(NoMessage::TimedOut) {
        ended = Some(Instant::now());
        std::thread::sleep(ms(PAUSE_MS).saturating_sub(began.elapsed()));
    }
    whole = conn.send(&text.as_bytes()[half..]) && whole;
    let sent = Instant::now();
    record.line(&format!("sent     {id}, {time} ms, kept connection: {was_kept}, first byte at {:.1}, last byte written: {whole}", record.since(began)));
    match conn.read(sent + ms(time + 550)) {
        Ok(answer) => {
            record.line(&format!("answered {id} {}", answer.status()));
            let stays = answer.header("connection") != Some("close");
            Try::Answered(stays.then_some(conn), answer.status())
        }
        Err(why) => {
            let after = ended.unwrap_or_else(Instant::now) - began;
            record.line(&format!("no answer {id} ({why:?}); the connection was ended {} ms after its first byte", after.as_millis()));
            Try::Ended { after, whole }
        }
    }
}
