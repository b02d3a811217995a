//! Tests of `statistics.rs`.

use super::*;

#[test]
fn intervals_follow_students_table() {
    let known = interval(&[1.0, 2.0, 3.0, 4.0]);
    // s = 1.291, half = 3.182 * 1.291 / 2.
    assert_eq!(known.mean, 2.5);
    assert!(
        (known.low.expect("four values") - 0.446).abs() < 0.001,
        "{known:?}"
    );
    assert_eq!(
        interval(&[3.0]),
        Interval {
            mean: 3.0,
            low: None,
            high: None
        }
    );
    assert_eq!(interval(&[2.0; 40]).high, Some(2.0));
    assert_eq!(mean(&[]), 0.0);
}
