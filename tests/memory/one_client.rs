//! One client that sends at full speed on one connection.

use crate::crowd::*;
use crate::stubs::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// How long it floods.
const FLOOD_TIME: Duration = Duration::from_secs(4);
/// How much more memory a sidecar may hold after the second half of a flood than after the first.
const GROWTH_KB: usize = 1024;

/// A client that writes requests without waiting, each under a new number, and drops the answers.
struct Flood {
    connection: TcpStream,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    fn start(stream: TcpStream, text: impl Fn(u64) -> String + Send + 'static) -> Self {
        let mut answers = stream.try_clone().expect("a second handle");
        let reader = thread::spawn(move || {
            let mut bytes = [0; 65536];
            while answers.read(&mut bytes).is_ok_and(|length| length > 0) {}
        });
        let mut requests = stream.try_clone().expect("a third handle");
        let writer = thread::spawn(move || {
            let batches = (0..).step_by(50).map(|n| (n..n + 50).map(&text).collect());
            for batch in batches {
                let batch: String = batch;
                if requests.write_all(batch.as_bytes()).is_err() {
                    return;
                }
            }
        });
        Self {
            connection: stream,
            threads: vec![reader, writer],
        }
    }

    fn finish(self) {
        // It may be closed already.
        let _ = self.connection.shutdown(Shutdown::Both);
        for thread in self.threads {
            thread.join().expect("no thread panics");
        }
    }
}

/// A request of a new id, key, account and object, with a time of its own.
fn ever_new(number: u64) -> String {
    let left = format!(
        "X-Time-Left: {}u",
        3_600_000_000 - 37 * (number % 50_000_000)
    );
    request("look", &format!("Cookie: obj={number:x}\r\n"), "")
        .replace("X-Time-Left: 19000m", &left)
        .replace("9b1f03aa", &format!("{number:x}"))
        .replace("acme", &format!("account-{number}"))
}

type Form = (&'static str, fn(u64) -> String);

fn forms() -> [Form; 4] {
    [
        ("small requests", |_| request("look", "", "")),
        ("small requests under ever new names", ever_new),
        ("requests for other pages", |number| {
            format!("GET /page-{number} HTTP/1.1\r\nHost: x\r\n\r\n")
        }),
        ("unsound requests", |number| {
            format!("GET /api HTTP/1.1\r\nHost: x\r\nX-Service-Class: c{number}\r\n\r\n")
        }),
    ]
}

// Answers of others must not wait for one client's, and nothing may be kept of its requests.
#[test]
fn one_client_at_full_speed_neither_delays_others_nor_uses_up_the_memory() {
    let _running = one_at_a_time();
    for (form, text) in forms() {
        let mut small = SmallSidecar::start(|_| Reply::Answer(200, "", b"served".to_vec()));
        let result = flood(&mut small, form, text);
        assert!(
            result.lost == 0 && result.served >= 20,
            "{form}: {result:?}"
        );
    }
}

/// Floods a sidecar from one connection beside a sound client, whose answers are returned.
fn flood(small: &mut SmallSidecar, form: &str, text: fn(u64) -> String) -> SoundResult {
    let flood = Flood::start(small.sidecar.connect(), text);
    let sound = small.sound_client();
    thread::sleep(FLOOD_TIME / 2);
    let half = small.sidecar.peak_memory_kb();
    thread::sleep(FLOOD_TIME / 2);
    let end = small.sidecar.peak_memory_kb();
    flood.finish();
    let result = sound.finish();
    println!("{form}: {half} then {end} KiB, {result:?}");
    assert!(
        end <= half + GROWTH_KB,
        "{form}: {half} KiB, then {end} KiB"
    );
    small.assert_within_memory(form);
    result
}

/// Requests that together are more than the system buffers of a connection, whose ids begin with
/// that text.
fn many_requests(class: &str, ids: &str) -> String {
    let filling = format!("X-Filling: {}\r\n", "f".repeat(2000));
    (0..400)
        .map(|n| request(class, &filling, "").replace("9b1f03aa", &format!("{ids}{n}")))
        .collect()
}

/// Sends a request, waits until an endpoint has it, sends as much behind it as the system takes, and
/// leaves.
fn send_and_leave(small: &SmallSidecar, id: &str, class: &str, behind: &str) {
    let mut client = small.sidecar.connect();
    client
        .write_all(request_of(id, class, "").as_bytes())
        .expect("the sidecar takes it");
    wait_until("the request is out", || runs(small, id) == 1);
    let written = write_some(&client, behind.as_bytes());
    assert!(
        written >= behind.len().min(150_000),
        "the system took only {written} bytes"
    );
}

// The end of a connection comes behind all that was sent on it: with more than the system buffers
// still unread, the sidecar did not learn that its client had left.
#[test]
fn no_further_attempt_begins_for_a_client_that_left_with_more_unread_than_the_system_buffers() {
    let _running = one_at_a_time();
    let small = SmallSidecar::start(|_| {
        Reply::By(Box::new(|stream| {
            thread::sleep(Duration::from_millis(300));
            answer(stream, 500, "", &[]);
            Afterwards::KeepOn
        }))
    });
    send_and_leave(&small, "first", "look", &many_requests("look", "behind-"));
    thread::sleep(Duration::from_millis(1500));
    let attempts: usize = small.endpoints.iter().map(Endpoint::requests).sum();
    assert_eq!(attempts, 1, "attempts");
}

/// How often endpoints received a request of that id.
fn runs(small: &SmallSidecar, id: &str) -> usize {
    let runs = small.endpoints.iter().map(|endpoint| {
        let seen = endpoint.seen.lock().expect("no stub panics");
        seen.iter()
            .filter(|message| message.header("x-correlation-id") == Some(id))
            .count()
    });
    runs.sum()
}

// The first attempt may have run when its client left without the answer.
#[test]
fn a_non_idempotent_id_that_comes_again_after_its_client_left_does_not_run_twice() {
    let _running = one_at_a_time();
    let small = SmallSidecar::start(|_| Reply::Later(Duration::from_millis(300), Vec::new()));
    for (id, behind) in [
        ("plain", String::new()),
        ("hidden", many_requests("book", "behind-")),
    ] {
        send_and_leave(&small, id, "book", &behind);
        let answer = small.sidecar.ask(&request_of(id, "book", ""));
        let status = answer.expect("an answer").status();
        assert_eq!((runs(&small, id), status), (1, 502), "{id}");
    }
}
