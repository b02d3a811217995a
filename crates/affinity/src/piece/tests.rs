//! Tests of the encoding of affinity messages.

use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn words_come_out_as_they_went_in_and_pieces_are_bounded(
        words in prop::collection::vec((any::<u64>(), any::<u64>(), 0..4u64, 0..5000i64, any::<bool>()), 0..200),
    ) {
        let word = |(key, n, era, last, held): &(u64, u64, u64, i64, bool)| {
            let started = 1_900_000_000_000;
            (*key, Process { name: *n % 7, started }, Word { era: *era, ends: 4_000_000_000 + last, held: *held })
        };
        let mut words: Vec<_> = words.iter().map(word).collect();
        let mut out = Vec::new();
        for piece in Piece::words(1_900_000_000_000_000, words.clone()) {
            let bytes = piece.bytes();
            prop_assert!(bytes.len() <= LONGEST, "{}", bytes.len());
            let read = Piece::read(&bytes);
            prop_assert!(read.is_ok());
            out.extend(read.iter().flat_map(|p| p.each_word().collect::<Vec<_>>()));
        }
        words.sort();
        out.sort();
        prop_assert_eq!(words, out);
    }

    #[test]
    fn nothing_that_comes_breaks_it(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let with = |version: u8| [&[version][..], &bytes].concat();
        for bytes in [bytes.clone(), with(VERSION)] {
            if let Ok(piece) = Piece::read(&bytes) {
                prop_assert!(piece.each_word().count() + piece.phases().count() + piece.reports().count() <= 600);
            }
        }
    }
}

#[test]
fn a_full_pulse_fits() {
    let mut piece = Piece {
        floor: Some((4_000_000_000, u64::MAX)),
        ..Piece::at(i64::MAX)
    };
    for i in 0..crate::phase::MOST_PHASES as u64 {
        let phase = Phase {
            epoch: 1000,
            leaves: true,
            since: Reverse(4_000_000_000),
        };
        piece.phase(
            Process {
                name: i,
                started: 1_900_000_000_000,
            },
            phase,
        );
    }
    let mut contact = crate::contact::Contact::new(0);
    contact.roster((0..100).map(|n| crate::hash(&[n])));
    let sure = contact.told(0, true);
    piece.heard = (0..crate::contact::MOST_BEACONS)
        .flat_map(|_| sure.first().copied())
        .collect();
    piece.report(
        Process {
            name: 1,
            started: 1_900_000_000_000,
        },
        1000,
        0..1000,
    );
    assert!(
        piece.bytes().len() <= LONGEST && piece.reports().count() >= 10,
        "{}",
        piece.bytes().len()
    );
    let word = Word {
        era: 0,
        ends: 90,
        held: true,
    };
    let mut piece = Piece::at(i64::MAX);
    let told = piece.news(
        100,
        (0..1000).map(|key| {
            (
                key,
                Process {
                    name: key % 3,
                    started: 5,
                },
                word,
            )
        }),
    );
    let read = Piece::read(&piece.bytes()).expect("it fits");
    assert_eq!(
        (read.each_word().count(), told.len() > 60, read.news),
        (told.len(), true, true)
    );
    assert_eq!(Piece::read(&[9, 9]), Err(Refused::Version));
}
