//! Tests of `eviction.rs`.

use super::*;
use std::collections::BTreeMap;

const MILLISECOND: Duration = Duration::from_millis(1);

fn silent(at: Instant) -> Occupancy {
    Occupancy::New { since: at }
}

/// Part of a request has arrived, all of it at once, of a client that has not been served before.
fn incomplete(at: Instant) -> Occupancy {
    incomplete_of(at, false)
}

fn incomplete_of(at: Instant, was_served: bool) -> Occupancy {
    Occupancy::Incomplete {
        began: at,
        last_bytes: at,
        was_served,
    }
}

/// A connection on which requests have been served.
fn idle(since: Instant) -> Occupancy {
    Occupancy::Idle {
        since,
        was_served: true,
    }
}

fn chosen(connections: &[Occupancy], now: Instant) -> Choice<usize> {
    choose(connections.iter().copied().enumerate(), now)
}

// A client that waits for its answer must not lose its connection, whatever others do.
#[test]
fn a_connection_whose_request_is_being_answered_is_never_closed() {
    let now = Instant::now() + Duration::from_secs(60);
    assert_eq!(chosen(&[Occupancy::Answering; 3], now), Choice::Nothing);
    assert_eq!(
        chosen(&[Occupancy::Answering, silent(now - STALL_TIME)], now),
        Choice::Evict(1)
    );
}

#[test]
fn those_that_lose_least_are_closed_first() {
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    let by_rank = [
        Occupancy::Unread { since: start },
        idle(start),
        Occupancy::Idle {
            since: start + Duration::from_secs(59),
            was_served: false,
        },
        incomplete_of(now - ABANDONED_AFTER, true),
        silent(start + Duration::from_secs(59)),
        Occupancy::Closing,
    ];
    for rank in 0..by_rank.len() {
        assert_eq!(chosen(&by_rank[..=rank], now), Choice::Evict(rank));
    }
}

#[test]
fn of_several_the_one_that_is_without_bytes_the_longest_is_closed() {
    let start = Instant::now();
    let at = |ms| start + MILLISECOND * ms;
    // The last one began first, but its bytes still arrive.
    let slow = Occupancy::Incomplete {
        began: start,
        last_bytes: at(880),
        was_served: false,
    };
    let connections = [silent(at(500)), silent(at(300)), silent(at(400)), slow];
    assert_eq!(chosen(&connections, at(900)), Choice::Evict(1));
}

#[test]
fn a_request_that_may_still_be_arriving_is_waited_for() {
    let start = Instant::now();
    for stopped in [silent, incomplete] {
        let connections = [stopped(start + MILLISECOND), stopped(start)];
        assert_eq!(
            chosen(&connections, start + MILLISECOND * 2),
            Choice::NotBefore(start + STALL_TIME)
        );
        assert_eq!(chosen(&connections, start + STALL_TIME), Choice::Evict(1));
    }
}

// Clients that send a byte at a time must not hold all places for as long as a head may take.
#[test]
fn a_request_that_arrives_byte_by_byte_protects_its_connection_only_for_a_limited_time() {
    let began = Instant::now();
    let trickling = |now| Occupancy::Incomplete {
        began,
        last_bytes: now,
        was_served: false,
    };
    let before = began + MAX_ARRIVAL_TIME - MILLISECOND;
    assert_eq!(
        chosen(&[trickling(before)], before),
        Choice::NotBefore(began + MAX_ARRIVAL_TIME)
    );
    let after = began + MAX_ARRIVAL_TIME;
    assert_eq!(chosen(&[trickling(after)], after), Choice::Evict(0));
}

// Otherwise peers that connect and send nothing would hold up new clients, however few places idle
// connections and those that wait for answers leave.
#[test]
fn idle_connections_give_way_to_new_ones_while_they_are_more() {
    let now = Instant::now() + Duration::from_secs(60);
    let idle = idle(now - MILLISECOND);
    let (few, many) = ([idle, silent(now)], [idle, idle, silent(now)]);
    assert_eq!(chosen(&few, now), Choice::NotBefore(now + STALL_TIME));
    assert_eq!(chosen(&many, now), Choice::Evict(0));
    let mostly_answering = [
        Occupancy::Answering,
        Occupancy::Answering,
        idle,
        idle,
        silent(now),
    ];
    assert_eq!(chosen(&mostly_answering, now), Choice::Evict(2));
}

/// Time between two pieces of a request, longer than `STALL_TIME`.
const PAUSE: Duration = Duration::from_millis(60);

// A request in two pieces used to be closed half read before every idle connection (review/8).
#[test]
fn a_request_that_pauses_is_kept_while_idle_connections_are_more() {
    let now = Instant::now() + Duration::from_secs(60);
    for was_served in [false, true] {
        let paused = incomplete_of(now - PAUSE, was_served);
        let connections = [paused, idle(now), idle(now - MILLISECOND)];
        assert_eq!(chosen(&connections, now), Choice::Evict(2));
    }
}

// Peers that stop half way must not be able to close all idle connections.
#[test]
fn paused_requests_of_unserved_clients_give_way_to_new_ones_unless_idle_connections_are_more() {
    let now = Instant::now() + Duration::from_secs(60);
    let paused = incomplete(now - PAUSE);
    let earlier = incomplete(now - PAUSE - MILLISECOND);
    let connections = [idle(now), idle(now), paused, earlier];
    assert_eq!(chosen(&connections, now), Choice::Evict(3));
}

#[test]
fn a_request_of_a_served_client_is_kept_until_it_is_abandoned() {
    let began = Instant::now();
    let crowd = [
        incomplete_of(began, true),
        incomplete(began + PAUSE),
        incomplete(began + PAUSE),
    ];
    assert_eq!(chosen(&crowd, began + PAUSE * 2), Choice::Evict(1));
    let until = Choice::NotBefore(began + ABANDONED_AFTER);
    assert_eq!(chosen(&crowd[..1], began + PAUSE * 2), until);
    assert_eq!(
        chosen(&crowd[..1], began + ABANDONED_AFTER),
        Choice::Evict(0)
    );
    let idle = idle(began);
    assert_eq!(
        chosen(&[crowd[0], idle, idle], began + ABANDONED_AFTER),
        Choice::Evict(0)
    );
}

// Clients that send a byte at a time must not hold all places, also those that were served before.
#[test]
fn a_request_of_a_served_client_that_arrives_byte_by_byte_is_protected_for_a_limited_time() {
    let began = Instant::now();
    let until = began + MAX_PROTECTED_TIME;
    let trickling = |now| Occupancy::Incomplete {
        began,
        last_bytes: now,
        was_served: true,
    };
    let before = until - MILLISECOND;
    assert_eq!(
        chosen(&[trickling(before)], before),
        Choice::NotBefore(until)
    );
    assert_eq!(chosen(&[trickling(until)], until), Choice::Evict(0));
}

// The memory of a request that pauses used to be taken after 20 ms, and the request lost.
#[test]
fn a_request_of_a_served_client_keeps_its_memory_until_it_is_abandoned() {
    let now = Instant::now() + Duration::from_secs(10);
    let holders = [
        (1, incomplete_of(now - PAUSE, true), 100),
        (2, incomplete_of(now - PAUSE, false), 100),
        (3, incomplete_of(now - ABANDONED_AFTER, true), 100),
    ];
    assert_eq!(choose_for_memory(holders.into_iter(), 1000, now), [3, 2]);
}

#[test]
fn a_client_that_does_not_read_its_answer_has_time_to_do_so() {
    let since = Instant::now();
    let unread = [Occupancy::Unread { since }, Occupancy::Answering];
    let until = since + UNREAD_TIME;
    assert_eq!(chosen(&unread, since), Choice::NotBefore(until));
    assert_eq!(chosen(&unread, until), Choice::Evict(0));
}

/// Lets clients arrive at a sidecar with few places, and evicts as the sidecar does. Each connects
/// at its time and then does not send anything more. Returns the longest time that one waited for a
/// place.
fn longest_wait(arrivals: &[Instant], places: usize) -> Duration {
    let mut open: BTreeMap<usize, Occupancy> = BTreeMap::new();
    let mut now = arrivals[0];
    let mut longest = Duration::ZERO;
    for (id, arrived) in arrivals.iter().enumerate() {
        now = now.max(*arrived);
        while open.len() >= places {
            match choose(open.iter().map(|(id, o)| (*id, *o)), now) {
                Choice::Evict(id) => drop(open.remove(&id)),
                Choice::NotBefore(time) => now = time,
                Choice::Nothing => panic!("nothing of {open:?} can be closed"),
            }
        }
        longest = longest.max(now - *arrived);
        open.insert(id, silent(now));
    }
    longest
}

// The promise of half a second after a request's time, whatever the number of descriptors and of
// peers that connect and send nothing: each round of places takes at most the time after which a
// request counts as stopped.
#[test]
fn a_new_client_waits_for_a_place_only_as_long_as_those_before_it_are_given() {
    let start = Instant::now();
    for (seed, places) in [6_usize, 20, 104, 440].into_iter().enumerate() {
        let mut random = fastrand::Rng::with_seed(seed as u64);
        for peers in [places + 1, 2 * places, 1000] {
            for spread_ms in [0, 10, 1000] {
                let mut arrivals: Vec<_> = (0..peers)
                    .map(|_| start + MILLISECOND * random.u32(0..=spread_ms))
                    .collect();
                arrivals.sort();
                let rounds = u32::try_from(peers.div_ceil(places)).expect("few");
                assert!(
                    longest_wait(&arrivals, places) <= STALL_TIME * rounds,
                    "{peers} peers within {spread_ms} ms at {places} places"
                );
            }
        }
    }
}

#[test]
fn for_memory_only_as_many_holders_are_closed_as_are_needed() {
    let now = Instant::now() + Duration::from_secs(10);
    let stopped = |before: u64| Occupancy::Incomplete {
        began: now - Duration::from_secs(1),
        last_bytes: now - Duration::from_millis(before),
        was_served: false,
    };
    let unread = Occupancy::Unread {
        since: now - UNREAD_TIME,
    };
    let arriving = Occupancy::Incomplete {
        began: now,
        last_bytes: now,
        was_served: false,
    };
    let holders = [
        (1, stopped(100), 0),
        (2, stopped(200), 100),
        (3, unread, 100),
        (4, arriving, 100),
        (5, Occupancy::Answering, 100),
        (6, stopped(300), 100),
    ];
    let chosen = |needed| choose_for_memory(holders.into_iter(), needed, now);
    assert!(chosen(0).is_empty());
    assert_eq!(chosen(100), [6]);
    assert_eq!(chosen(101), [6, 2]);
    assert_eq!(chosen(1000), [6, 2, 3]);
}
