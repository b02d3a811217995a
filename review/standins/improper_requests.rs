//! Unknown peers send what is not a proper request; none of it may be served or reach an endpoint.

mod common;
use common::*;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An unknown peer is owed an error or a close within this time of connecting.
const OWED_WITHIN: Duration = Duration::from_secs(3);
const PEERS_OF_A_FORM: usize = 5;

/// What a peer got.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Got {
    Error(u16),
    Close,
    Served(u16),
    Nothing,
}

fn improper(form: &str, id: &str) -> String {
    let statement = request("statement", id, 1500, "");
    match form {
        // "a request that is safe to repeat uses `GET` (no body)"
        "GET with a body" => {
            statement.replace("\r\n\r\n", "\r\nContent-Length: 5\r\n\r\nhello")
        }
        // HTTP/1.1 (RFC 9112, 3.2): a server must answer 400.
        "no Host" => statement.replace("Host: api.internal\r\n", ""),
        "two different Hosts" => statement.replace(
            "Host: api.internal\r\n",
            "Host: api.internal\r\nHost: other.internal\r\n",
        ),
        // "a keyed one uses `POST` with `Idempotency-Key`"
        "keyed class, empty key" => request("entry", id, 1500, "{}")
            .replace(&format!("Idempotency-Key: {id}{id}"), "Idempotency-Key: "),
        _ => "not a request\r\n\r\n".to_owned(),
    }
}

fn main() {
    let record = Record::open();
    let arrivals: Arrivals = Arc::default();
    let endpoints: Vec<_> = (0..3)
        .map(|n| {
            let name = format!("s-{n}");
            let address = endpoint(&name, Duration::from_millis(20), &record, &arrivals);
            (name, address)
        })
        .collect();
    let (discovery, known) = discovery(&endpoints);
    let mut sidecar = Sidecar::start(&record, discovery, &known, 512);

    // Clients of the sidecar, for 6 s; their requests must be served in either run.
    let address = sidecar.address;
    let results: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let clients: Vec<_> = (0..4)
        .map(|client| {
            let (record, results) = (record.clone(), Arc::clone(&results));
            thread::spawn(move || {
                let (mut stream, mut unread) = (connect(address), Vec::new());
                for number in 0..40 {
                    let class = ["statement", "balance", "entry", "close"][number % 4];
                    let id = format!("c{client:07x}{number:08x}");
                    let body = if number % 4 < 2 { "" } else { "{}" };
                    let text = request(class, &id, 1400, body);
                    stream.write_all(text.as_bytes()).expect("it is sent");
                    let answer = read_message(&mut stream, &mut unread).ok().flatten();
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(&format!("client {id} ({class}) got {status}"));
                    lock(&results).push((id, status));
                    thread::sleep(Duration::from_millis(130));
                }
            })
        })
        .collect();

    let mut peers = Vec::new();
    if trouble() {
        let forms = [
            "no request at all",
            "GET with a body",
            "no Host",
            "two different Hosts",
            "keyed class, empty key",
        ];
        for number in 0..PEERS_OF_A_FORM {
            for (kind, form) in forms.iter().enumerate() {
                let id = format!("bad{kind:05x}{number:08x}");
                let mut stream = sidecar.connect();
                let connected = Instant::now();
                stream.write_all(improper(form, &id).as_bytes()).expect("it is sent");
                record.line(&format!("peer {id} sends: {form}"));
                let _ = stream.set_read_timeout(Some(OWED_WITHIN));
                let got = match read_message(&mut stream, &mut Vec::new()) {
                    Ok(Some(answer)) if (400..600).contains(&answer.status()) => {
                        Got::Error(answer.status())
                    }
                    Ok(Some(answer)) => Got::Served(answer.status()),
                    Ok(None) => Got::Close,
                    Err(e) if connected.elapsed() < OWED_WITHIN && e.raw_os_error() == Some(104) => {
                        Got::Close
                    }
                    Err(_) => Got::Nothing,
                };
                record.line(&format!("peer {id} got {got:?}"));
                peers.push((*form, id, got));
                thread::sleep(Duration::from_millis(20));
            }
        }
    }
    for client in clients {
        let _ = client.join();
    }
    if !sidecar.runs() {
        record.say("the sidecar has ended");
        finish(BROKEN)
    }
    let served = lock(&results).iter().filter(|(_, status)| *status == 200).count();
    record.say(&format!("clients: {served} of {} requests served", lock(&results).len()));

    let mut broken = false;
    let arrived = lock(&arrivals);
    for form in ["no request at all", "GET with a body", "no Host", "two different Hosts", "keyed class, empty key"] {
        let of_form: Vec<_> = peers.iter().filter(|(f, ..)| *f == form).collect();
        let served = of_form.iter().filter(|(_, _, got)| matches!(got, Got::Served(_))).count();
        let unanswered = of_form.iter().filter(|(_, _, got)| *got == Got::Nothing).count();
        let run = of_form
            .iter()
            .filter(|(_, id, _)| arrived.iter().any(|arrival| arrival.id == *id))
            .count();
        record.say(&format!(
            "{form}: {} peers, {served} served, {run} reached an endpoint, {unanswered} got neither error nor close",
            of_form.len()
        ));
        broken |= served > 0 || run > 0;
    }
    record.say(if broken { "BROKEN" } else { "held" });
    finish(if broken { BROKEN } else { HELD })
}
