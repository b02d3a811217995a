//! Tests of `arrival_deadline.rs`.

use super::*;

const MILLISECOND: Duration = Duration::from_millis(1);

// The time of a request used to begin at the answer before it, and to be over after a long rest.
#[test]
fn a_request_has_its_whole_time_however_long_its_connection_has_been_idle() {
    let answered = Instant::now();
    let began = answered + IDLE_TIMEOUT - MILLISECOND;
    let request = Occupancy::Incomplete {
        began,
        last_bytes: began,
        was_served: false,
    };
    let idle = Occupancy::Idle {
        since: answered,
        was_served: false,
    };
    assert_eq!(
        arrival_deadline(idle, Phase::Running),
        Some(answered + IDLE_TIMEOUT)
    );
    assert_eq!(
        arrival_deadline(request, Phase::Running),
        Some(began + REQUEST_TIMEOUT)
    );
}

// What a peer that stops in the middle of a request is owed, and how long the process may be held up.
#[test]
fn a_request_that_stops_half_way_ends_within_three_seconds() {
    let (owed, held_up) = (Duration::from_secs(3), MILLISECOND * 150);
    assert!(IDLE_TIMEOUT.max(REQUEST_TIMEOUT) + held_up < owed);
}

// Bytes that trickle in must not extend it.
#[test]
fn a_request_has_no_more_time_however_many_bytes_arrive() {
    let began = Instant::now();
    let trickling = Occupancy::Incomplete {
        began,
        last_bytes: began + REQUEST_TIMEOUT,
        was_served: false,
    };
    let deadline = arrival_deadline(trickling, Phase::Running);
    assert_eq!(deadline, Some(began + REQUEST_TIMEOUT));
}

#[test]
fn nothing_is_overdue_while_a_request_is_answered() {
    let since = Instant::now();
    let closing = Phase::Closing { since };
    for occupancy in [Occupancy::Answering, Occupancy::Unread { since }] {
        for phase in [Phase::Running, closing] {
            assert_eq!(arrival_deadline(occupancy, phase), None);
        }
    }
}

#[test]
fn in_a_shutdown_idle_connections_close_at_once_and_the_rest_of_a_request_is_waited_for() {
    let accepted = Instant::now();
    let since = accepted + MILLISECOND * 10;
    let closing = Phase::Closing { since };
    let idle = Occupancy::Idle {
        since: accepted,
        was_served: false,
    };
    assert_eq!(
        arrival_deadline(idle, closing),
        Some(since + FINAL_POLL_TIME)
    );
    let new = Occupancy::New { since: accepted };
    assert_eq!(
        arrival_deadline(new, closing),
        Some(since + SHUTDOWN_TIMEOUT)
    );
    let last_bytes = since + SHUTDOWN_TIMEOUT - MILLISECOND;
    let request = Occupancy::Incomplete {
        began: accepted,
        last_bytes,
        was_served: false,
    };
    assert_eq!(
        arrival_deadline(request, closing),
        Some(last_bytes + SHUTDOWN_TIMEOUT)
    );
}
