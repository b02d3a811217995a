//! Tests of `frame.rs`.

use super::*;
use proptest::prelude::*;

fn head() -> FrameHeader<'static> {
    FrameHeader {
        cluster: "a",
        sent_at: 7,
        content: Content::Updates,
    }
}

#[test]
fn what_is_written_is_read_and_what_is_not_for_us_has_its_reason() {
    let mut bytes = begin(&head());
    let part = MessagePart {
        kind: KIND_OBSERVATION,
        bytes: &[1, 2, 3],
    };
    assert!(try_append(&mut bytes, &part) && try_append(&mut bytes, &part));
    let (read_head, content) = read(&bytes, "a").expect("it is good");
    assert_eq!(read_head, head());
    assert_eq!(
        message_parts(content).collect::<Vec<_>>(),
        [Ok(part), Ok(part)]
    );
    assert_eq!(read(&bytes, "b").map(|_| ()), Err(DropReason::Cluster));
    assert_eq!(
        read(&[0; MAX_DATAGRAM_BYTES + 1], "a").map(|_| ()),
        Err(DropReason::TooLong)
    );
    assert_eq!(read(b"LPF", "a").map(|_| ()), Err(DropReason::Malformed));
    assert_eq!(read(b"", "a").map(|_| ()), Err(DropReason::Malformed));
    while try_append(&mut bytes, &part) {}
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES && bytes.len() > MAX_DATAGRAM_BYTES - 8);
}

#[test]
fn a_later_version_is_read_as_far_as_it_says_it_can_be() {
    let mut later = begin(&head());
    // Version 2 adds a kind, and declares that readers of version 1 understand the rest.
    assert!(try_append(
        &mut later,
        &MessagePart {
            kind: 200,
            bytes: &[9; 40]
        }
    ));
    assert!(try_append(
        &mut later,
        &MessagePart {
            kind: KIND_OBSERVATION,
            bytes: &[5]
        }
    ));
    later[3] = 2;
    let (_, content) = read(&later, "a").expect("it can be read");
    let kinds: Vec<u8> = message_parts(content)
        .filter_map(|p| p.ok().map(|p| p.kind))
        .collect();
    assert_eq!(kinds, [200, KIND_OBSERVATION]);
    later[4] = 2;
    assert_eq!(read(&later, "a").map(|_| ()), Err(DropReason::Version));
}

#[test]
fn reasons_stand_in_the_order_of_their_numbers_and_have_names_of_their_own() {
    assert!(
        DROP_REASONS
            .iter()
            .enumerate()
            .all(|(n, why)| *why as usize == n)
    );
    let ejections: std::collections::BTreeSet<_> =
        DROP_REASONS.iter().map(|why| why.label()).collect();
    assert_eq!(ejections.len(), DROP_REASONS.len());
}

proptest! {
    #[test]
    fn no_bytes_at_all_cause_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1400), cut in 0usize..60) {
        let _ = read(&bytes, "a");
        let mut good = begin(&head());
        good.extend(&bytes[..bytes.len().min(200)]);
        good.truncate(cut.max(5));
        if let Ok((_, content)) = read(&good, "a") {
            prop_assert!(message_parts(content).count() <= content.len());
        }
    }
}
