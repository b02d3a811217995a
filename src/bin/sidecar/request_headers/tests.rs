//! Tests of `request_headers.rs`.

use super::*;

#[test]
fn time_left_is_a_number_and_a_unit() {
    let read = [
        ("480m", 480_000),
        ("480000u", 480_000),
        ("0.5m", 500),
        ("0m", 0),
        ("1e9m", -1),
    ];
    for (text, us) in read {
        assert_eq!(parse_time_left(text).unwrap_or(-1), us, "{text}");
    }
    assert_eq!(
        parse_time_left(&("9".repeat(400) + "m")),
        Some(MAX_TIME_LEFT)
    );
    for bad in [
        "", "m", "480", "480s", "-1m", "+1m", " 1m", "1 m", "infm", "NaNu", "1.2.3m", ".",
    ] {
        assert_eq!(parse_time_left(bad), None, "{bad}");
    }
}
