//! One endpoint of six writes some of its answers twice, the second time some milliseconds later.

use crate::kit::*;
use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const CLIENTS: usize = 12;
const DAY_MS: u64 = 40_000;
/// One request of so many is turned away by the first endpoint: 503 with `X-Unprocessed: 1`.
const REJECTED_ONE_IN: u64 = 3;
/// One answer of so many of the first endpoint is written twice.
const TWICE_ONE_IN: u64 = 2;
/// How much later the second one is written, in milliseconds.
const LATER: (u64, u64) = (2, 11);

pub fn play(folder: &str) {
    let place = Place::from_args(folder);
    let record = Arc::clone(&place.record);
    let runs: Runs = Arc::default();
    let rng = Arc::new(Mutex::new(Rng(place.seed ^ 0x5eed)));
    // Which request got which time of work, and which answers were written twice.
    let twice: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    // How often a request was turned away.
    let rejected: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let endpoints: Vec<Endpoint> = (0..6)
        .map(|n| {
            let (rng, twice, trouble, record) = (Arc::clone(&rng), Arc::clone(&twice), place.trouble, Arc::clone(&record));
            let rejected = Arc::clone(&rejected);
            Endpoint::start(&format!("s-{n}"), &record.clone(), &runs, move |request| {
                let (work, again, rejects) = {
                    let mut rng = rng.lock().unwrap();
                    let again = n == 0 && rng.range(0, TWICE_ONE_IN) == 0;
                    let rejects = n == 0 && rng.range(0, REJECTED_ONE_IN) == 0;
                    (if rejects { 1 } else { rng.range(30, 90) }, again.then(|| rng.range(LATER.0, LATER.1)), rejects)
                };
                let (twice, record) = (Arc::clone(&twice), Arc::clone(&record));
                let again = again.filter(|_| trouble);
                if rejects {
                    *rejected.lock().unwrap().entry(request.id().to_owned()).or_default() += 1;
                    record.line(&format!("rejected {}", request.id()));
                }
                Deed::Script(Box::new(move |conn, request, answer| {
                    let answer = if rejects { &b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"[..] } else { answer };
                    thread::sleep(ms(work));
                    if conn.stream.write_all(answer).is_err() {
                        return false;
                    }
                    let Some(later) = again else { return true };
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
    let mut broken = broken.lock().unwrap();
    let mut counts: HashMap<String, usize> = HashMap::new();
    for run in runs.lock().unwrap().iter().filter(|run| run.class == "close") {
        *counts.entry(run.id.clone()).or_default() += 1;
    }
    let rejected = rejected.lock().unwrap();
    for (id, arrived) in counts {
        let ran = arrived - rejected.get(&id).copied().unwrap_or(0);
        if ran > 1 {
            broken.push(format!("duplicate: {id} (close) ran {ran} times"));
        }
    }
    let twice = twice.lock().unwrap();
    let longest = twice.values().max().copied().unwrap_or(0);
    place.end(&broken, &format!("{}; {} answers were written twice, the second one at most {longest} ms later", summary(&fates.lock().unwrap()), twice.len()));
}
