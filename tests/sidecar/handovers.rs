//! What comes in between the decision to send and the first byte that goes out.

use crate::ok;
use crate::stubs::*;
use std::io::Write;
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// One attempt, and much time to make its connection.
fn one_try(config: String) -> String {
    config
        .replace("\"MaxAttempts\":3", "\"MaxAttempts\":1")
        .replace("\"DialTimeoutUs\":5000000", "\"DialTimeoutUs\":20000000")
}

// What was decided for a process was decided by what it can take; one that was started in its place
// is another.
#[test]
fn a_dial_under_way_as_the_process_is_replaced_writes_nothing_to_the_new_one() {
    let (discovery, held) = (Discovery::start(), Held::start());
    let sidecar = Sidecar::start_altered(&discovery, &[], 1024, one_try);
    let listed = |version| list(version, false, &[("s-1", held.address, "active")]);
    discovery.publish(2, listed(2));
    discovery.await_watch(2);
    let mut client = sidecar.connect();
    client
        .write_all(request("book", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    await_that("the endpoint is dialled", || being_dialled(held.address));
    discovery.publish(
        3,
        listed(3).replace("\"since_ms\":0", "\"since_ms\":1700000000000"),
    );
    discovery.await_watch(3);
    let endpoint = Endpoint::on(held.release(), |_| ok("by the new process"));
    assert_eq!(
        read_message(&mut client).expect("an answer").status(),
        503,
        "known not to have run"
    );
    await_that("the dial comes up", || {
        endpoint.made.load(Ordering::SeqCst) >= 2
    });
    assert_eq!(endpoint.requests(), 0);
}

// Both have come while the process was stopped, the connection first: before the request is
// written, the other is to be heard, also where an attempt may not be cancelled.
#[test]
fn a_client_that_left_before_the_connection_came_up_is_noticed_before_anything_is_written() {
    let (discovery, held) = (Discovery::start(), Held::start());
    let no_cancel =
        |config: String| one_try(config).replace("\"MayCancel\":true", "\"MayCancel\":false");
    let sidecar = Sidecar::start_altered(&discovery, &[], 1024, no_cancel);
    discovery.publish(2, list(2, false, &[("s-1", held.address, "active")]));
    discovery.await_watch(2);
    let mut client = sidecar.connect();
    client
        .write_all(request("book", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    await_that("the endpoint is dialled", || being_dialled(held.address));
    sidecar.stop();
    let endpoint = Endpoint::on(held.release(), |_| Reply::Silence);
    await_that("the connection is up", || {
        endpoint.made.load(Ordering::SeqCst) == 2
    });
    client.shutdown(Shutdown::Both).expect("it closes");
    sidecar.signal("-CONT");
    // With it whatever was written has been read.
    await_that("the connection is closed", || endpoint.closed() == 2);
    assert_eq!(endpoint.requests(), 0);
}

// The same with a list that says that the endpoint leaves.
#[test]
fn an_endpoint_told_to_leave_before_the_connection_came_up_gets_nothing_written() {
    let (discovery, held) = (Discovery::start(), Held::start());
    let sidecar = Sidecar::start_altered(&discovery, &[], 1024, one_try);
    discovery.publish(2, list(2, false, &[("s-1", held.address, "active")]));
    discovery.await_watch(2);
    let mut client = sidecar.connect();
    client
        .write_all(request("book", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    await_that("the endpoint is dialled", || being_dialled(held.address));
    sidecar.stop();
    let address = held.address;
    let endpoint = Endpoint::on(held.release(), |_| ok("too late"));
    await_that("the connection is up", || {
        endpoint.made.load(Ordering::SeqCst) == 2
    });
    discovery.publish(3, list(3, false, &[("s-1", address, "leaving")]));
    discovery.await_told(3);
    sidecar.signal("-CONT");
    assert_eq!(
        read_message(&mut client).expect("an answer").status(),
        503,
        "known not to have run"
    );
    assert_eq!(endpoint.requests(), 0);
}

// The answer has come, and then the time of the attempt ran out, before either was seen: it is an
// answer.
#[test]
fn an_answer_that_came_while_the_process_was_stopped_counts_though_its_time_is_over() {
    let discovery = Discovery::start();
    let endpoint =
        Endpoint::start(|_| Reply::Later(Duration::from_millis(500), b"in time".to_vec()));
    // Two ticks before its client stops waiting the module does.
    let long_tick = |config: String| config.replace("\"TickUs\":5000", "\"TickUs\":5000000");
    let sidecar = Sidecar::start_altered(&discovery, &[("s-1", &endpoint)], 1024, long_tick);
    let mut client = sidecar.connect();
    let short = request("book", "", "{}").replace("19000m", "12000m");
    client
        .write_all(short.as_bytes())
        .expect("the sidecar takes it");
    await_that("the request is out", || endpoint.requests() == 1);
    sidecar.stop();
    std::thread::sleep(Duration::from_millis(2500));
    sidecar.signal("-CONT");
    assert_eq!(
        read_message(&mut client).expect("an answer").body,
        b"in time"
    );
}

// What became of a request at the process before says nothing of the one that was started in its
// place.
#[test]
fn what_breaks_at_the_process_before_is_not_held_against_the_new_one() {
    let (discovery, old) = (Discovery::start(), Holding::start());
    // With short latency objectives what is known fades within a second, and one failure opens the
    // circuit.
    let short = |config: String| config.replace("\"AimUs\":8000000", "\"AimUs\":100000");
    let sidecar = Sidecar::start_altered(&discovery, &[("s-1", &old.endpoint)], 1024, short);
    let mut client = sidecar.connect();
    client
        .write_all(request("book", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    old.await_request();
    std::thread::sleep(Duration::from_millis(1500));
    let new = Endpoint::start(|_| ok("by the new process"));
    let listed = list(2, false, &[("s-1", new.address, "active")]);
    discovery.publish(
        2,
        listed.replace("\"since_ms\":0", "\"since_ms\":1700000000000"),
    );
    discovery.await_watch(2);
    old.close();
    assert_eq!(read_message(&mut client).expect("an answer").status(), 502);
    assert_eq!(
        sidecar
            .ask(&request("look", "", ""))
            .expect("an answer")
            .body,
        b"by the new process"
    );
}

/// The first back-off lasts from two to three seconds.
fn long_backoff(config: String) -> String {
    config.replace("\"AimUs\":8000000", "\"AimUs\":128000000")
}

/// Then it is surely over.
const BACKOFF_OVER: Duration = Duration::from_millis(4000);

#[test]
fn a_client_that_leaves_in_the_back_off_is_not_sent_on() {
    let (discovery, first) = (Discovery::start(), Holding::start());
    let second = Endpoint::start(|_| ok("too late"));
    let sidecar =
        Sidecar::start_altered(&discovery, &[("s-1", &first.endpoint)], 1024, long_backoff);
    let mut client = sidecar.connect();
    client
        .write_all(request("look", "", "").as_bytes())
        .expect("the sidecar takes it");
    first.await_request();
    discovery.publish(2, list(2, false, &[("s-2", second.address, "active")]));
    discovery.await_watch(2);
    first.close();
    await_that("the first attempt has broken off", || {
        first.endpoint.requests() == 1
    });
    client.shutdown(Shutdown::Both).expect("it closes");
    std::thread::sleep(BACKOFF_OVER);
    assert_eq!((first.endpoint.requests(), second.requests()), (1, 0));
}

#[test]
fn an_endpoint_that_leaves_in_the_back_off_gets_no_repeat() {
    let (discovery, first) = (Discovery::start(), Holding::start());
    let second = Endpoint::start(|_| ok("too late"));
    let sidecar =
        Sidecar::start_altered(&discovery, &[("s-1", &first.endpoint)], 1024, long_backoff);
    let mut client = sidecar.connect();
    client
        .write_all(request("look", "", "").as_bytes())
        .expect("the sidecar takes it");
    first.await_request();
    discovery.publish(2, list(2, false, &[("s-2", second.address, "active")]));
    discovery.await_watch(2);
    first.close();
    await_that("the first attempt has broken off", || {
        first.endpoint.requests() == 1
    });
    let gone = [
        ("s-1", first.endpoint.address, "leaving"),
        ("s-2", second.address, "left"),
    ];
    discovery.publish(3, list(3, false, &gone));
    discovery.await_watch(3);
    assert_eq!(read_message(&mut client).expect("an answer").status(), 503);
    assert_eq!((first.endpoint.requests(), second.requests()), (1, 0));
}

// An attempt at a class that may not be repeated has all the time of its request: the two end
// together. The endpoint's time-out is learnt first, or its circuit would stay closed for as long
// as it hangs.
#[test]
fn an_endpoint_that_hangs_until_its_requests_are_over_has_its_circuit_opened() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::Silence);
    let mut sidecar = Sidecar::start_adapted(
        &discovery,
        &[("s-1", &endpoint)],
        1024,
        |config| config,
        |command| {
            command.stderr(std::process::Stdio::piped());
        },
    );
    let short = request("book", "", "{}").replace("19000m", "200m");
    for _ in 0..4 {
        assert_eq!(sidecar.ask(&short).expect("an answer").status(), 502);
    }
    let said = sidecar.stop_and_read_log();
    assert!(said.contains("circuit of endpoint 0 open"), "{said}");
}
