//! A planned restart while clients have sent many commands at once.

use crate::kit::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const COMMANDS: usize = 28;
const CONNECTIONS: usize = 4;
/// The work of a request: 28 of them take 2.8 s, and each has 4 s.
const WORK_MS: u64 = 100;
/// SIGKILL comes after SIGTERM no sooner than the longest deadline (3 s at most) plus 0.7 s.
const KILL_AFTER_MS: u64 = 3_700;

pub fn play(folder: &str) {
    let place = Place::from_args(folder);
    let record = Arc::clone(&place.record);
    let runs: Runs = Arc::default();
    let endpoints: Vec<Endpoint> = (0..6)
        .map(|n| Endpoint::start(&format!("s-{n}"), &record, &runs, |_| Deed::Serve(ms(WORK_MS))))
        .collect();
    let list: Arc<ListState> = Arc::default();
    list.set(&endpoints.iter().map(|e| (e.name.clone(), e.entry("a", "active", 0), true)).collect::<Vec<_>>());
    let agent = start_agent(&list, &record);
    let mut sidecar = Sidecar::start(&place, "n1", agent, &list.whole(), &Limits { memory_mb: 96, sockets: 512 }, &settings(3));

    // A warm-up batch, then one that is in hand at the signal.
    let start = Instant::now();
    let fates: Arc<Mutex<Vec<Fate>>> = Arc::default();
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|c| {
            let (record, fates, address) = (Arc::clone(&record), Arc::clone(&fates), sidecar.address);
            thread::spawn(move || {
                let time = class("close").deadline_ms;
                let Some(mut conn) = Conn::connect(address) else { cannot_run("no connection") };
                for (batch, at) in [(0, 0), (1, 4_000)] {
                    thread::sleep(ms(at).saturating_sub(start.elapsed()));
                    // The connection has rested for about a second.
                    let ids: Vec<String> = (0..COMMANDS).map(|n| format!("c{c}b{batch}n{n}")).collect();
                    let text: String = ids.iter().map(|id| request("close", id, time, "{\"close\":1}")).collect();
                    let sent = Instant::now();
                    if !conn.send(text.as_bytes()) {
                        cannot_run("the connection was closed before the batch");
                    }
                    for id in &ids {
                        record.line(&format!("sent     {id} close, {time} ms"));
                    }
                    let mut open = true;
                    for id in &ids {
                        let answer = if open { conn.read(sent + ms(time + 1_000)) } else { Err(NoMessage::Closed) };
                        let now = Instant::now();
                        let mut fate = Fate { id: id.clone(), sent, answered: None, closed: None };
                        match answer {
                            Ok(answer) => {
                                record.line(&format!("answered {id} {} after {} ms", answer.status(), (now - sent).as_millis()));
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
                }
            })
        })
        .collect();
    let mut signalled = None;
    if place.trouble {
        thread::sleep(ms(4_100).saturating_sub(start.elapsed()));
        sidecar.signal(SIGTERM);
        let at = Instant::now();
        signalled = Some(at);
        while at.elapsed() < ms(KILL_AFTER_MS) {
            if let Some(status) = sidecar.exit_status() {
                record.line(&format!("sidecar  ended by itself {} ms after SIGTERM: {status}", at.elapsed().as_millis()));
                break;
            }
            thread::sleep(ms(5));
        }
        if sidecar.exit_status().is_none() {
            sidecar.signal(SIGKILL);
        }
    }
    for client in clients {
        let _ = client.join();
    }
    drop(sidecar);
    let fates = fates.lock().unwrap();
    let time = class("close").deadline_ms;
    let broken: Vec<String> = fates
        .iter()
        .filter(|f| f.answered.is_none_or(|(_, at)| at > f.sent + ms(time + 550)))
        .map(|f| {
            let begun = runs.lock().unwrap().iter().filter(|r| r.id == f.id).count();
            let before = signalled.map_or(0, |s| (s - f.sent).as_millis());
            format!("lost: {} sent {before} ms before SIGTERM got no answer; its connection was ended after {} ms; run {begun} times",
                f.id, f.closed.map_or(0, |c| (c - f.sent).as_millis()))
        })
        .collect();
    place.end(&broken, &summary(&fates));
}
