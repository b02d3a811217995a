//! Clients that write slowly, or stop in the middle of a large request.

use crate::crowd::*;
use crate::stubs::*;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Length of a large body, near the longest that the protocol allows.
const LARGE: usize = 60_000;

fn served(_: &Message) -> Reply {
    Reply::Answer(200, "", b"served".to_vec())
}

/// The head of a large request and its body.
fn large_request() -> (String, String) {
    let whole = request("book", "", &"b".repeat(LARGE));
    let end = whole.find("\r\n\r\n").expect("a head") + 4;
    (whole[..end].to_owned(), whole[end..].to_owned())
}

/// Sends heads of large requests, and then their bodies in pieces of `piece` bytes, for that time.
fn drip(small: &SmallSidecar, piece: usize, time: Duration) {
    let (head, body) = large_request();
    let began = Instant::now();
    while began.elapsed() < time {
        let crowd = small.crowd();
        for mut client in &crowd {
            // It may be closed for another one.
            let _ = client.write_all(head.as_bytes());
        }
        let wave = Instant::now();
        while wave.elapsed() < Duration::from_millis(700) {
            for client in &crowd {
                write_some(client, &body.as_bytes()[..piece]);
            }
            thread::sleep(Duration::from_millis(1));
        }
    }
}

// Every piece of a body used to keep the whole buffer into which it was read, 8 KiB.
#[test]
fn bodies_written_in_small_pieces_do_not_use_up_the_memory() {
    let _running = one_at_a_time();
    for piece in [1, 100] {
        let mut small = SmallSidecar::start(served);
        let sound = small.sound_client();
        drip(&small, piece, Duration::from_millis(2000));
        let result = sound.finish();
        assert!(result.lost == 0 && result.served > 0, "{result:?}");
        small.assert_within_memory(&format!("bodies in pieces of {piece}"));
    }
}

#[test]
fn large_requests_that_stop_half_way_do_not_use_up_the_memory() {
    let _running = one_at_a_time();
    let (head, body) = large_request();
    let long_head = head.replace("Host", &format!("X-Long: {}\r\nHost", "h".repeat(30_000)));
    let forms = [
        ("half a body", head.clone() + &body[..LARGE - 1000]),
        ("half a long head", long_head[..30_000].to_owned()),
        (
            "a long head and half a body",
            long_head + &body[..LARGE - 1000],
        ),
    ];
    for (form, sent) in forms {
        let mut small = SmallSidecar::start(served);
        let sound = small.sound_client();
        for _ in 0..3 {
            let crowd = small.crowd();
            for mut client in &crowd {
                let _ = client.write_all(sent.as_bytes());
            }
            thread::sleep(Duration::from_millis(500));
        }
        let result = sound.finish();
        assert!(result.lost == 0 && result.served > 0, "{form}: {result:?}");
        small.assert_within_memory(form);
    }
}

// Sound clients may all send large requests at once: each gets an answer.
#[test]
fn large_requests_of_many_clients_at_once_are_each_answered() {
    let _running = one_at_a_time();
    let mut small =
        SmallSidecar::start(|_| Reply::Later(Duration::from_millis(300), vec![b'a'; 60_000]));
    let (head, body) = large_request();
    let whole = head + &body;
    for wave in 0..3 {
        let ask = |(number, mut client): (usize, TcpStream)| {
            // With one id for all, only the first would be forwarded.
            let whole = whole.replace("9b1f03aa", &format!("{wave}-{number}"));
            thread::spawn(move || {
                client.write_all(whole.as_bytes()).ok()?;
                read_message(&mut client).map(|answer| answer.status())
            })
        };
        let clients: Vec<_> = small.crowd().into_iter().enumerate().map(ask).collect();
        let mut statuses = std::collections::BTreeMap::new();
        for client in clients {
            let status = client.join().expect("no client panics");
            *statuses.entry(status).or_insert(0) += 1;
        }
        println!("statuses: {statuses:?}");
        assert_eq!(statuses.get(&None), None, "unanswered: {statuses:?}");
        assert!(statuses.get(&Some(200)) > Some(&1), "{statuses:?}");
    }
    small.assert_within_memory("large requests at once");
}

// A server that reads slowly leaves large requests in the sidecar.
#[test]
fn large_requests_to_servers_that_do_not_read_them_do_not_use_up_the_memory() {
    let _running = one_at_a_time();
    let mut small = SmallSidecar::start(served);
    let stuck: Vec<_> = (0..8).map(|_| listen_with_small_buffers()).collect();
    let addresses: Vec<_> = stuck
        .iter()
        .map(|listener| listener.local_addr().expect("an address"))
        .collect();
    let names: Vec<_> = (0..addresses.len()).map(|n| format!("stuck-{n}")).collect();
    let listed: Vec<_> = names
        .iter()
        .zip(&addresses)
        .map(|(name, address)| (name.as_str(), *address, "active"))
        .collect();
    small.discovery.publish(2, list(2, true, &listed));
    small.discovery.wait_for_watch(2);
    let (head, body) = large_request();
    let whole = (head + &body).replace("X-Time-Left: 19000m", "X-Time-Left: 1500m");
    for wave in 0..2 {
        let ask = |(number, mut client): (usize, TcpStream)| {
            // With one id for all, only the first would be forwarded.
            let whole = whole.replace("9b1f03aa", &format!("{wave}-{number}"));
            thread::spawn(move || {
                let _ = client.write_all(whole.as_bytes());
                read_message_within(&mut client, Duration::from_secs(4)).is_some()
            })
        };
        let clients: Vec<_> = small.crowd().into_iter().enumerate().map(ask).collect();
        let unanswered = clients
            .into_iter()
            .map(|client| client.join().expect("no client panics"))
            .filter(|answered| !answered)
            .count();
        assert_eq!(unanswered, 0, "requests without an answer");
    }
    small.assert_within_memory("large requests to servers that do not read");
}
