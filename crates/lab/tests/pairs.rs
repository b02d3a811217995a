//! Today's version against earlier ones, by what was recorded of those: decisions, datagrams, store files, steward logs.

use linenproxy_lab::pairs::feed::parting;
use linenproxy_lab::pairs::histories::{Kind, history};
use linenproxy_lab::pairs::pins::Pins;
use std::path::{Path, PathBuf};

fn recorded(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("pairs").join(name)
}

fn pins() -> Pins {
    Pins::load(&Pins::place()).expect("the pinned file is in order")
}

#[test]
fn the_wire_tells_a_module_all_that_it_is_told_in_simulated_time() {
    // Two of each kind: the adapter on the simulator's wire answers as the module by itself did.
    for number in 0..2 * Kind::ALL.len() as u64 {
        let mut history = history(number).expect("it has no configuration");
        let mut answered = Vec::new();
        linenproxy::wire::serve(history.told.as_bytes(), &mut answered).expect("it is the wire");
        let answered = String::from_utf8(answered).expect("text");
        assert_eq!(parting(&history, &answered), None, "history {number}");
        assert!(answered.matches("\nhand_off ").count() > 100, "history {number} is empty");
        // One figure off is found where it is.
        let at = answered.rfind("defer ").expect("timers are set");
        history.answered.insert(at + 6, '1');
        let parting = parting(&history, &answered).expect("they differ");
        assert!(parting.line > 1 && parting.ours.starts_with("defer 1"), "{parting}");
    }
}

#[test]
fn decisions_are_those_of_the_recorded_revision_where_no_difference_is_declared() {
    let pins = pins();
    let revision = pins.revision(&pins.recorded).expect("it is pinned");
    let digests = std::fs::read_to_string(recorded("decisions.txt")).expect("it is recorded");
    let mut changed = Vec::new();
    for (number, digest) in digests.lines().enumerate() {
        let kind = Kind::of(number as u64);
        let history = history(number as u64).expect("it has no configuration");
        if !revision.may_differ(kind) && format!("{:016x}", history.digest()) != digest {
            changed.push((number, kind));
        }
    }
    assert!(digests.lines().count() >= 1000, "too little is recorded");
    assert!(changed.is_empty(), "decisions differ in {changed:?}: declare why, see docs/versions.md");
}
