//! Events between the decision to send an attempt and its first byte.

use crate::ok;
use crate::stubs::*;
use std::io::Write;
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Permits one attempt, with a long dial timeout.
fn one_try(config: String) -> String {
    config
        .replace("\"MaxAttempts\":3", "\"MaxAttempts\":1")
        .replace("\"DialTimeoutUs\":5000000", "\"DialTimeoutUs\":20000000")
}

// A decision applies to the process it was made for; one started in its place is a different
// process.
#[test]
fn a_dial_pending_as_the_process_is_replaced_writes_nothing_to_the_new_one() {
    let (discovery, held) = (Discovery::start(), FullBacklog::start());
    let sidecar = Sidecar::start_altered(&discovery, &[], 1024, one_try);
    let listed = |version| list(version, false, &[("s-1", held.address, "active")]);
    discovery.publish(2, listed(2));
    discovery.wait_for_watch(2);
    let mut client = sidecar.connect();
    client
        .write_all(request("book", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    wait_until("the endpoint is dialled", || is_being_dialled(held.address));
    discovery.publish(
        3,
        listed(3).replace("\"since_ms\":0", "\"since_ms\":1700000000000"),
    );
    discovery.wait_for_watch(3);
    let endpoint = Endpoint::on(held.release(), |_| ok("by the new process"));
    assert_eq!(
        read_message(&mut client).expect("an answer").status(),
        503,
        "known not to have run"
    );
    wait_until("the dial comes up", || {
        endpoint.made.load(Ordering::SeqCst) >= 2
    });
    assert_eq!(endpoint.requests(), 0);
}

// Both events arrive while the process is suspended, the connection first. The disconnect must be
// noticed before the request is written, even if attempts may not be cancelled.
#[test]
fn a_disconnect_before_the_connection_is_established_is_noticed_before_anything_is_written() {
    let (discovery, held) = (Discovery::start(), FullBacklog::start());
    let no_cancel =
        |config: String| one_try(config).replace("\"MayCancel\":true", "\"MayCancel\":false");
    let sidecar = Sidecar::start_altered(&discovery, &[], 1024, no_cancel);
    discovery.publish(2, list(2, false, &[("s-1", held.address, "active")]));
    discovery.wait_for_watch(2);
    let mut client = sidecar.connect();
    client
        .write_all(request("book", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    wait_until("the endpoint is dialled", || is_being_dialled(held.address));
    sidecar.stop();
    let endpoint = Endpoint::on(held.release(), |_| Reply::Silence);
    wait_until("the connection is up", || {
        endpoint.made.load(Ordering::SeqCst) == 2
    });
    client.shutdown(Shutdown::Both).expect("it closes");
    sidecar.signal("-CONT");
    // The close shows that everything written was read.
    wait_until("the connection is closed", || endpoint.closed() == 2);
    assert_eq!(endpoint.requests(), 0);
}

// As above, with a list that marks the endpoint as draining.
#[test]
fn an_endpoint_that_drains_before_the_connection_is_established_gets_nothing() {
    let (discovery, held) = (Discovery::start(), FullBacklog::start());
    let sidecar = Sidecar::start_altered(&discovery, &[], 1024, one_try);
    discovery.publish(2, list(2, false, &[("s-1", held.address, "active")]));
    discovery.wait_for_watch(2);
    let mut client = sidecar.connect();
    client
        .write_all(request("book", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    wait_until("the endpoint is dialled", || is_being_dialled(held.address));
    sidecar.stop();
    let address = held.address;
    let endpoint = Endpoint::on(held.release(), |_| ok("too late"));
    wait_until("the connection is up", || {
        endpoint.made.load(Ordering::SeqCst) == 2
    });
    discovery.publish(3, list(3, false, &[("s-1", address, "leaving")]));
    discovery.wait_until_sent(3);
    sidecar.signal("-CONT");
    assert_eq!(
        read_message(&mut client).expect("an answer").status(),
        503,
        "known not to have run"
    );
    assert_eq!(endpoint.requests(), 0);
}

// The response arrived, and then the attempt's time ran out, before either was noticed: the
// response counts.
#[test]
fn a_response_that_arrived_while_the_process_was_suspended_counts_although_its_time_is_over() {
    let discovery = Discovery::start();
    let endpoint =
        Endpoint::start(|_| Reply::Later(Duration::from_millis(500), b"in time".to_vec()));
    // The module gives up two ticks before the client does.
    let long_tick = |config: String| config.replace("\"TickUs\":5000", "\"TickUs\":5000000");
    let sidecar = Sidecar::start_altered(&discovery, &[("s-1", &endpoint)], 1024, long_tick);
    let mut client = sidecar.connect();
    let short = request("book", "", "{}").replace("19000m", "12000m");
    client
        .write_all(short.as_bytes())
        .expect("the sidecar takes it");
    wait_until("the request is out", || endpoint.requests() == 1);
    sidecar.stop();
    std::thread::sleep(Duration::from_millis(2500));
    sidecar.signal("-CONT");
    assert_eq!(
        read_message(&mut client).expect("an answer").body,
        b"in time"
    );
}

// Outcomes at the previous process do not count against the process started in its place.
#[test]
fn failures_of_the_previous_process_do_not_count_against_the_new_one() {
    let (discovery, old) = (Discovery::start(), HoldingEndpoint::start());
    // With short latency objectives, knowledge expires within a second, and one failure opens the
    // circuit.
    let short = |config: String| config.replace("\"AimUs\":8000000", "\"AimUs\":100000");
    let sidecar = Sidecar::start_altered(&discovery, &[("s-1", &old.endpoint)], 1024, short);
    let mut client = sidecar.connect();
    client
        .write_all(request("book", "", "{}").as_bytes())
        .expect("the sidecar takes it");
    old.wait_for_request();
    std::thread::sleep(Duration::from_millis(1500));
    let new = Endpoint::start(|_| ok("by the new process"));
    let listed = list(2, false, &[("s-1", new.address, "active")]);
    discovery.publish(
        2,
        listed.replace("\"since_ms\":0", "\"since_ms\":1700000000000"),
    );
    discovery.wait_for_watch(2);
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

/// Sets the first backoff to between two and three seconds.
fn long_backoff(config: String) -> String {
    config.replace("\"AimUs\":8000000", "\"AimUs\":128000000")
}

/// Longer than that backoff.
const LONGER_THAN_BACKOFF: Duration = Duration::from_millis(4000);

#[test]
fn a_client_that_disconnects_during_the_backoff_is_not_forwarded() {
    let (discovery, first) = (Discovery::start(), HoldingEndpoint::start());
    let second = Endpoint::start(|_| ok("too late"));
    let sidecar =
        Sidecar::start_altered(&discovery, &[("s-1", &first.endpoint)], 1024, long_backoff);
    let mut client = sidecar.connect();
    client
        .write_all(request("look", "", "").as_bytes())
        .expect("the sidecar takes it");
    first.wait_for_request();
    discovery.publish(2, list(2, false, &[("s-2", second.address, "active")]));
    discovery.wait_for_watch(2);
    first.close();
    wait_until("the first attempt has broken off", || {
        first.endpoint.requests() == 1
    });
    client.shutdown(Shutdown::Both).expect("it closes");
    std::thread::sleep(LONGER_THAN_BACKOFF);
    assert_eq!((first.endpoint.requests(), second.requests()), (1, 0));
}

#[test]
fn an_endpoint_that_drains_during_the_backoff_gets_no_retry() {
    let (discovery, first) = (Discovery::start(), HoldingEndpoint::start());
    let second = Endpoint::start(|_| ok("too late"));
    let sidecar =
        Sidecar::start_altered(&discovery, &[("s-1", &first.endpoint)], 1024, long_backoff);
    let mut client = sidecar.connect();
    client
        .write_all(request("look", "", "").as_bytes())
        .expect("the sidecar takes it");
    first.wait_for_request();
    discovery.publish(2, list(2, false, &[("s-2", second.address, "active")]));
    discovery.wait_for_watch(2);
    first.close();
    wait_until("the first attempt has broken off", || {
        first.endpoint.requests() == 1
    });
    let gone = [
        ("s-1", first.endpoint.address, "leaving"),
        ("s-2", second.address, "left"),
    ];
    discovery.publish(3, list(3, false, &gone));
    discovery.wait_for_watch(3);
    assert_eq!(read_message(&mut client).expect("an answer").status(), 503);
    assert_eq!((first.endpoint.requests(), second.requests()), (1, 0));
}

// An attempt that may not be retried has all the time of its request, so that the two end together.
// The module must see the endpoint's timeout first, or its circuit would stay closed while it
// hangs.
#[test]
fn the_circuit_of_an_endpoint_that_hangs_until_its_requests_end_is_opened() {
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

// The same where the process is suspended until all its deadlines are over: the request used to end
// before its attempt was seen to have timed out.
#[test]
fn the_circuit_of_an_endpoint_that_hangs_is_opened_although_the_process_was_suspended() {
    const TIME_LEFT: Duration = Duration::from_millis(200);
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
    for number in 0..4 {
        let text = request_of(&number.to_string(), "book", "{}").replace("19000m", "200m");
        let mut client = sidecar.connect();
        client
            .write_all(text.as_bytes())
            .expect("the sidecar takes it");
        wait_until("it is sent on", || endpoint.requests() == number + 1);
        sidecar.stop();
        std::thread::sleep(TIME_LEFT + Duration::from_millis(50));
        sidecar.signal("-CONT");
        assert_eq!(read_message(&mut client).expect("an answer").status(), 502);
    }
    let said = sidecar.stop_and_read_log();
    assert!(said.contains("circuit of endpoint 0 open"), "{said}");
}
