//! Tests of `observer.rs`.

use super::*;
use serde_json::json;

#[test]
fn a_connectivity_state_is_read_by_itself_or_with_its_particulars() {
    assert_eq!(
        standing(&json!({"standing": "whole"})),
        Some(ConnectivityReport::Whole)
    );
    assert_eq!(
        standing(&json!({"standing": {"kind": "cut", "larger": true}})),
        Some(ConnectivityReport::Cut)
    );
    assert_eq!(
        [json!({}), json!({"standing": "odd"})].map(|page| standing(&page)),
        [None, None]
    );
}
