//! Tests of `catalogue.rs`.

use super::*;

#[test]
fn the_platform_changes_what_was_drawn_and_no_version_that_was_heard() {
    let active = |since| State::Active { since };
    let drawn = [
        (5, 0, State::Left),
        (20, 0, active(Some(20))),
        (20, 1, State::Left),
    ];
    let changes = drawn
        .map(|(at, server, state)| Change { at, server, state })
        .to_vec();
    let catalogue = Catalogue::new(Directory {
        known: vec![0, 1, 2],
        changes,
    });
    let heard = catalogue.with(|d| (d.heard(10, 0), d.whole(d.heard(10, 0))));
    catalogue.set(10, 0, State::Leaving);
    assert_eq!(catalogue.with(|d| d.whole(heard.0)), heard.1);
    assert_eq!(
        catalogue.with(|d| d.whole(d.heard(30, 0))),
        [(0, State::Leaving), (2, active(None))],
        "what was drawn for server 0 no longer comes"
    );
    catalogue.set(31, 0, active(Some(31)));
    assert_eq!(
        (
            catalogue.since(30, 0),
            catalogue.since(31, 0),
            catalogue.since(31, 2)
        ),
        (None, Some(31), None)
    );
}
