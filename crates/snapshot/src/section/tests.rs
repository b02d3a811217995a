//! Tests of `section.rs`.

use super::*;

#[test]
fn defaults_hold_together_and_contradictions_are_named() {
    assert_eq!(StateSection::default().check(), Ok(()));
    let key = |change: fn(&mut StateSection)| {
        let mut section = StateSection::default();
        change(&mut section);
        section.check().expect_err("it is wrong").key
    };
    assert_eq!(key(|s| s.dir = Some(PathBuf::new())), "state.dir");
    assert_eq!(key(|s| s.every = Time::ms(49)), "state.every");
    assert_eq!(
        key(|s| s.verdicts_bound = Time::ms(900)),
        "state.verdicts_bound"
    );
    assert_eq!(key(|s| s.list_bound = Time::ms(59_000)), "state.list_bound");
}
