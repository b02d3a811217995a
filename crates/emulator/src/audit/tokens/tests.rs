//! Tests of `tokens.rs`.

use super::*;

#[test]
fn a_lower_token_is_refused_and_none_else_and_nothing_is_drained_twice() {
    let acted = |at, act, token, accepted| {
        (
            at,
            Seen::Acted {
                act,
                server: 1,
                window: 1,
                token,
                accepted,
            },
        )
    };
    let broken = |record: &[Entry]| tokens(record).iter().map(|f| f.at).collect::<Vec<_>>();
    let good = [
        acted(1, Act::Drain, 5, true),
        acted(2, Act::Drain, 5, true),
        acted(3, Act::Take, 5, true),
        acted(4, Act::Drain, 4, false),
        acted(5, Act::Return, 6, true),
    ];
    assert_eq!(broken(&good), Vec::<u64>::new());
    assert_eq!(
        broken(&[&good[..], &[acted(6, Act::Take, 5, true)]].concat()),
        [6]
    );
    assert_eq!(
        broken(&[&good[..], &[acted(6, Act::Take, 7, false)]].concat()),
        [6]
    );
    assert_eq!(
        broken(&[&good[..3], &[acted(6, Act::Drain, 5, true)]].concat()),
        [6]
    );
}
