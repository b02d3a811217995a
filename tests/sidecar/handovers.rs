//! What comes in between the decision to send and the first byte that goes out.

use crate::ok;
use crate::stubs::*;
use std::io::Write;
use std::sync::atomic::Ordering;

/// One attempt, and much time to make its connection.
fn one_try(config: String) -> String {
    config
        .replace("\"MaxAttempts\":3", "\"MaxAttempts\":1")
        .replace("\"DialTimeoutUs\":5000000", "\"DialTimeoutUs\":20000000")
}

// What was decided for a process was decided by what it can take; one that was started in its place is another.
#[test]
fn a_dial_under_way_as_the_process_is_replaced_writes_nothing_to_the_new_one() {
    let (discovery, held) = (Discovery::start(), Held::start());
    let sidecar = Sidecar::start_altered(&discovery, &[], 1024, one_try);
    let listed = |version| list(version, false, &[("s-1", held.address, "active")]);
    discovery.publish(2, listed(2));
    discovery.await_watch(2);
    let mut client = sidecar.connect();
    client.write_all(request("book", "", "{}").as_bytes()).expect("the sidecar takes it");
    await_that("the endpoint is dialled", || being_dialled(held.address));
    discovery.publish(3, listed(3).replace("\"since_ms\":0", "\"since_ms\":1700000000000"));
    discovery.await_watch(3);
    let endpoint = Endpoint::on(held.release(), |_| ok("by the new process"));
    assert_eq!(read_message(&mut client).expect("an answer").status(), 503, "known not to have run");
    assert!(endpoint.made.load(Ordering::SeqCst) >= 2, "the dial never came up");
    assert_eq!(endpoint.requests(), 0);
}
