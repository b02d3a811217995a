//! Long answers that clients read slowly, or that servers write slowly.

use crate::crowd::*;
use crate::stubs::*;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Between the pieces of a long answer that is written slowly.
const PAUSE: Duration = Duration::from_millis(100);
/// Requests after which a sidecar knows that answers come quickly.
const QUICK_REQUESTS: usize = 60;
/// Length of a long answer, near the longest that the protocol allows.
const LONG: usize = 60_000;

fn long_answer(message: &Message) -> Reply {
    match message.header("x-sound") {
        Some(_) => Reply::Answer(200, "", b"served".to_vec()),
        None => Reply::Answer(200, "", vec![b'a'; LONG]),
    }
}

#[test]
fn long_answers_that_clients_read_slowly_do_not_use_up_the_memory() {
    let _running = one_at_a_time();
    let mut small = SmallSidecar::start(long_answer);
    let sound = small.sound_client();
    let text = request("look", "", "").repeat(20);
    let crowd: Vec<_> = (0..CROWD)
        .map(|_| small.sidecar.connect_with_small_buffer())
        .collect();
    for mut client in &crowd {
        let _ = client.write_all(text.as_bytes());
    }
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(3) {
        for mut client in &crowd {
            client.set_nonblocking(true).expect("it can be set");
            let _ = std::io::Read::read(&mut client, &mut [0; 64]);
        }
        thread::sleep(Duration::from_millis(5));
    }
    let result = sound.finish();
    assert!(result.lost == 0 && result.served > 0, "{result:?}");
    small.assert_within_memory("long answers read slowly");
}

/// Writes an answer in pieces of that length, with a pause behind each.
fn write_in_pieces(piece: usize, length: usize, pause: Duration) -> Reply {
    Reply::By(Box::new(move |stream| {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        let whole = head + &"a".repeat(length);
        for bytes in whole.as_bytes().chunks(piece) {
            // The sidecar may have given up.
            if stream.write_all(bytes).is_err() {
                return Afterwards::Close;
            }
            thread::sleep(pause);
        }
        Afterwards::KeepOn
    }))
}

// Every piece of an answer used to keep the whole buffer into which it was read.
#[test]
fn answers_written_in_small_pieces_do_not_use_up_the_memory() {
    let _running = one_at_a_time();
    for (piece, length) in [(1, 3000), (60, LONG)] {
        let mut small = SmallSidecar::start(move |message| match message.header("x-sound") {
            Some(_) => Reply::Answer(200, "", b"served".to_vec()),
            None => write_in_pieces(piece, length, Duration::from_micros(500)),
        });
        let sound = small.sound_client();
        for _ in 0..2 {
            let crowd = small.crowd();
            for mut client in &crowd {
                let _ = client.write_all(request("look", "", "").as_bytes());
            }
            for mut client in crowd {
                assert!(
                    read_message(&mut client).is_some(),
                    "pieces of {piece}: a request was not answered"
                );
            }
        }
        let result = sound.finish();
        assert!(result.lost == 0 && result.served > 0, "{result:?}");
        small.assert_within_memory(&format!("answers in pieces of {piece}"));
    }
}

/// A sidecar that has been answered quickly, so that attempts leave time for retries; endpoints write
/// a long answer slowly, in pieces of that length, to a request marked as slow.
fn quick_but_for_slow_ones(piece: usize) -> SmallSidecar {
    let slow_ones = Arc::new(AtomicUsize::new(0));
    let small = SmallSidecar::start(move |message| match message.header("x-slow") {
        Some("always") => write_in_pieces(piece, LONG, PAUSE),
        Some("once") if slow_ones.fetch_add(1, Ordering::SeqCst) == 0 => {
            write_in_pieces(piece, LONG, PAUSE)
        }
        _ => Reply::Answer(200, "", b"served".to_vec()),
    });
    let mut client = small.sidecar.connect();
    for _ in 0..QUICK_REQUESTS {
        let text = request("look", "", "");
        client
            .write_all(text.as_bytes())
            .expect("the sidecar takes it");
        assert_eq!(read_message(&mut client).expect("an answer").status(), 200);
    }
    small
}

// A server at work on its answer is not hanging: what a client still waits for is not cut off.
#[test]
fn a_long_answer_that_a_server_writes_slowly_is_not_cut_off() {
    let _running = one_at_a_time();
    for class in ["look", "pay", "book"] {
        // One each: after a slow answer the next request may be shed.
        let small = quick_but_for_slow_ones(LONG / 50);
        let text = request(class, "X-Slow: always\r\n", "").replace("19000m", "7000m");
        let began = Instant::now();
        let answer = small.sidecar.ask(&text).expect("an answer");
        assert_eq!(
            (answer.status(), answer.body.len()),
            (200, LONG),
            "{class} after {:?}",
            began.elapsed()
        );
        let attempts: usize = small.endpoints.iter().map(Endpoint::requests).sum();
        assert_eq!(attempts, QUICK_REQUESTS + 1, "attempts");
    }
}

// Its pace shows that it would come too late: the time is left to a retry.
#[test]
fn an_answer_that_would_come_too_late_is_cut_off_for_a_retry() {
    let _running = one_at_a_time();
    let small = quick_but_for_slow_ones(LONG / 500);
    let text = request("look", "X-Slow: once\r\n", "").replace("19000m", "7000m");
    let answer = small.sidecar.ask(&text).expect("an answer");
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, b"served".as_slice())
    );
}

// The final answer is due at the request's time, wherever the request is then.
#[test]
fn a_large_request_that_a_server_reads_slowly_gets_its_final_answer_in_time() {
    let _running = one_at_a_time();
    for class in ["book", "pay"] {
        let small = SmallSidecar::start(|_| Reply::Silence);
        let slow = listen_with_small_buffers();
        let address = slow.local_addr().expect("an address");
        thread::spawn(move || {
            for stream in slow.incoming().map_while(Result::ok) {
                thread::spawn(move || read_slowly(stream));
            }
        });
        small
            .discovery
            .publish(2, list(2, true, &[("slow", address, "active")]));
        small.discovery.wait_for_watch(2);
        let text = request(class, "", &"b".repeat(LONG)).replace("19000m", "1500m");
        let began = Instant::now();
        let answer = small.sidecar.ask(&text).expect("an answer");
        assert!(
            began.elapsed() < Duration::from_millis(2000),
            "{class}: {} after {:?}",
            answer.status(),
            began.elapsed()
        );
    }
}

/// Reads a little at a time, and never answers.
fn read_slowly(mut stream: std::net::TcpStream) {
    let mut bytes = [0; 100];
    while std::io::Read::read(&mut stream, &mut bytes).is_ok_and(|length| length > 0) {
        thread::sleep(Duration::from_millis(50));
    }
}
