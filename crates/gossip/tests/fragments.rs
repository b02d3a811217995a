//! Pieces of other crates' data on their way. Each test names the invariant that it attacks.

mod lan;

use lan::{EPOCH, Lan, address};
use load_balancer_gossip::core::{FRAGMENT_KINDS, FragmentError, MAX_BODY_BYTES};
use load_balancer_gossip::fragments::FragmentEnvelope;
use load_balancer_gossip::frame::{self, Content, DropReason, FrameHeader, MessagePart};
use load_balancer_gossip::{SECOND, hash};

const KIND: u8 = *FRAGMENT_KINDS.start();

/// What one gives, each gets once, whatever is lost, repeated or late; the giver gets nothing.
#[test]
fn each_fragment_comes_out_once_at_every_other_member() {
    let (mut missed, mut given) = (0, 0);
    for seed in 1..5 {
        let mut lan = Lan::new(18, seed);
        lan.run(10 * SECOND);
        (lan.lost, lan.repeated, lan.late) = (0.3, 0.3, 300_000);
        for n in 0..60u8 {
            let giver = usize::from(n) % 18;
            let sent = lan.with(giver, |core, now| {
                core.broadcast_fragment(now, KIND + n % 3, &[n; 20])
            });
            assert_eq!(sent, Some(Ok(())));
            lan.run(SECOND / 10);
        }
        lan.run(8 * SECOND);
        for member in 0..18 {
            let mut came: Vec<u8> = lan.carried[member].iter().map(|c| c.bytes[0]).collect();
            assert!(
                lan.carried[member]
                    .iter()
                    .all(|c| c.origin == hash(&format!("n{}", c.bytes[0] % 18)))
            );
            assert!(
                lan.carried[member]
                    .iter()
                    .all(|c| c.kind == KIND + c.bytes[0] % 3 && c.bytes.len() == 20)
            );
            let all = came.len();
            came.sort_unstable();
            came.dedup();
            assert_eq!(came.len(), all, "none twice");
            let expected = (0..60).filter(|n| n % 18 != member).count();
            (missed, given) = (missed + expected - all, given + expected);
        }
    }
    // News spread by update reach all but a few: one in 500 with three in ten lost.
    assert!(missed * 200 < given, "{missed} of {given}");
}

/// What is sent to one comes to that one alone, and only from whom it says it is.
#[test]
fn what_is_for_one_comes_to_one_and_from_its_own_sender() {
    let mut lan = Lan::new(9, 2);
    lan.run(10 * SECOND);
    let to = hash("n4");
    assert_eq!(
        lan.with(0, |core, now| core.send_fragment(now, to, KIND, b"x")),
        Some(Ok(()))
    );
    lan.run(SECOND);
    let who: Vec<usize> = (0..9).filter(|m| !lan.carried[*m].is_empty()).collect();
    assert_eq!(who, [4]);
    let nobody = lan.with(0, |core, now| {
        core.send_fragment(now, hash("n99"), KIND, b"x")
    });
    assert_eq!(nobody, Some(Err(FragmentError::UnknownMember)));
    let neighbours = lan
        .with(0, |core, _| core.random_members(3))
        .expect("it runs");
    assert!(
        (2..=3).contains(&neighbours.len()) && !neighbours.contains(&hash("n0")),
        "{neighbours:?}"
    );
    // Member 1 speaks for member 0, as if to member 4 alone.
    let forged = envelope(&lan, "n0", 1_000, false);
    let now = lan.now;
    lan.with(4, |core, _| core.handle_datagram(now, address(1), &forged));
    assert_eq!(
        (lan.carried[4].len(), lan.dropped(4, DropReason::Forged)),
        (1, 1)
    );
}

fn envelope(lan: &Lan, origin: &str, sequence: u64, spreads: bool) -> Vec<u8> {
    let (incarnation, said) = (EPOCH.unsigned_abs(), lan.now);
    let envelope = FragmentEnvelope {
        origin: hash(origin),
        incarnation,
        sequence,
        created_at: said,
        broadcast: spreads,
        body: b"x",
    };
    let envelope = postcard::to_stdvec(&envelope).expect("it can be written");
    let mut bytes = frame::begin(&FrameHeader {
        cluster: "linenproxy",
        sent_at: lan.now,
        content: Content::Updates,
    });
    assert!(frame::try_append(
        &mut bytes,
        &MessagePart {
            kind: KIND,
            bytes: &envelope
        }
    ));
    bytes
}

/// What is too much, too long, too old or of another kind is refused or dropped with its reason; a
/// flood costs a bounded queue and none of the observations.
#[test]
fn limits_are_kept_and_counted() {
    let mut lan = Lan::new(6, 3);
    lan.run(10 * SECOND);
    let kind = lan.with(0, |core, now| core.broadcast_fragment(now, KIND - 1, b"x"));
    assert_eq!(kind, Some(Err(FragmentError::Kind)));
    let long = lan.with(0, |core, now| {
        core.broadcast_fragment(now, KIND, &[0; MAX_BODY_BYTES + 1])
    });
    assert_eq!(long, Some(Err(FragmentError::TooLong)));
    let taken = |lan: &mut Lan| {
        (0..200)
            .filter(|_| {
                lan.with(0, |core, now| core.broadcast_fragment(now, KIND, &[7; 8])) == Some(Ok(()))
            })
            .count()
    };
    assert_eq!(taken(&mut lan), 40);
    lan.run(SECOND);
    assert_eq!(taken(&mut lan), 20);
    lan.run(3 * SECOND);
    assert_eq!(lan.carried[3].len(), 60);
    // Older than its bound, though the datagram is fresh.
    let mut late = envelope(&lan, "n1", 1_000, true);
    lan.run(6 * SECOND);
    let content = late.split_off(
        frame::begin(&FrameHeader {
            cluster: "linenproxy",
            sent_at: lan.now - 6 * SECOND,
            content: Content::Updates,
        })
        .len(),
    );
    let mut late = frame::begin(&FrameHeader {
        cluster: "linenproxy",
        sent_at: lan.now,
        content: Content::Updates,
    });
    late.extend(content);
    lan.with(0, |core, now| core.handle_datagram(now, address(1), &late));
    assert_eq!(lan.dropped(0, DropReason::Stale), 1);
    let sent = |lan: &Lan| lan.cores[2].as_ref().map_or(0, |c| c.counts().sent_bytes);
    let before = sent(&lan);
    for sequence in 2_000..4_000 {
        let flood = envelope(&lan, "n1", sequence, true);
        lan.with(2, |core, now| core.handle_datagram(now, address(1), &flood));
        lan.run(SECOND / 1000);
    }
    assert!(sent(&lan) - before < 2 * 10 * 3 * 1200 + 20_000);
    assert!(lan.dropped(2, DropReason::Full) > 1_000);
}
