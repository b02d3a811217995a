//! Who runs, who is listened to, and what is dropped. Each test names the invariant that it
//! attacks.

mod lan;

use lan::{EPOCH, Lan, NOBODY, address, section};
use load_balancer_gossip::core::Core;
use load_balancer_gossip::frame::{
    self, Content, DropReason, FrameHeader, KIND_OBSERVATION, MessagePart,
};
use load_balancer_gossip::observation_table::{Observation, ObservedHealth, Process};
use load_balancer_gossip::{SECOND, hash};
use std::net::SocketAddr;

/// All know all: from seeds alone, through losses; who ends is missed, who starts anew under its
/// name is back at once.
#[test]
fn members_find_each_other_miss_the_dead_and_take_back_the_restarted() {
    for seed in 1..4 {
        let mut lan = Lan::new(18, seed);
        (lan.lost, lan.repeated, lan.late) = (0.3, 0.2, 100_000);
        lan.run(15 * SECOND);
        // With three in ten lost, somebody may be taken for dead until he hears of it.
        assert!(
            lan.known().iter().all(|n| *n >= 15),
            "seed {seed}: {:?}",
            lan.known()
        );
        lan.lost = 0.0;
        lan.run(10 * SECOND);
        assert_eq!(lan.known(), [17; 18], "seed {seed}");
        lan.cores[5] = None;
        lan.run(15 * SECOND);
        assert_eq!(lan.known(), [16; 17], "seed {seed}");
        lan.start(5);
        lan.run(5 * SECOND);
        assert_eq!(lan.known(), [17; 18], "seed {seed}");
        // Twice in a second, half of all at once.
        for member in 0..9 {
            lan.start(member);
        }
        lan.run(SECOND / 2);
        for member in 0..9 {
            lan.start(member);
        }
        lan.run(15 * SECOND);
        assert_eq!(lan.known(), [17; 18], "seed {seed}");
    }
}

/// A clock that is off makes a datum unusable, not wrong.
#[test]
fn a_member_whose_clock_is_off_is_not_heard_and_one_within_the_skew_is() {
    let mut lan = Lan::new(9, 6);
    (lan.offsets[0], lan.offsets[1]) = (2 * SECOND, -SECOND / 4);
    lan.start(0);
    lan.start(1);
    lan.run(15 * SECOND);
    assert_eq!(lan.known(), [8; 9], "membership needs no clock");
    lan.sees([0, 1, 2], 4, ObservedHealth::Unhealthy);
    lan.run(SECOND);
    assert_eq!(lan.ejected(4), NOBODY, "two witnesses are not enough");
    assert!((1..9).any(|m| lan.dropped(m, DropReason::Clock) > 0));
    lan.sees([3], 4, ObservedHealth::Unhealthy);
    lan.run(SECOND);
    let ejected = lan.ejected(4);
    assert!((1..9).all(|m| ejected.contains(&m)), "{ejected:?}");
}

/// Who was stopped and goes on has seen its own silence, not that of endpoints.
#[test]
fn a_member_that_was_stopped_says_nothing_of_what_it_finds_first() {
    let mut lan = Lan::new(9, 7);
    lan.run(10 * SECOND);
    for member in [0, 1, 2] {
        lan.stopped[member] = lan.now + 5 * SECOND;
    }
    lan.run(5 * SECOND + SECOND / 4);
    lan.sees([0, 1, 2], 4, ObservedHealth::Unhealthy);
    lan.run(SECOND / 2);
    assert_eq!(lan.ejected(4), NOBODY);
    lan.run(10 * SECOND);
    assert_eq!(lan.known(), [8; 9], "they are members again");
}

/// Strangers, other fleets and later forms are dropped with their reason; a later form that says it
/// can be read is read.
#[test]
fn strangers_and_other_fleets_are_dropped_and_later_forms_read_as_far_as_they_can_be() {
    let mut lan = Lan::new(6, 10);
    lan.run(10 * SECOND);
    let head = FrameHeader {
        cluster: "linenproxy",
        sent_at: lan.now,
        content: Content::Updates,
    };
    let stranger: SocketAddr = "127.9.9.9:1".parse().expect("an address");
    let outside: SocketAddr = "192.0.2.1:7946".parse().expect("an address");
    let good = frame::begin(&head);
    lan.with(0, |core, now| {
        core.handle_datagram(now, stranger, &good);
        core.handle_datagram(now, outside, &good);
        core.handle_datagram(
            now,
            address(1),
            &frame::begin(&FrameHeader {
                cluster: "other",
                ..head.clone()
            }),
        );
        core.handle_datagram(now, address(1), &[0; 1300]);
        core.handle_datagram(now, address(1), b"LPF\x01\x01");
    });
    assert_eq!(lan.dropped(0, DropReason::Unknown), 2);
    assert_eq!(lan.dropped(0, DropReason::Cluster), 1);
    assert_eq!(lan.dropped(0, DropReason::TooLong), 1);
    assert_eq!(lan.dropped(0, DropReason::Malformed), 1);
    // Three members of a later build, whose datagrams hold a fragment that this one does not know.
    let now = lan.now;
    for origin in 1..4 {
        let mut later = good.clone();
        later[3] = 2;
        let observation = Observation {
            origin: hash(&format!("n{origin}")),
            incarnation: EPOCH.unsigned_abs(),
            sequence: 1,
            zone: hash(["a", "b", "c"][origin % 3]),
            seen: now,
            process: Process {
                name: hash("s-4"),
                started: 0,
            },
            health: ObservedHealth::Unhealthy,
        };
        let bytes = postcard::to_stdvec(&observation).expect("it can be written");
        assert!(frame::try_append(
            &mut later,
            &MessagePart {
                kind: 99,
                bytes: &[1; 30]
            }
        ));
        assert!(frame::try_append(
            &mut later,
            &MessagePart {
                kind: KIND_OBSERVATION,
                bytes: &bytes
            }
        ));
        lan.with(0, |core, now| {
            core.handle_datagram(now, address(origin), &later)
        });
    }
    assert_eq!(lan.dropped(0, DropReason::Kind), 3);
    assert!(lan.ejected(4).contains(&0));
    let mut beyond = good;
    (beyond[3], beyond[4]) = (2, 2);
    lan.with(0, |core, now| {
        core.handle_datagram(now, address(1), &beyond)
    });
    assert_eq!(lan.dropped(0, DropReason::Version), 1);
}

/// Nobody else speaks in a member's own name, and a flood costs a bounded queue.
#[test]
fn a_forged_name_and_a_flood_are_counted_and_bounded() {
    let mut lan = Lan::new(6, 11);
    lan.run(10 * SECOND);
    lan.forge(1, 0, 4, 5);
    lan.run(SECOND);
    assert!(lan.dropped(0, DropReason::Forged) > 0);
    let sent = |lan: &Lan| lan.cores[2].as_ref().map_or(0, |c| c.counts().sent_bytes);
    let before = sent(&lan);
    for sequence in 10..2000 {
        lan.forge(1, 1, (sequence % 10) as usize, sequence);
        lan.run(SECOND / 1000);
    }
    let bytes = sent(&lan) - before;
    // 3 datagrams of 1,200 bytes ten times a second are the most that news cost, for these two
    // seconds.
    assert!(bytes < 2 * 10 * 3 * 1200 + 20_000, "{bytes} bytes");
}

/// With ejections off nothing is said and nothing rests.
#[test]
fn with_ejection_off_only_membership_runs() {
    let mut lan = Lan::new(6, 12);
    for member in 0..6 {
        let mut section = section(member, 6);
        section.ejection.enabled = false;
        let now = lan.now + 1;
        lan.due[member] = now;
        lan.cores[member] = Some(Core::new(
            &section,
            &format!("n{member}"),
            "a",
            now.unsigned_abs(),
            member as u64,
            now,
        ));
    }
    lan.run(10 * SECOND);
    assert_eq!(lan.known(), [5; 6]);
    lan.sees(0..6, 4, ObservedHealth::Unhealthy);
    lan.run(SECOND);
    assert_eq!(lan.ejected(4), NOBODY);
}
