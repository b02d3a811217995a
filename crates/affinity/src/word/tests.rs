//! Tests of `word.rs`.

use super::*;
use proptest::prelude::*;

fn of(words: &[(Process, Word)]) -> Places {
    let mut places = Places::default();
    words.iter().for_each(|(process, word)| {
        places.merge(*process, *word);
    });
    places
}

prop_compose! {
    fn any_word()(name in 0..4u64, era in 0..2u64, ends in 0..6i64, held: bool) -> (Process, Word) {
        (Process { name, started: 0 }, Word { era, ends, held })
    }
}

proptest! {
    #[test]
    fn the_same_words_make_the_same_places_in_any_order_and_however_often(
        words in prop::collection::vec(any_word(), 0..12), again in 0..12usize, turn in 0..12usize,
    ) {
        let mut others = words.clone();
        others.extend(words.iter().take(again));
        let turn = turn % others.len().max(1);
        others.rotate_left(turn);
        others.reverse();
        prop_assert_eq!(of(&words), of(&others));
    }
}

#[test]
fn a_key_bound_twice_has_one_winner_and_one_met_again_wins() {
    let (a, b) = (
        Process {
            name: 1,
            started: 0,
        },
        Process {
            name: 2,
            started: 0,
        },
    );
    let word = |ends, held| Word { era: 0, ends, held };
    let places = of(&[(a, word(5, true)), (b, word(9, false))]);
    assert_eq!(places.bound(3, |_, _| true).first(), Some(&a));
    assert_eq!(places.bound(3, |p, _| p != a), [b]);
    let both = of(&[(a, word(5, true)), (b, word(9, true))]);
    let turned = of(&[(b, word(9, true)), (a, word(5, true))]);
    assert_eq!(both.bound(3, |_, _| true), turned.bound(3, |_, _| true));
}
