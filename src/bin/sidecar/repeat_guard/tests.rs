//! Tests of `repeat_guard.rs`.

use super::*;

const ID: RepeatId = 7;

#[test]
fn an_id_that_comes_again_after_it_was_sent_and_abandoned_may_have_run() {
    let mut guard = RepeatGuard::default();
    assert_eq!(guard.admit(ID, 1, 0), Admission::New);
    guard.record_sent(ID, 1);
    // The client's first connection is still open for all that is known here.
    assert_eq!(guard.admit(ID, 2, 1), Admission::Repeated);
    guard.record_abandoned(ID, 1, 2);
    assert_eq!(guard.admit(ID, 3, 3), Admission::Repeated);
    assert_eq!(guard.admit(ID, 4, RETENTION_US + 3), Admission::New);
}

#[test]
fn an_id_that_certainly_did_not_run_may_come_again() {
    let mut guard = RepeatGuard::default();
    assert_eq!(guard.admit(ID, 1, 0), Admission::New);
    guard.record_sent(ID, 1);
    guard.record_not_run(ID, 1);
    assert_eq!(guard.admit(ID, 2, 1), Admission::Replaces(1));
    // The withdrawal of the first does not concern the second.
    guard.record_abandoned(ID, 1, 2);
    guard.record_sent(ID, 2);
    assert_eq!(guard.admit(ID, 3, 3), Admission::Repeated);
}

#[test]
fn an_answered_id_may_come_again() {
    let mut guard = RepeatGuard::default();
    for request in 1..3 {
        assert_eq!(guard.admit(ID, request, 0), Admission::New);
        guard.record_sent(ID, request);
        guard.record_answered(ID, request);
    }
}

#[test]
fn abandoned_ids_are_remembered_up_to_a_limit() {
    let mut guard = RepeatGuard::default();
    for id in 0..2 * MAX_ABANDONED as u64 {
        assert_eq!(guard.admit(id, id, 0), Admission::New);
        guard.record_sent(id, id);
        guard.record_abandoned(id, id, 0);
    }
    assert_eq!(
        (guard.abandoned.len(), guard.open.len()),
        (MAX_ABANDONED, 0)
    );
    assert_eq!(guard.admit(MAX_ABANDONED as u64, 1, 0), Admission::Repeated);
}
