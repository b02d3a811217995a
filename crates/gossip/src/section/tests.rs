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
        key(|s| s.ejection.min_reporters = 1),
        "fleet.ejection.min_reporters"
    );
    assert_eq!(
        key(|s| s.ejection.max_staleness = Time::ms(3999)),
        "fleet.ejection.max_staleness"
    );
    assert_eq!(
        key(|s| s.listen.set_ip([0, 0, 0, 0].into())),
        "fleet.advertise"
    );
    assert_eq!(
        key(|s| s.affinity.max_ahead = -1.0),
        "fleet.affinity.max_ahead"
    );
    assert_eq!(
        key(|s| s.affinity_entries.enabled = true),
        "fleet.affinity_entries.enabled"
    );
    assert_eq!(
        key(|s| s.affinity_entries.keys = 0),
        "fleet.affinity_entries.keys"
    );
}
