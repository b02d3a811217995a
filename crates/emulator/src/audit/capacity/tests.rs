//! Tests of `capacity.rs`.

use super::*;
use crate::SECOND;
use crate::draw::draw;
use crate::experiment::Experiment;

/// Servers of one weight, of which two may be away.
fn plan() -> Plan {
    let mut plan = draw(
        &Experiment {
            name: "a".to_owned(),
            ..Experiment::default()
        },
        1,
    );
    plan.servers.iter_mut().for_each(|spec| spec.kind = 1);
    let weight = capacity(&plan.servers[0]);
    let keep = weight * (plan.servers.len() as u64 - 2);
    let keep_zone = vec![0; 3];
    plan.kept = Some(Kept {
        keep,
        keep_zone,
        most_away: 9,
        answered_within: 8 * SECOND,
        blackouts: Vec::new(),
        overrun_may_enter: false,
    });
    plan
}

fn acted(at: Us, act: Act, server: usize) -> Entry {
    (
        at,
        Seen::Acted {
            act,
            server,
            window: 1,
            token: at,
            accepted: true,
        },
    )
}

fn broken(record: &[Entry]) -> Vec<Us> {
    capacities(&plan(), record)
        .0
        .iter()
        .map(|finding| finding.at)
        .collect()
}

#[test]
fn two_may_be_away_a_third_not_and_one_that_was_only_returned_is_still_away() {
    let two = [acted(1, Act::Drain, 0), acted(2, Act::Drain, 1)];
    assert_eq!(broken(&two), Vec::<Us>::new());
    assert_eq!(
        broken(&[&two[..], &[acted(3, Act::Drain, 2)]].concat()),
        [3]
    );
    assert_eq!(
        broken(&[&two[..], &[acted(3, Act::Take, 2)]].concat()),
        [3],
        "taken without a drain"
    );
    assert_eq!(
        broken(
            &[
                &two[..],
                &[acted(3, Act::CallBack, 1), acted(4, Act::Drain, 2)]
            ]
            .concat()
        ),
        Vec::<Us>::new()
    );
    let back = [
        acted(3, Act::Take, 0),
        acted(4, Act::Return, 0),
        (5, Seen::ServerUp { server: 0 }),
    ];
    assert_eq!(
        broken(&[&two[..], &back, &[acted(6, Act::Drain, 2)]].concat()),
        [6]
    );
    let served = |at| {
        let answered = Seen::AttemptAnswered {
            number: 1,
            status: 200,
            unprocessed: false,
        };
        let drain = acted(at + 2, Act::Drain, 2);
        let attempt = Seen::Attempt {
            number: 1,
            request: None,
            sidecar: 0,
            server: 0,
            began: at,
        };
        broken(&[&two[..], &back, &[(at, attempt), (at + 1, answered), drain]].concat())
    };
    assert_eq!(served(6), [8], "it serves and is cold");
    assert_eq!(served(6 + site::WARM_WITHIN), Vec::<Us>::new());
}

#[test]
fn a_death_counts_once_it_must_be_known_and_what_drains_then_is_called_back_in_time() {
    let late = 10 * SECOND;
    let dead = (1, Seen::ServerDown { server: 5 });
    let one = [dead.clone(), acted(2, Act::Drain, 0)];
    assert_eq!(
        broken(&[&one[..], &[acted(3, Act::Drain, 1)]].concat()),
        Vec::<Us>::new(),
        "nobody could know yet"
    );
    assert_eq!(
        broken(&[&one[..], &[acted(late, Act::Drain, 1)]].concat()),
        [late]
    );
    let two = [
        acted(1, Act::Drain, 0),
        acted(2, Act::Drain, 1),
        (3, Seen::ServerDown { server: 5 }),
    ];
    let end = (late, Seen::Probe { server: 7 });
    assert_eq!(
        broken(&[&two[..], std::slice::from_ref(&end)].concat()),
        [late],
        "both drain on"
    );
    assert_eq!(
        broken(&[&two[..], &[acted(SECOND, Act::CallBack, 1), end]].concat()),
        Vec::<Us>::new()
    );
}
