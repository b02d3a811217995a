//! Tests of `logging.rs`.

use super::*;

#[test]
fn levels_apply_by_target() {
    let mut section = LogSection {
        level: Level::Warn,
        ..LogSection::default()
    };
    section.targets.insert("a::b".to_owned(), Level::Debug);
    let filter = section.filter();
    assert!(filter.would_enable("a::b::c", &tracing::Level::DEBUG));
    assert!(!filter.would_enable("a", &tracing::Level::INFO));
    assert!(filter.would_enable("a", &tracing::Level::WARN));
    section.level = Level::Off;
    assert!(!section.filter().would_enable("a", &tracing::Level::ERROR));
}

#[test]
fn targets_with_an_earlier_program_name_count_as_current_ones() {
    let targets = [
        ("old", Level::Warn),
        ("old::a", Level::Debug),
        ("new::b", Level::Info),
    ];
    let mut section = LogSection {
        targets: targets
            .map(|(target, level)| (target.to_owned(), level))
            .into(),
        ..LogSection::default()
    };
    section.targets.insert("old::b".to_owned(), Level::Off);
    section.targets.insert("older".to_owned(), Level::Off);
    section.rename_targets("old", "new");
    let expected = [
        ("new", Level::Warn),
        ("new::a", Level::Debug),
        ("new::b", Level::Info),
        ("older", Level::Off),
    ];
    assert_eq!(
        section.targets,
        expected
            .map(|(target, level)| (target.to_owned(), level))
            .into()
    );
}

#[test]
fn a_buffer_too_small_for_a_line_is_rejected() {
    let section = LogSection {
        buffer: Size(10),
        ..LogSection::default()
    };
    assert_eq!(section.check().expect_err("too small").key, "log.buffer");
    assert_eq!(LogSection::default().check(), Ok(()));
}
