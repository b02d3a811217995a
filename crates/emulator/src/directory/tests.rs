//! Tests of `directory.rs`.

use super::*;

#[test]
fn an_agent_receives_changes_late_and_in_order() {
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
        initial: vec![0, 1],
        changes,
    };
    assert_eq!(
        [0, 14, 15, 19, 30].map(|now| directory.version_at(now, 10)),
        [0, 0, 1, 2, 3]
    );
    assert_eq!(directory.next_change_at(1, 10), Some(19));
    assert_eq!(directory.next_change_at(3, 10), None);
    let old = State::Active { since: None };
    assert_eq!(
        directory.list_at(2),
        [(0, State::Leaving), (1, old), (2, active)]
    );
    assert_eq!(directory.list_at(3), [(1, old), (2, active)]);
    assert_eq!(
        directory.changes_between(0, 3),
        [(0, State::Left), (2, active)]
    );
}
