//! Tests of `section.rs`.

use super::*;

#[test]
fn defaults_hold_together_and_contradictions_are_named() {
    assert_eq!(FleetSection::default().check(), Ok(()));
    let key = |change: fn(&mut FleetSection)| {
        let mut section = FleetSection::default();
        change(&mut section);
        section.check().expect_err("it is wrong").key
    };
    assert_eq!(key(|s| s.cluster.clear()), "fleet.cluster");
    assert_eq!(
        key(|s| s.verdicts.witnesses = 1),
        "fleet.verdicts.witnesses"
    );
    assert_eq!(
        key(|s| s.verdicts.bound = Time::ms(3999)),
        "fleet.verdicts.bound"
    );
    assert_eq!(
        key(|s| s.listen.set_ip([0, 0, 0, 0].into())),
        "fleet.advertise"
    );
    assert_eq!(key(|s| s.affinity.ahead = -1.0), "fleet.affinity.ahead");
    assert_eq!(key(|s| s.bindings.enabled = true), "fleet.bindings.enabled");
    assert_eq!(key(|s| s.bindings.keys = 0), "fleet.bindings.keys");
}
