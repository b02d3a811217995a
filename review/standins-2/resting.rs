//! Clients write a request slowly on a connection that has rested.

use crate::kit::*;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const CLIENTS: usize = 8;
const DAY_MS: u64 = 30_000;
/// Time between an answer and the next request, in milliseconds.
const REST: (u64, u64) = (1_700, 2_200);
/// A slow client writes its request in three pieces with this pause between them.
const PAUSE_MS: u64 = 150;

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
    let mut sidecar = Sidecar::start(&place, "n1", agent, &list.whole(), &Limits { memory_mb: 96, sockets: 512 }, &settings(3));

    let start = Instant::now();
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let fates: Arc<Mutex<Vec<Fate>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let (record, fates, address, broken) = (Arc::clone(&record), Arc::clone(&fates), sidecar.address, Arc::clone(&broken));
            let (slow, seed) = (place.trouble, place.seed);
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
                    let Some(mut conn) = kept.take().or_else(|| Conn::connect(address)) else { return };
                    // The end of the connection is looked for while the client writes.
                    let began = Instant::now();
                    let pieces = if slow && was_kept { 3 } else { 1 };
                    let step = text.len().div_ceil(pieces);
                    let mut failed = false;
                    let mut ended: Option<Instant> = None;
                    for (number, piece) in text.as_bytes().chunks(step).enumerate() {
                        if number > 0 {
                            match conn.read(Instant::now() + ms(PAUSE_MS)) {
                                Err(NoMessage::TimedOut) => {}
                                _ => {
                                    ended.get_or_insert(Instant::now());
                                    thread::sleep(ms(PAUSE_MS).saturating_sub(began.elapsed() - ms(PAUSE_MS) * (number as u32 - 1)));
                                }
                            }
                        }
                        failed = failed || !conn.send(piece);
                    }
                    let sent = Instant::now();
                    record.line(&format!("sent     {id} {class_name}, {time} ms, {pieces} pieces from {:.1}, last byte written: {}", record.since(began), !failed));
                    let mut fate = Fate { id: id.clone(), sent, answered: None, closed: None };
                    match conn.read(sent + ms(time + 550)) {
                        Ok(answer) => {
                            record.line(&format!("answered {id} {}", answer.status()));
                            fate.answered = Some((answer.status(), Instant::now()));
                            if answer.header("connection") != Some("close") {
                                kept = Some(conn);
                            }
                        }
                        Err(why) => {
                            let end = ended.unwrap_or_else(Instant::now);
                            fate.closed = Some(end);
                            record.line(&format!("no answer {id} ({why:?}); the connection was ended {} ms after its first byte", (end - began).as_millis()));
                            // What is safe to repeat or carries a key is sent again. What is unsafe to repeat is not:
                            // its first piece had been there for a long time, so it may have been read.
                            let is_answered = class_name != "close" && {
                                let again = format!("{id}r");
                                let text = request(class_name, &again, time, "{\"a\":1}");
                                let conn = Conn::connect(address).filter(|conn| (&conn.stream).write_all(text.as_bytes()).is_ok());
                                record.line(&format!("again    {again} {class_name}, {time} ms"));
                                let answer = conn.and_then(|mut conn| conn.read(Instant::now() + ms(time + 550)).ok());
                                answer.inspect(|a| record.line(&format!("answered {again} {}", a.status()))).is_some()
                            };
                            if !is_answered && !failed && (why == NoMessage::TimedOut || end > began + ms(100)) {
                                broken.lock().unwrap().push(format!(
                                    "lost: {id} ({class_name}): its connection was ended {} ms after its first byte, without an answer", (end - began).as_millis()));
                            }
                        }
                    }
                    fates.lock().unwrap().push(fate);
                    thread::sleep(ms(rng.range(REST.0, REST.1)));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    if sidecar.exit_status().is_some() {
        broken.lock().unwrap().push("the sidecar has ended".to_owned());
    }
    drop(sidecar);
    let broken = broken.lock().unwrap();
    place.end(&broken, &summary(&fates.lock().unwrap()));
}
