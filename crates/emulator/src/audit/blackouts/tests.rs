//! Tests of `blackouts.rs`.

use super::*;
use crate::SECOND;
use crate::draw::draw;
use crate::experiment::Experiment;
use crate::plan::WindowSpec;

const NONE: [Us; 0] = [];

/// The times of findings, of a window of 5 s with an overrun of 2 s and a blackout from 10 to 20 s.
fn broken(overrun_may_enter: bool, acts: &[(Us, Act)]) -> Vec<Us> {
    let mut plan = draw(
        &Experiment {
            name: "a".to_owned(),
            ..Experiment::default()
        },
        1,
    );
    let (keep, keep_zone, most_away, answered_within) = (0, vec![0; 3], 9, 8 * SECOND);
    plan.kept = Some(Kept {
        blackouts: vec![(10 * SECOND, 20 * SECOND)],
        keep,
        keep_zone,
        most_away,
        answered_within,
        overrun_may_enter,
    });
    let (length, overrun) = (5 * SECOND, 2 * SECOND);
    let (servers, latest) = (vec![3], 60 * SECOND);
    plan.windows = vec![WindowSpec {
        at: 0,
        servers,
        length,
        overrun,
        latest,
        priority: 0,
        split: true,
    }];
    let acted = |(at, act): &(Us, Act)| {
        (
            at * SECOND,
            Seen::Acted {
                act: *act,
                server: 3,
                window: 1,
                token: 1,
                accepted: true,
            },
        )
    };
    let record: Vec<Entry> = acts.iter().map(acted).collect();
    blackouts(&plan, &record, SECOND)
        .iter()
        .map(|finding| finding.at / SECOND)
        .collect()
}

#[test]
fn what_goes_away_in_a_blackout_or_too_late_before_it_or_stays_is_found() {
    use Act::{CallBack, Drain, Return, Take};
    assert_eq!(
        broken(false, &[(2, Drain), (3, Take), (8, Return), (30, Drain)]),
        NONE
    );
    assert_eq!(broken(false, &[(12, Drain), (13, CallBack)]), [12]);
    assert_eq!(broken(false, &[(12, Take), (13, Return)]), [12]);
    assert_eq!(
        broken(false, &[(4, Drain), (6, CallBack)]),
        [4],
        "it would end at 11"
    );
    assert_eq!(broken(true, &[(4, Drain), (6, CallBack)]), NONE);
    assert_eq!(
        broken(true, &[(4, Drain), (5, Take), (12, Return)]),
        [12],
        "away until 12"
    );
}
