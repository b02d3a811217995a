//! Tests of `observer.rs`.

use super::*;
use serde_json::json;

#[test]
fn a_connectivity_state_is_parsed_with_and_without_details() {
    assert_eq!(
        parse_connectivity(&json!({"standing": "whole"})),
        Some(ConnectivityReport::Whole)
    );
    assert_eq!(
        parse_connectivity(&json!({"standing": {"kind": "cut", "larger": true}})),
        Some(ConnectivityReport::Cut)
    );
    assert_eq!(
        [json!({}), json!({"standing": "odd"})].map(|page| parse_connectivity(&page)),
        [None, None]
    );
}
