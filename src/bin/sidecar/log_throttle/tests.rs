//! Tests of `log_throttle.rs`.

use super::*;

#[test]
fn one_passes_in_each_spacing_and_the_others_are_counted() {
    let (start, mut spaced) = (Instant::now(), LogThrottle::new(Duration::from_secs(5)));
    let at = |ms| start + Duration::from_millis(ms);
    let passed: Vec<_> = [0, 1, 4999, 5000, 5001, 10_500]
        .map(|ms| spaced.allow(at(ms)))
        .into();
    assert_eq!(passed, [Some(0), None, None, Some(2), None, Some(1)]);
    assert_eq!(suppressed_note(2), " (2 like it left out)");
    assert_eq!(suppressed_note(0), "");
}
