//! SIGHUP moves discovery while calls to the old address are in progress.

use crate::ok;
use crate::stubs::*;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The protocol assumes changes to be known this long after the signal.
const TOLD: Duration = Duration::from_secs(4);

/// Makes the sidecar follow discovery at another address.
fn move_to(sidecar: &Sidecar, address: SocketAddr) {
    sidecar.reconfigure(|config| {
        let mut config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
        config["discovery"] = address.to_string().into();
        config.to_string()
    });
}

fn only(index: u64, name: &str, endpoint: &Endpoint) -> String {
    list(index, true, &[(name, endpoint.address, "active")])
}

fn old_and_new() -> (Endpoint, Endpoint) {
    (
        Endpoint::start(|_| ok("old")),
        Endpoint::start(|_| ok("new")),
    )
}

/// Answers an agent's next call, which must be for the whole list; returns the watch that follows.
fn follow(agent: &Agent, index: u64, body: &str) -> Call {
    let mut call = agent.call();
    assert_eq!(call.after(), None, "{}", call.start);
    for _ in 0..5 {
        call.answer(body);
        call = agent.call();
        if call.after() == Some(index) {
            return call;
        }
    }
    panic!("never followed");
}

#[test]
fn answers_of_the_old_agent_after_a_move_change_nothing() {
    let (before, after) = (Agent::start(), Agent::start());
    let (old, new) = old_and_new();
    let sidecar = before.sidecar("pushed", &[("s-old", &old)]);
    let late = before.call();
    move_to(&sidecar, after.address);
    let whole = after.call();
    assert_eq!(whole.after(), None);
    let mut stream = late.stream.try_clone().expect("a socket can be cloned");
    late.answer(&only(99, "s-old", &old));
    assert!(wait_for_close(&mut stream), "the old watch is closed");
    whole.answer(&only(5, "s-new", &new));
    let watch = after.call();
    assert_eq!(
        watch.after(),
        Some(5),
        "versions of the old agent count no more"
    );
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .body,
        b"new"
    );
    assert_eq!(old.requests(), 0);
}

// The process is suspended while both arrive, so that it sees them at the same time.
#[test]
fn an_answer_that_arrives_with_the_signal_does_not_affect_the_version() {
    for _ in 0..5 {
        let (before, after) = (Agent::start(), Agent::start());
        let (old, new) = old_and_new();
        let sidecar = before.sidecar("pushed", &[("s-old", &old)]);
        let watch = before.call();
        sidecar.signal("-STOP");
        watch.answer(&only(99, "s-old", &old));
        move_to(&sidecar, after.address);
        sidecar.signal("-CONT");
        let _watch = follow(&after, 5, &only(5, "s-new", &new));
        assert_eq!(
            sidecar
                .ask(&request("book", "", ""))
                .expect("an answer")
                .body,
            b"new"
        );
        assert_eq!(old.requests(), 0);
    }
}

// Failures at the old address must not delay the new one, nor must failures at the new one use up
// the time.
#[test]
fn a_move_while_calls_fail_is_followed_in_time() {
    let (before, after) = (Agent::start(), Agent::start());
    let (old, new) = old_and_new();
    let sidecar = before.sidecar_altered(&[("s-old", &old)], |config| {
        config.replace("\"AskWithinUs\":2000000", "\"AskWithinUs\":30000000")
    });
    for _ in 0..6 {
        before
            .call_within(TOLD)
            .expect("the old agent is asked again in time")
            .answer_as(503, "", "");
    }
    move_to(&sidecar, after.address);
    for _ in 0..3 {
        let call = after
            .call_within(TOLD)
            .expect("the new agent is asked in time");
        assert_eq!(call.after(), None);
        call.answer_as(503, "", "");
    }
    let _watch = follow(&after, 5, &only(5, "s-new", &new));
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .body,
        b"new"
    );
}

#[test]
fn moves_in_a_row_over_an_address_that_never_answers_and_back_are_followed() {
    let (first, last) = (Agent::start(), Agent::start());
    let (old, new) = old_and_new();
    // With a full backlog the system drops further attempts.
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket
        .bind(&any.into())
        .and_then(|()| socket.listen(0))
        .expect("a free port");
    let listener = TcpListener::from(socket);
    let hanging = listener.local_addr().expect("an address");
    let _filler = TcpStream::connect(hanging).expect("one fits");
    assert!(
        TcpStream::connect_timeout(&hanging, Duration::from_millis(300)).is_err(),
        "the queue takes more"
    );

    let sidecar = first.sidecar("pushed", &[("s-old", &old)]);
    let _held = first.call();
    move_to(&sidecar, hanging);
    wait_until("the new address is dialled", || is_being_dialled(hanging));
    move_to(&sidecar, last.address);
    let _watch = follow(&last, 5, &only(5, "s-new", &new));
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .body,
        b"new"
    );
    // Back at the first agent, whose versions may have advanced.
    move_to(&sidecar, first.address);
    let _watch = follow(&first, 2, &only(2, "s-old", &old));
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .body,
        b"old"
    );
}

// A process without a list requests the whole one; a request that fails is repeated up to three
// times, within a second each.
#[test]
fn a_new_process_gets_its_first_list_although_two_calls_fail() {
    let agent = Agent::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = agent.sidecar_altered(&[], |config| {
        let mut config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
        config["known"] = serde_json::Value::Null;
        config.to_string()
    });
    let _lost = (agent.call(), agent.call());
    let _watch = follow(&agent, 5, &only(5, "s-1", &endpoint));
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .body,
        b"served"
    );
}
