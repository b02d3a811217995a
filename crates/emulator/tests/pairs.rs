//! Today's version against earlier ones, by what was recorded of those: decisions, datagrams, store
//! files, coordinator logs.

use load_balancer_emulator::pairs::feed::parting;
use load_balancer_emulator::pairs::histories::{Kind, history};
use load_balancer_emulator::pairs::pins::Pins;
use load_balancer_emulator::pairs::{coordinator, coordinators, lan, member};
use std::path::{Path, PathBuf};

fn recorded(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("pairs")
        .join(name)
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
        load_balancer::simulator_wire::serve(history.told.as_bytes(), &mut answered)
            .expect("it is the wire");
        let answered = String::from_utf8(answered).expect("text");
        assert_eq!(parting(&history, &answered), None, "history {number}");
        assert!(
            answered.matches("\nhand_off ").count() > 100,
            "history {number} is empty"
        );
        // One figure off is found where it is.
        let at = answered.rfind("defer ").expect("timers are set");
        history.answered.insert(at + 6, '1');
        let parting = parting(&history, &answered).expect("they differ");
        assert!(
            parting.line > 1 && parting.ours.starts_with("defer 1"),
            "{parting}"
        );
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
    assert!(
        changed.is_empty(),
        "decisions differ in {changed:?}: declare why, see docs/versions.md"
    );
}

fn text(name: &str) -> String {
    std::fs::read_to_string(recorded("recorded").join(name)).expect("it is recorded")
}

#[test]
fn a_member_of_today_reads_all_that_an_earlier_one_was_told() {
    let (mut session, text) = (member::Session::default(), text("member.txt"));
    let mut answers = Vec::new();
    for line in text.lines() {
        answers.extend(session.line(line).expect("it is a line of the talk"));
    }
    let state = session.line("state").expect("it runs").concat();
    let words: Vec<&str> = state.split(' ').collect();
    let [_, members, received, heard, dropped] = words[..] else {
        panic!("{state}")
    };
    // All others but the one that left; whatever came was of a form that is known.
    assert_eq!(members, (lan::MEMBERS - 2).to_string(), "{state}");
    assert!(
        received.parse::<usize>().expect("a number") > 100 && heard != "0",
        "{state}"
    );
    let dropped: Vec<u64> = dropped
        .split(',')
        .map(|n| n.parse().expect("a number"))
        .collect();
    use load_balancer_gossip::frame::DropReason::{
        Cluster, Forged, Kind, Malformed, TooLong, Version,
    };
    let unread =
        [TooLong, Malformed, Version, Cluster, Forged, Kind].map(|why| dropped[why as usize]);
    assert_eq!(unread, [0; 6], "{state}");
    assert!(
        answers
            .iter()
            .any(|answer| answer.starts_with("word 0 Yes")),
        "it rests nothing"
    );
    let carried = answers
        .iter()
        .filter(|answer| answer.starts_with("carried "))
        .count();
    assert_eq!(carried, lan::MEMBERS - 1);
}

#[test]
fn a_coordinator_of_today_goes_on_with_an_earlier_ones_log_and_messages() {
    let (folder, text) = (tempfile::tempdir().expect("a folder"), text("steward.txt"));
    let file = folder.path().join("coordinator-2.redb");
    let bytes = coordinators::whole(&self::text("steward-store.txt")).expect("it holds a file");
    std::fs::write(&file, bytes).expect("it can be written");
    let mut session = coordinator::Session::default();
    let mut ask = |line: &str| {
        session
            .line(line)
            .unwrap_or_else(|e| panic!("{line:?}: {e}"))
    };
    assert_eq!(
        ask(&format!("start s2 7 99 0 {}", file.display())),
        [""; 0],
        "the file was set aside"
    );
    ask("tick");
    let mut lines = text.lines();
    let book = lines.next().expect("the book comes first");
    let passed = lines
        .filter(|line| ask(line).contains(&"passed true".to_owned()))
        .count();
    let state = ask("state").concat();
    // It has the number of the earlier disk, and every order with its time.
    assert_eq!(state, format!("state 102 false {book}"));
    assert!(
        book.matches(',').count() > 10 && passed > 50,
        "{passed} messages were let in"
    );
}

#[test]
fn members_and_coordinators_of_one_version_pass_the_run_of_two_versions() {
    let came = lan::play(&[None; lan::MEMBERS], 1).expect("they play");
    assert_eq!(lan::judge(&came, |_| false), [""; 0]);
    // A datagram that cannot be read is found.
    let mut other = came.clone();
    other[0].dropped[load_balancer_gossip::frame::DropReason::Version as usize] = 1;
    assert_eq!(lan::judge(&other, |_| false).len(), 1);
    let folder = tempfile::tempdir().expect("a folder");
    let mut came = coordinators::play(folder.path(), &[[None; coordinators::COORDINATORS]], 60)
        .expect("they play");
    assert_eq!(coordinators::judge(&came), [""; 0]);
    came.books[1].push('1');
    assert_eq!(coordinators::judge(&came).len(), 1);
}
