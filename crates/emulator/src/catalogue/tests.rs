//! Tests of `catalogue.rs`.

use super::*;

#[test]
fn the_platform_replaces_planned_changes_but_no_version_already_received() {
    let active = |since| State::Active { since };
    let planned = [
        (5, 0, State::Left),
        (20, 0, active(Some(20))),
        (20, 1, State::Left),
    ];
    let changes = planned
        .map(|(at, server, state)| Change { at, server, state })
        .to_vec();
    let catalogue = Catalogue::new(Directory {
        initial: vec![0, 1, 2],
        changes,
    });
    let received = catalogue.with(|d| (d.version_at(10, 0), d.list_at(d.version_at(10, 0))));
    catalogue.set(10, 0, State::Leaving);
    assert_eq!(catalogue.with(|d| d.list_at(received.0)), received.1);
    assert_eq!(
        catalogue.with(|d| d.list_at(d.version_at(30, 0))),
        [(0, State::Leaving), (2, active(None))],
        "what was drawn for server 0 no longer comes"
    );
    catalogue.set(31, 0, active(Some(31)));
    assert_eq!(
        (
            catalogue.process_start(30, 0),
            catalogue.process_start(31, 0),
            catalogue.process_start(31, 2)
        ),
        (None, Some(31), None)
    );
}
