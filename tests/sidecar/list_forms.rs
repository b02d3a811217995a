//! Lists in all forms that HTTP and JSON permit, and incomplete ones.

use crate::ok;
use crate::stubs::*;
use crate::watches::{body, old_and_new, replaced, tell};
use std::process::Stdio;

// An agent that closes the connection after each answer, as HTTP permits, has not failed.
#[test]
fn an_agent_that_announces_the_close_is_called_on_a_new_connection() {
    let agent = Agent::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let mut sidecar = agent.sidecar_adapted(
        &[("s-1", &endpoint)],
        |c| c,
        |command| {
            command.stderr(Stdio::piped());
        },
    );
    let mut ports = Vec::new();
    for version in 2..6 {
        let call = agent.call();
        assert_eq!(call.after(), Some(version - 1));
        ports.push(call.stream.peer_addr().expect("it is connected").port());
        let same = list(version, false, &[("s-1", endpoint.address, "active")]);
        call.answer_as(200, "Connection: close\r\n", &same);
    }
    let _watch = tell(&agent, 5, |call| call.answer(&list(5, false, &[])));
    let said = sidecar.stop_and_read_log();
    assert!(!said.contains("discovery:"), "{said}");
    ports.dedup();
    assert_eq!(ports.len(), 4);
}

// Each form of a complete answer that HTTP and JSON permit.
#[test]
fn a_segmented_and_indented_list_with_unknown_fields_is_read() {
    let agent = Agent::start();
    let (old, new) = old_and_new();
    let sidecar = agent.sidecar("pushed", &[("s-old", &old)]);
    let text =
        replaced(2, false, &old, &new).replace("{\"index\"", "{\"note\":{\"a\":[null]},\"index\"");
    let text = text
        .replace(',', ",\r\n\t  ")
        .replace('{', "{\n  ")
        .replace('}', "\n}");
    let middle = text.len() / 2;
    let chunk = |part: &str| format!("{:X};x=y\r\n{part}\r\n", part.len());
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let parts = [
        head.to_owned(),
        chunk(&text[..middle]),
        chunk(&text[middle..]),
        "0\r\n\r\n".to_owned(),
    ];
    let _watch = tell(&agent, 2, |mut call| {
        // Byte by byte, so that the sidecar reads it in many segments.
        for byte in parts.concat().bytes() {
            std::io::Write::write_all(&mut call.stream, &[byte]).expect("the sidecar reads");
        }
        call.answer_raw(b"");
    });
    assert_eq!((body(&sidecar), old.requests()), (b"new".to_vec(), 0));
}

// An incomplete list changes nothing and is requested again.
#[test]
fn an_incomplete_list_changes_nothing_and_is_requested_again() {
    let agent = Agent::start();
    let (old, new) = old_and_new();
    let sidecar = agent.sidecar("pushed", &[("s-old", &old)]);
    let whole = replaced(2, true, &old, &new);
    for head in [
        format!("Content-Length: {}\r\n", whole.len()),
        "Transfer-Encoding: chunked\r\n\r\n999\r\n".to_owned(),
        String::new(),
    ] {
        let mut call = agent.call();
        assert_eq!(call.after(), Some(1));
        let half = format!("HTTP/1.1 200 OK\r\n{head}\r\n{}", &whole[..whole.len() - 9]);
        std::io::Write::write_all(&mut call.stream, half.as_bytes()).expect("the sidecar reads");
    }
    let last = agent.call();
    assert_eq!((last.after(), body(&sidecar)), (Some(1), b"old".to_vec()));
    last.answer(&whole);
    let _watch = tell(&agent, 2, |call| call.answer(&whole));
    assert_eq!(body(&sidecar), b"new");
}

// Unrequested bytes behind an answer are not the answer to the next call.
#[test]
fn a_duplicate_answer_is_not_taken_for_the_next_one() {
    let agent = Agent::start();
    let (old, new) = old_and_new();
    let sidecar = agent.sidecar("pushed", &[("s-old", &old)]);
    let as_answer = |body: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let wrong = list(7, true, &[("s-old", old.address, "active")]);
    let call = agent.call();
    assert_eq!(call.after(), Some(1));
    call.answer_raw((as_answer(&replaced(2, true, &old, &new)) + &as_answer(&wrong)).as_bytes());
    let next = agent.call();
    assert_eq!(next.after(), Some(2));
    next.answer(&list(3, false, &[]));
    let _watch = tell(&agent, 3, |call| call.answer(&list(3, false, &[])));
    assert_eq!((body(&sidecar), old.requests()), (b"new".to_vec(), 0));
}
