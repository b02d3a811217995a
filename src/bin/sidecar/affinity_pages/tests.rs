//! Tests of `affinity_pages.rs`.

use super::*;

#[test]
fn what_cannot_be_used_is_named_with_its_key() {
    let key = |body: &str| {
        parse_drain_request(body.as_bytes())
            .expect_err("it is wrong")
            .0
    };
    assert!(parse_drain_request(br#"{"server": "a", "started_ms": 0, "epoch": 7}"#).is_ok());
    assert_eq!(key("{"), "body");
    assert_eq!(
        key(r#"{"server": "", "started_ms": 0, "epoch": 7}"#),
        "server"
    );
    assert_eq!(
        key(r#"{"server": "a", "started_ms": -1, "epoch": 7}"#),
        "started_ms"
    );
    assert_eq!(
        key(r#"{"server": "a", "started_ms": 0, "epoch": 18446744073709551615}"#),
        "epoch"
    );
    assert_eq!(
        key(r#"{"server": "a", "started_ms": 0, "epoch": 1, "more": 2}"#),
        "body"
    );
}
