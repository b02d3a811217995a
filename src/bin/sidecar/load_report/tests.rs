//! Tests of `load_report.rs`.

use super::*;

#[test]
fn a_load_report_is_read_as_far_as_it_can_be() {
    let load = parse_load_report(&HeaderValue::from_static(
        "inflight=7,queue=,util=0.61,eps=NaN,odd=1,=",
    ));
    assert_eq!(
        load,
        LoadReport {
            active: Some(7.0),
            cpu: Some(0.61),
            ..LoadReport::default()
        }
    );
}
