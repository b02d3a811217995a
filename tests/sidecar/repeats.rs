//! What may be executed twice, and until when: checked when bytes are about to be sent, not only
//! when the attempt is decided.

use crate::ok;
use crate::stubs::*;
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

/// The deduplication window of these tests, long enough for a retry to be decided within it.
const WINDOW: Duration = Duration::from_millis(2500);

fn short_window(config: String) -> String {
    let window = format!("\"KeyTtlUs\":{}", WINDOW.as_micros());
    config
        .replace("\"KeyTtlUs\":5000000", &window)
        .replace("\"DialTimeoutUs\":5000000", "\"DialTimeoutUs\":20000000")
}

// A retry is decided within the window, but its connection is established only after it: a request
// written then would be executed a second time.
#[test]
fn a_retry_whose_window_ends_during_the_dial_is_not_written() {
    let (discovery, first, held) = (
        Discovery::start(),
        HoldingEndpoint::start(),
        FullBacklog::start(),
    );
    let sidecar =
        Sidecar::start_altered(&discovery, &[("s-1", &first.endpoint)], 1024, short_window);
    let mut client = sidecar.connect();
    client
        .write_all(request("pay", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    let over = first.wait_for_request() + WINDOW;
    discovery.publish(2, list(2, false, &[("s-2", held.address, "active")]));
    discovery.wait_for_watch(2);
    first.close();
    wait_until("the repeat's connection is under way", || {
        is_being_dialled(held.address)
    });
    thread::sleep(over.saturating_duration_since(Instant::now()));
    let second = Endpoint::on(held.release(), |_| ok("twice"));
    // Within the window, any endpoint would deduplicate the client's retry.
    assert_eq!(read_message(&mut client).expect("an answer").status(), 503);
    assert_eq!((first.endpoint.requests(), second.requests()), (1, 0));
}

// A retry that is half written at the end of the window must not be completed: it would be executed
// with its last byte.
#[test]
fn a_retry_half_written_at_the_end_of_its_window_is_not_completed() {
    let (discovery, first, second) = (
        Discovery::start(),
        HoldingEndpoint::start(),
        listen_with_small_buffers(),
    );
    let sidecar =
        Sidecar::start_altered(&discovery, &[("s-1", &first.endpoint)], 1024, short_window);
    let mut client = sidecar.connect();
    client
        .write_all(request("pay", "", &"b".repeat(60_000)).as_bytes())
        .expect("the sidecar takes it");
    let over = first.wait_for_request() + WINDOW;
    let address = second.local_addr().expect("an address");
    discovery.publish(2, list(2, false, &[("s-2", address, "active")]));
    discovery.wait_for_watch(2);
    first.close();
    let (mut stream, _) = second.accept().expect("the repeat's connection");
    // Nothing is read before the end of the window: the rest of the body stays in the sidecar.
    thread::sleep(over.saturating_duration_since(Instant::now()));
    assert!(
        read_message(&mut stream).is_none(),
        "the last byte came after the window"
    );
    assert_eq!(read_message(&mut client).expect("an answer").status(), 503);
}

// Only the group in which a request may have been executed knows its key: the endpoint's group when
// it got the request, not the one that a later list assigns.
#[test]
fn a_retry_depends_on_the_group_in_which_the_request_may_have_been_executed() {
    let (discovery, first) = (Discovery::start(), HoldingEndpoint::start());
    let second = Endpoint::start(|_| ok("twice"));
    let in_cells =
        |config: String| config.replace("\"DedupScope\":\"all\"", "\"DedupScope\":\"cell\"");
    let sidecar = Sidecar::start_altered(&discovery, &[("s-1", &first.endpoint)], 1024, in_cells);
    let mut client = sidecar.connect();
    client
        .write_all(request("pay", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    first.wait_for_request();
    let both = [
        ("s-1", first.endpoint.address, "active"),
        ("s-2", second.address, "active"),
    ];
    discovery.publish(
        2,
        list(2, false, &both).replace("\"group\":1", "\"group\":2"),
    );
    discovery.wait_for_watch(2);
    first.close();
    let status = read_message(&mut client).expect("an answer").status();
    assert!(status >= 500 && status != 503, "{status}");
    assert_eq!((first.endpoint.requests(), second.requests()), (1, 0));
}

// A response that can't be read completely counts as possibly executed, whatever its head says.
#[test]
fn a_non_idempotent_request_rejected_in_an_incomplete_response_is_not_retried() {
    for (headers, body) in [
        (
            "X-Unprocessed: 1\r\nTransfer-Encoding: chunked\r\nX-Not-",
            b"5\r\nhel".to_vec(),
        ),
        ("X-Unprocessed: 1\r\n", vec![b'x'; 70_000]),
    ] {
        let discovery = Discovery::start();
        let reply = move |_: &Message| Reply::AnswerAndClose(503, headers, body.clone());
        let [one, two] = [Endpoint::start(reply.clone()), Endpoint::start(reply)];
        let sidecar = Sidecar::start(&discovery, &[("s-1", &one), ("s-2", &two)]);
        let status = sidecar
            .ask(&request("book", "", "{}"))
            .expect("an answer")
            .status();
        assert!(status >= 500 && status != 503, "{status}");
        assert_eq!(one.requests() + two.requests(), 1, "{headers}");
    }
}

// By the client's clock, which starts with the head of its request: an endpoint must not be told
// more time than is left.
#[test]
fn no_attempt_is_given_more_time_than_its_client_has_left() {
    let (discovery, first) = (Discovery::start(), HoldingEndpoint::start());
    let second = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &first.endpoint)]);
    let mut client = sidecar.connect();
    let whole = request("pay", "", "{}");
    let (head, body) = whole.split_at(whole.len() - 2);
    client
        .write_all(head.as_bytes())
        .expect("the sidecar takes it");
    thread::sleep(Duration::from_millis(100));
    let head_read = Instant::now();
    // The head may be read late, but not later than the body.
    thread::sleep(Duration::from_millis(250));
    client
        .write_all(body.as_bytes())
        .expect("the sidecar takes it");
    first.wait_for_request();
    let held = head_read.elapsed();
    discovery.publish(2, list(2, false, &[("s-2", second.address, "active")]));
    discovery.wait_for_watch(2);
    first.close();
    assert_eq!(
        read_message(&mut client).expect("an answer").body,
        b"served"
    );
    let told = |endpoint: &Endpoint| {
        let seen = endpoint.seen.lock().expect("no stub panics");
        let left = seen[0]
            .header("x-time-left")
            .and_then(|v| v.strip_suffix('u')?.parse().ok());
        Duration::from_micros(left.expect("a time in microseconds"))
    };
    let left = Duration::from_secs(19);
    assert!(
        told(&second) > Duration::ZERO && told(&second) <= left - held,
        "{:?}",
        told(&second)
    );
    assert!(told(&first.endpoint) <= left);
}

// Its client was told that it has failed, so that the client may send it again.
#[test]
fn a_non_idempotent_id_whose_time_ran_out_may_come_again() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(|_| Reply::Silence));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let short = request("book", "", "{}").replace("19000m", "200m");
    for sent in 1..4 {
        let mut client = sidecar.connect();
        client
            .write_all(short.as_bytes())
            .expect("the sidecar takes it");
        wait_until("the request is out", || endpoint.requests() == sent);
        // Everything that waits for its deadline finds it passed at once.
        sidecar.stop();
        thread::sleep(Duration::from_millis(250));
        sidecar.signal("-CONT");
        let status = read_message(&mut client).expect("an answer").status();
        assert_eq!(status, 502);
    }
}
