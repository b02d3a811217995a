//! Tests of `section.rs`.

use super::*;

#[test]
fn the_defaults_are_valid_and_invalid_settings_are_named() {
    assert_eq!(SnapshotSection::default().check(), Ok(()));
    let key = |change: fn(&mut SnapshotSection)| {
        let mut section = SnapshotSection::default();
        change(&mut section);
        section.check().expect_err("it is wrong").key
    };
    assert_eq!(key(|s| s.dir = Some(PathBuf::new())), "snapshot.dir");
    assert_eq!(key(|s| s.interval = Time::ms(49)), "snapshot.interval");
    assert_eq!(
        key(|s| s.health_max_staleness = Time::ms(900)),
        "snapshot.health_max_staleness"
    );
    assert_eq!(
        key(|s| s.list_max_staleness = Time::ms(59_000)),
        "snapshot.list_max_staleness"
    );
}
