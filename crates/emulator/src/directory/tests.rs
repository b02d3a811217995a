//! Tests of `directory.rs`.

use super::*;

#[test]
fn an_agent_hears_late_and_in_order() {
    let active = State::Active { since: Some(9) };
    let changes = vec![
        Change {
            at: 5,
            server: 0,
            state: State::Leaving,
        },
        Change {
            at: 9,
            server: 2,
            state: active,
        },
        Change {
            at: 20,
            server: 0,
            state: State::Left,
        },
    ];
    let directory = Directory {
        known: vec![0, 1],
        changes,
    };
    assert_eq!(
        [0, 14, 15, 19, 30].map(|now| directory.heard(now, 10)),
        [0, 0, 1, 2, 3]
    );
    assert_eq!(directory.next(1, 10), Some(19));
    assert_eq!(directory.next(3, 10), None);
    let old = State::Active { since: None };
    assert_eq!(
        directory.whole(2),
        [(0, State::Leaving), (1, old), (2, active)]
    );
    assert_eq!(directory.whole(3), [(1, old), (2, active)]);
    assert_eq!(directory.between(0, 3), [(0, State::Left), (2, active)]);
}
