//! Tests of `clear.rs`.

use super::*;

#[test]
fn what_runs_at_a_server_that_is_taken_was_not_waited_for() {
    let attempt = (
        1,
        Seen::Attempt {
            number: 1,
            request: None,
            sidecar: 0,
            server: 3,
            began: 1,
        },
    );
    let answered = (
        2,
        Seen::AttemptAnswered {
            number: 1,
            status: 200,
            unprocessed: false,
        },
    );
    let take = (
        3,
        Seen::Acted {
            act: Act::Take,
            server: 3,
            window: 1,
            token: 1,
            accepted: true,
        },
    );
    assert_eq!(clears(&[attempt.clone(), take.clone()]).len(), 1);
    assert_eq!(clears(&[attempt.clone(), answered, take.clone()]), []);
    let (killed, late) = (
        (
            2,
            Seen::SidecarDown {
                sidecar: 0,
                killed: true,
            },
        ),
        site::longest_deadline() + 1,
    );
    assert_eq!(
        clears(&[attempt.clone(), killed, take.clone()]),
        [],
        "its sidecar is gone"
    );
    assert_eq!(
        clears(&[attempt, (late, take.1)]),
        [],
        "nobody waits for it any more"
    );
}

#[test]
fn a_pick_by_an_affinity_entry_to_a_process_that_was_clear_is_found() {
    let dump = |at, last| {
        let picks = vec![(4, 0, last)];
        (
            at,
            Seen::Dump(Box::new(crate::affinity_dump::Dump {
                sidecar: 1,
                slot: 0,
                in_contact: true,
                entries: Vec::new(),
                picks,
            })),
        )
    };
    let cleared = (
        2_000_000,
        Seen::Cleared {
            server: 4,
            token: 7,
        },
    );
    let stays = (2_100_000, Seen::Stays { server: 4 });
    assert_eq!(
        picks(&[dump(1, 1), cleared.clone(), dump(3_000_000, 1_900_000)]),
        []
    );
    assert_eq!(
        picks(&[
            cleared.clone(),
            dump(3_000_000, 2_500_000),
            dump(4_000_000, 3_500_000)
        ])
        .len(),
        1
    );
    assert_eq!(picks(&[cleared, stays, dump(3_000_000, 2_500_000)]), []);
}
