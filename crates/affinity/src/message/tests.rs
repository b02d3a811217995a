//! Tests of the encoding of affinity messages.

use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn messages_come_out_as_they_went_in_and_fragments_are_bounded(
        entries in prop::collection::vec((any::<u64>(), any::<u64>(), 0..4u64, 0..5000i64, any::<bool>()), 0..200),
    ) {
        let entry = |(key, n, epoch, last, held): &(u64, u64, u64, i64, bool)| {
            let started = 1_900_000_000_000;
            (*key, Process { name: *n % 7, started }, AffinityEntry { epoch: *epoch, ends: 4_000_000_000 + last, held: *held })
        };
        let mut entries: Vec<_> = entries.iter().map(entry).collect();
        let mut out = Vec::new();
        for message in AffinityMessage::entries(1_900_000_000_000_000, entries.clone()) {
            let bytes = message.bytes();
            prop_assert!(bytes.len() <= MAX_MESSAGE_BYTES, "{}", bytes.len());
            let read = AffinityMessage::read(&bytes);
            prop_assert!(read.is_ok());
            out.extend(read.iter().flat_map(|p| p.each_entry().collect::<Vec<_>>()));
        }
        entries.sort();
        out.sort();
        prop_assert_eq!(entries, out);
    }

    #[test]
    fn nothing_that_comes_breaks_it(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let with = |version: u8| [&[version][..], &bytes].concat();
        for bytes in [bytes.clone(), with(VERSION)] {
            if let Ok(message) = AffinityMessage::read(&bytes) {
                prop_assert!(message.each_entry().count() + message.phases().count() + message.reports().count() <= 600);
            }
        }
    }
}

#[test]
fn a_full_pulse_fits() {
    let mut message = AffinityMessage {
        floor: Some((4_000_000_000, u64::MAX)),
        ..AffinityMessage::at(i64::MAX)
    };
    for i in 0..crate::drain_phase::MAX_PHASES as u64 {
        let phase = Phase {
            epoch: 1000,
            leaves: true,
            since: Reverse(4_000_000_000),
        };
        message.phase(
            Process {
                name: i,
                started: 1_900_000_000_000,
            },
            phase,
        );
    }
    let mut contact = crate::contact::Contact::new(0);
    contact.members((0..100).map(|n| crate::hash(&[n])));
    let sure = contact.told(0, true);
    message.heard = (0..crate::contact::MAX_BEACONS)
        .flat_map(|_| sure.first().copied())
        .collect();
    message.report(
        Process {
            name: 1,
            started: 1_900_000_000_000,
        },
        1000,
        0..1000,
    );
    assert!(
        message.bytes().len() <= MAX_MESSAGE_BYTES && message.reports().count() >= 10,
        "{}",
        message.bytes().len()
    );
    let entry = AffinityEntry {
        epoch: 0,
        ends: 90,
        held: true,
    };
    let mut message = AffinityMessage::at(i64::MAX);
    let told = message.news(
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
    let read = AffinityMessage::read(&message.bytes()).expect("it fits");
    assert_eq!(
        (read.each_entry().count(), told.len() > 60, read.news),
        (told.len(), true, true)
    );
    assert_eq!(AffinityMessage::read(&[9, 9]), Err(MessageRefused::Version));
}
