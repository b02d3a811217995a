//! Tests of `site.rs`.

use super::*;

#[test]
fn a_sidecar_can_use_its_settings() {
    let decoded =
        load_balancer::settings::decode(&settings(60, 3, 1).to_string()).expect("they are read");
    assert_eq!(decoded.settings.check(), Ok(()));
    assert_eq!(decoded.classes, CLASSES.map(|c| c.name));
    assert_eq!(
        (decoded.settings.instances, decoded.settings.index),
        (60, 3)
    );
    let total: f64 = CLASSES.iter().map(|c| c.share).sum();
    assert!((total - 1.0).abs() < 1e-9);
}
