//! Tests of `standing.rs`.

use super::*;
use crate::draw::draw;
use crate::experiment::Experiment;

#[test]
fn a_cut_is_found_late_or_missed_and_one_without_a_cause_is_false() {
    let mut plan = draw(
        &Experiment {
            name: "a".to_owned(),
            ..Experiment::default()
        },
        1,
    );
    plan.steps = vec![
        (5 * SECOND, Step::Cut(0, Way::Both, true)),
        (9 * SECOND, Step::Cut(0, Way::Both, false)),
    ];
    let says = |at: Us, sidecar, stands| (at * SECOND, Seen::Standing { sidecar, stands });
    let record = [
        says(1, 0, ConnectivityReport::Whole),
        says(1, 1, ConnectivityReport::Whole),
        says(2, 1, ConnectivityReport::Alone),
        says(3, 1, ConnectivityReport::Whole),
        says(7, 0, ConnectivityReport::Cut),
        says(10, 1, ConnectivityReport::Cut),
        says(12, 0, ConnectivityReport::Whole),
    ];
    let figures = standing(&plan, &record).map(|(_, figure)| figure);
    assert_eq!(figures, [2.0, 0.5, 3.0, 1.0]);
}
