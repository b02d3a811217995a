//! Tests of `answer_progress.rs`.

use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// An answer of that length of which half has arrived within a second, the last piece just now.
fn half_arrived(length: Option<usize>) -> (AnswerProgress, Instant) {
    let began = Instant::now();
    let progress = AnswerProgress::default();
    progress.begin(length, began);
    progress.record_piece(500, began + SECOND);
    (progress, began + SECOND)
}

#[test]
fn an_answer_is_waited_for_if_it_will_be_complete_in_time() {
    let (progress, now) = half_arrived(Some(1000));
    assert!(progress.wait_until(now, now + 2 * SECOND).is_some());
    assert_eq!(progress.wait_until(now, now + SECOND / 2), None);
    assert_eq!(progress.wait_until(now, now), None);
}

#[test]
fn an_answer_without_a_length_is_waited_for_as_long_as_pieces_arrive() {
    let (progress, now) = half_arrived(None);
    let deadline = now + 60 * SECOND;
    assert!(progress.wait_until(now, deadline).is_some());
    assert_eq!(progress.wait_until(now + MAX_PAUSE, deadline), None);
}

// Otherwise a silent endpoint would cost the time of the retries.
#[test]
fn an_endpoint_that_has_not_begun_its_answer_is_not_waited_for() {
    let now = Instant::now();
    let progress = AnswerProgress::default();
    assert_eq!(progress.wait_until(now, now + SECOND), None);
    progress.begin(Some(1000), now - SECOND / 10);
    assert_eq!(progress.wait_until(now, now + SECOND), None);
}

#[test]
fn an_answer_that_is_waited_for_is_looked_at_again_before_the_deadline() {
    let (progress, now) = half_arrived(None);
    let deadline = now + CHECK_INTERVAL / 2;
    assert_eq!(progress.wait_until(now, deadline), Some(deadline));
}
