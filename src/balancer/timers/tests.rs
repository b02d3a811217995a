//! Tests of `timers.rs`.

use super::*;

const HOUR: Timestamp = 3_600_000_000;

// A client may send any number of requests with a far deadline, each of which ends at once.
#[test]
fn wake_ups_of_ended_requests_do_not_accumulate() {
    let mut timers = Timers::default();
    timers.set(HOUR, Wake::Poll);
    timers.set(HOUR, Wake::Deadline(0));
    for id in 1..200_000 {
        timers.set(HOUR + 1, Wake::Deadline(id));
        timers.forget_ended(1, |id| id == 0);
        assert!(timers.wakes.len() <= MAX_ENDED_WAKES + MAX_WAKES_PER_REQUEST);
    }
    assert_eq!(timers.next_due(HOUR), Some(Wake::Deadline(0)));
    assert_eq!(timers.next_due(HOUR), Some(Wake::Poll));
}
