//! Some answers are sent twice, the second time some milliseconds later.

use crate::kit::*;
use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const CLIENTS: usize = 8;
const DAY_MS: u64 = 20_000;
/// One answer of so many is sent twice.
const TWICE_ONE_IN: u64 = 16;
/// How much later the second one is written, in milliseconds.
const LATER: (u64, u64) = (2, 11);

pub fn play(folder: &str) {
    let place = Place::from_args(folder);
    let record = Arc::clone(&place.record);
    let runs: Runs = Arc::default();
    let rng = Arc::new(Mutex::new(Rng(place.seed ^ 0x5eed)));
    // Which request got which time of work, and which answers were written twice.
    let twice: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let endpoints: Vec<Endpoint> = (0..6)
        .map(|n| {
            let (rng, twice, trouble, record) = (Arc::clone(&rng), Arc::clone(&twice), place.trouble, Arc::clone(&record));
            Endpoint::start(&format!("s-{n}"), &record.clone(), &runs, move |_| {
                let (work, again) = {
                    let mut rng = rng.lock().unwrap();
                    let again = rng.range(0, TWICE_ONE_IN) == 0;
                    (rng.range(30, 90), again.then(|| rng.range(LATER.0, LATER.1)))
                };
                let Some(later) = again.filter(|_| trouble) else { return Deed::Serve(ms(work)) };
                let (twice, record) = (Arc::clone(&twice), Arc::clone(&record));
                Deed::Script(Box::new(move |conn, request, answer| {
                    thread::sleep(ms(work));
                    if conn.stream.write_all(answer).is_err() {
                        return false;
                    }
                    thread::sleep(ms(later));
                    record.line(&format!("twice    {} {later} ms later", request.id()));
                    twice.lock().unwrap().insert(request.id().to_owned(), later);
                    conn.stream.write_all(answer).is_ok()
                }))
            })
        })
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
            let seed = place.seed;
            thread::spawn(move || {
                let mut rng = Rng(seed + c as u64);
                let mut kept: Option<Conn> = None;
                for n in 0.. {
                    if start.elapsed() > ms(DAY_MS) {
                        return;
                    }
                    let class_name = ["statement", "balance", "entry", "close"][rng.range(0, 4) as usize];
                    let time = class(class_name).deadline_ms;
                    let id = format!("c{c}n{n}");
                    let text = request(class_name, &id, time, "{\"a\":1}");
                    let Some(mut conn) = kept.take().or_else(|| Conn::connect(address)) else { continue };
                    if !conn.send(text.as_bytes()) {
                        continue;
                    }
                    let sent = Instant::now();
                    record.line(&format!("sent     {id} {class_name}, {time} ms"));
                    let mut fate = Fate { id: id.clone(), sent, answered: None, closed: None };
                    match conn.read(sent + ms(time + 550)) {
                        Ok(answer) => {
                            let body = String::from_utf8_lossy(&answer.body).into_owned();
                            record.line(&format!("answered {id} {} {body:?}", answer.status()));
                            fate.answered = Some((answer.status(), Instant::now()));
                            if answer.status() == 200 && !body.starts_with(&format!("{id} ")) {
                                broken.lock().unwrap().push(format!("foreign: {id} ({class_name}) was answered 200 with {body:?}, the answer to another request"));
                            }
                            if answer.header("connection") != Some("close") {
                                kept = Some(conn);
                            }
                        }
                        Err(why) => {
                            record.line(&format!("no answer {id} {why:?}"));
                            fate.closed = Some(Instant::now());
                        }
                    }
                    fates.lock().unwrap().push(fate);
                    thread::sleep(ms(rng.range(0, 60)));
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
    let twice = twice.lock().unwrap();
    let longest = twice.values().max().copied().unwrap_or(0);
    place.end(&broken, &format!("{}; {} answers were written twice, the second one at most {longest} ms later", summary(&fates.lock().unwrap()), twice.len()));
}
