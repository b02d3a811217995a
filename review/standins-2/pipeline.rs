//! Clients send many commands at once while one endpoint of six hangs.

use crate::kit::*;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const COMMANDS: usize = 12;
const CONNECTIONS: usize = 6;
/// The work of a request.
const WORK_MS: u64 = 100;
/// The hang, in milliseconds after the start.
const HANG: (u64, u64) = (4_000, 14_000);
const DAY_MS: u64 = 24_000;
/// How long after its time an answer only earns nothing, with the 50 ms of the rules on sockets.
const LATE_MS: u64 = 550;

pub fn play(folder: &str) {
    let place = Place::from_args(folder);
    let record = Arc::clone(&place.record);
    let runs: Runs = Arc::default();
    let endpoints: Vec<Endpoint> = (0..6)
        .map(|n| {
            let hangs: Arc<Mutex<Option<Arc<std::sync::atomic::AtomicBool>>>> = Arc::default();
            let seen = Arc::clone(&hangs);
            let endpoint = Endpoint::start(&format!("s-{n}"), &record, &runs, move |_| {
                let hanging = seen.lock().unwrap().as_ref().is_some_and(|h| h.load(Ordering::SeqCst));
                if hanging { Deed::Hang } else { Deed::Serve(ms(WORK_MS)) }
            });
            *hangs.lock().unwrap() = Some(Arc::clone(&endpoint.hangs));
            endpoint
        })
        .collect();
    let list: Arc<ListState> = Arc::default();
    list.set(&endpoints.iter().map(|e| (e.name.clone(), e.entry("a", "active", 0), true)).collect::<Vec<_>>());
    let agent = start_agent(&list, &record);
    let mut sidecar = Sidecar::start(&place, "n1", agent, &list.whole(), &Limits { memory_mb: 96, sockets: 512 }, &settings(3));

    let start = Instant::now();
    let fates: Arc<Mutex<Vec<Fate>>> = Arc::default();
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|c| {
            let (record, fates, address) = (Arc::clone(&record), Arc::clone(&fates), sidecar.address);
            thread::spawn(move || {
                let time = class("close").deadline_ms;
                let mut kept: Option<Conn> = None;
                for batch in 0.. {
                    if start.elapsed() > ms(DAY_MS - 2 * time) {
                        return;
                    }
                    let Some(mut conn) = kept.take().or_else(|| Conn::connect(address)) else { return };
                    let ids: Vec<String> = (0..COMMANDS).map(|n| format!("c{c}b{batch}n{n}")).collect();
                    let text: String = ids.iter().map(|id| request("close", id, time, "{\"close\":1}")).collect();
                    let sent = Instant::now();
                    if !conn.send(text.as_bytes()) {
                        continue;
                    }
                    for id in &ids {
                        record.line(&format!("sent     {id} close, {time} ms"));
                    }
                    let until = sent + ms(time * COMMANDS as u64);
                    let mut open = true;
                    for id in &ids {
                        let answer = if open { conn.read(until) } else { Err(NoMessage::Closed) };
                        let now = Instant::now();
                        let mut fate = Fate { id: id.clone(), sent, answered: None, closed: None };
                        match answer {
                            Ok(answer) => {
                                record.line(&format!("answered {id} {} after {} ms", answer.status(), (now - sent).as_millis()));
                                open = answer.header("connection") != Some("close");
                                fate.answered = Some((answer.status(), now));
                            }
                            Err(why) => {
                                record.line(&format!("no answer {id} ({why:?}) after {} ms", (now - sent).as_millis()));
                                open = false;
                                fate.closed = Some(now);
                            }
                        }
                        fates.lock().unwrap().push(fate);
                    }
                    kept = open.then_some(conn);
                    thread::sleep(ms(300));
                }
            })
        })
        .collect();
    if place.trouble {
        thread::sleep(ms(HANG.0).saturating_sub(start.elapsed()));
        record.line("trouble  s-0 hangs");
        endpoints[0].hangs.store(true, Ordering::SeqCst);
        thread::sleep(ms(HANG.1).saturating_sub(start.elapsed()));
        record.line("trouble  s-0 hangs no more");
        endpoints[0].hangs.store(false, Ordering::SeqCst);
    }
    for client in clients {
        let _ = client.join();
    }
    if sidecar.exit_status().is_some() {
        place.end(&["the sidecar has ended".to_owned()], "crash");
    }
    drop(sidecar);
    let fates = fates.lock().unwrap();
    let time = class("close").deadline_ms;
    let broken: Vec<String> = fates
        .iter()
        .filter_map(|f| {
            let limit = f.sent + ms(time + LATE_MS);
            match f.answered {
                Some((_, at)) if at <= limit => None,
                Some((status, at)) => {
                    let begun = runs.lock().unwrap().iter().filter(|r| r.id == f.id).map(|r| (r.at - f.sent).as_millis()).collect::<Vec<_>>();
                    Some(format!("lost: {} answered {status} {} ms after it was sent, its time was {time} ms; run at {begun:?} ms", f.id, (at - f.sent).as_millis()))
                }
                None => Some(format!("lost: {} never answered", f.id)),
            }
        })
        .collect();
    place.end(&broken, &summary(&fates));
}
