//! Tests of the encoding of affinity messages.

use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn messages_are_decoded_as_encoded_and_their_length_is_bounded(
        entries in prop::collection::vec((any::<u64>(), any::<u64>(), 0..4u64, 0..5000i64, any::<bool>()), 0..200),
    ) {
        let entry = |(key, n, epoch, last, held): &(u64, u64, u64, i64, bool)| {
            let started = 1_900_000_000_000;
            (*key, Process { name: *n % 7, started }, AffinityEntry { epoch: *epoch, expires_slot: 4_000_000_000 + last, renewed: *held })
        };
        let mut entries: Vec<_> = entries.iter().map(entry).collect();
        let mut decoded = Vec::new();
        for message in AffinityMessage::with_entries(1_900_000_000_000_000, entries.clone()) {
            let bytes = message.encode();
            prop_assert!(bytes.len() <= MAX_MESSAGE_BYTES, "{}", bytes.len());
            let read = AffinityMessage::read(&bytes);
            prop_assert!(read.is_ok());
            decoded.extend(read.iter().flat_map(|p| p.each_entry().collect::<Vec<_>>()));
        }
        entries.sort();
        decoded.sort();
        prop_assert_eq!(entries, decoded);
    }

    #[test]
    fn arbitrary_bytes_are_decoded_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let with = |version: u8| [&[version][..], &bytes].concat();
        for bytes in [bytes.clone(), with(VERSION)] {
            if let Ok(message) = AffinityMessage::read(&bytes) {
                prop_assert!(message.each_entry().count() + message.phases().count() + message.reports().count() <= 600);
            }
        }
    }
}

#[test]
fn a_full_periodic_message_fits() {
    let mut message = AffinityMessage {
        floor: Some((4_000_000_000, u64::MAX)),
        ..AffinityMessage::at(i64::MAX)
    };
    for i in 0..crate::drain_phase::MAX_PHASES as u64 {
        let phase = Phase {
            epoch: 1000,
            draining: true,
            since: Reverse(4_000_000_000),
        };
        message.add_phase(
            Process {
                name: i,
                started: 1_900_000_000_000,
            },
            phase,
        );
    }
    let mut contact = crate::contact::Contact::new(0);
    contact.set_members((0..100).map(|n| crate::hash(&[n])));
    let ages = contact.beacon_ages(0, true);
    message.heard = (0..crate::contact::MAX_BEACONS)
        .flat_map(|_| ages.first().copied())
        .collect();
    message.add_report(
        Process {
            name: 1,
            started: 1_900_000_000_000,
        },
        1000,
        0..1000,
    );
    assert!(
        message.encode().len() <= MAX_MESSAGE_BYTES && message.reports().count() >= 10,
        "{}",
        message.encode().len()
    );
    let entry = AffinityEntry {
        epoch: 0,
        expires_slot: 90,
        renewed: true,
    };
    let mut message = AffinityMessage::at(i64::MAX);
    let added = message.add_news(
        100,
        (0..1000).map(|key| {
            (
                key,
                Process {
                    name: key % 3,
                    started: 5,
                },
                entry,
            )
        }),
    );
    let decoded = AffinityMessage::read(&message.encode()).expect("it fits");
    assert_eq!(
        (decoded.each_entry().count(), added.len() > 60, decoded.news),
        (added.len(), true, true)
    );
    assert_eq!(AffinityMessage::read(&[9, 9]), Err(MessageError::Version));
}
