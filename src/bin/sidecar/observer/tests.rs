//! Tests of `observer.rs`.

use super::*;

#[test]
fn every_outcome_has_a_label_of_its_own() {
    use Outcome::*;
    let all = [
        Ok,
        Error,
        Rejected,
        TimedOut,
        ConnectFailed,
        Reset,
        Cancelled,
        NotSent,
    ];
    for (i, outcome) in all.into_iter().enumerate() {
        assert_eq!(outcome_label(outcome).0, i, "{outcome:?}");
    }
}
