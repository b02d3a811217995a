//! Tests of `outcome.rs`.

use super::*;

#[test]
fn each_has_a_name_of_its_own() {
    let names: std::collections::BTreeSet<String> = Measure::ALL.iter().map(|m| m.name()).collect();
    assert_eq!(names.len(), Measure::ALL.len());
    assert!(
        names.contains("served_worst_second") && names.contains("p99_ms"),
        "{names:?}"
    );
}
