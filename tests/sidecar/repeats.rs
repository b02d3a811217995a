//! What may run twice, and until when: checked as bytes are about to go out, not only as the
//! attempt is decided.

use crate::ok;
use crate::stubs::*;
use std::io::Write;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

/// The window of these tests: long enough that a repeat is decided inside it.
const WINDOW: Duration = Duration::from_millis(2500);

fn short_window(config: String) -> String {
    let window = format!("\"KeyTtlUs\":{}", WINDOW.as_micros());
    config
        .replace("\"KeyTtlUs\":5000000", &window)
        .replace("\"DialTimeoutUs\":5000000", "\"DialTimeoutUs\":20000000")
}

// A repeat is decided while the window is open, and its connection comes up only once it is over:
// what is written then would run a second time.
#[test]
fn a_repeat_whose_window_ends_while_its_connection_comes_up_is_not_written() {
    let (discovery, first, held) = (Discovery::start(), Holding::start(), Held::start());
    let sidecar =
        Sidecar::start_altered(&discovery, &[("s-1", &first.endpoint)], 1024, short_window);
    let mut client = sidecar.connect();
    client
        .write_all(request("pay", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    let over = first.await_request() + WINDOW;
    discovery.publish(2, list(2, false, &[("s-2", held.address, "active")]));
    discovery.await_watch(2);
    first.close();
    await_that("the repeat's connection is under way", || {
        being_dialled(held.address)
    });
    thread::sleep(over.saturating_duration_since(Instant::now()));
    let second = Endpoint::on(held.release(), |_| ok("twice"));
    // Any endpoint would drop a repeat by its client, inside the window.
    assert_eq!(read_message(&mut client).expect("an answer").status(), 503);
    assert_eq!((first.endpoint.requests(), second.requests()), (1, 0));
}

// Half written as the window ends, it must not be written to its end: with its last byte it would
// begin to run.
#[test]
fn a_repeat_half_written_as_its_window_ends_is_not_written_to_its_end() {
    let (discovery, first, second) = (Discovery::start(), Holding::start(), narrow());
    let sidecar =
        Sidecar::start_altered(&discovery, &[("s-1", &first.endpoint)], 1024, short_window);
    let mut client = sidecar.connect();
    client
        .write_all(request("pay", "", &"b".repeat(60_000)).as_bytes())
        .expect("the sidecar takes it");
    let over = first.await_request() + WINDOW;
    let address = second.local_addr().expect("an address");
    discovery.publish(2, list(2, false, &[("s-2", address, "active")]));
    discovery.await_watch(2);
    first.close();
    let (mut stream, _) = second.accept().expect("the repeat's connection");
    // Nothing is read before the window is over: the rest of the body has to wait in the sidecar.
    thread::sleep(over.saturating_duration_since(Instant::now()));
    assert!(
        read_message(&mut stream).is_none(),
        "the last byte came after the window"
    );
    assert_eq!(read_message(&mut client).expect("an answer").status(), 503);
}

/// A listener over whose connections the system takes only a part of a long request before it is
/// read.
fn narrow() -> TcpListener {
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(2048).expect("a small buffer");
    // The sender's buffer follows the size of the segments that the receiver takes.
    socket.set_tcp_mss(536).expect("small segments");
    let any: std::net::SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket
        .bind(&any.into())
        .and_then(|()| socket.listen(16))
        .expect("a free port");
    TcpListener::from(socket)
}

// Only the group in which a request may have run knows its key: that is the one that the endpoint
// was in when it got the request, not one that a later list moved it to.
#[test]
fn a_repeat_goes_by_the_group_in_which_the_request_may_have_run() {
    let (discovery, first) = (Discovery::start(), Holding::start());
    let second = Endpoint::start(|_| ok("twice"));
    let in_cells =
        |config: String| config.replace("\"DedupScope\":\"all\"", "\"DedupScope\":\"cell\"");
    let sidecar = Sidecar::start_altered(&discovery, &[("s-1", &first.endpoint)], 1024, in_cells);
    let mut client = sidecar.connect();
    client
        .write_all(request("pay", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    first.await_request();
    let both = [
        ("s-1", first.endpoint.address, "active"),
        ("s-2", second.address, "active"),
    ];
    discovery.publish(
        2,
        list(2, false, &both).replace("\"group\":1", "\"group\":2"),
    );
    discovery.await_watch(2);
    first.close();
    let status = read_message(&mut client).expect("an answer").status();
    assert!(status >= 500 && status != 503, "{status}");
    assert_eq!((first.endpoint.requests(), second.requests()), (1, 0));
}

// An answer that cannot be read as it is meant counts as one that may have run, whatever its head
// promised.
#[test]
fn an_unsafe_request_turned_away_in_a_broken_answer_is_not_sent_again() {
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

// By the client's clock, which began with the head of its request: what an endpoint is told may not
// be more.
#[test]
fn each_attempt_tells_no_more_time_than_its_client_has_left() {
    let (discovery, first) = (Discovery::start(), Holding::start());
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
    // Its head may be read late, but not later than its body.
    thread::sleep(Duration::from_millis(250));
    client
        .write_all(body.as_bytes())
        .expect("the sidecar takes it");
    first.await_request();
    let held = head_read.elapsed();
    discovery.publish(2, list(2, false, &[("s-2", second.address, "active")]));
    discovery.await_watch(2);
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
