//! Tests of `connectivity.rs`.

use super::*;

fn row((kind, permissions): &(ConnectivityState, Permissions)) -> String {
    let observations = match permissions.observations {
        Observations::Shared => "published and followed",
        Observations::Followed => "followed to their maximum staleness, none published",
    };
    let trials = match permissions.trials {
        Trials::Shared => "one member of all a slot",
        Trials::ReachableOnly => "one of those heard a slot",
        Trials::Independent => "its own",
        Trials::None => "none",
    };
    let entries = match permissions.affinity_entries {
        AffinityEntries::Used => "used",
        AffinityEntries::Expiring => "expire",
        AffinityEntries::Unused => "not used",
    };
    let answers = match permissions.answers {
        CoordinatorAnswers::Always => "yes",
        CoordinatorAnswers::LargerSideOnly => "from the larger side",
        CoordinatorAnswers::Never => "no",
    };
    let affinity = if permissions.affinity { "yes" } else { "no" };
    format!(
        "| {} | {observations} | {trials} | {affinity} | {entries} | {answers} |",
        kind.label()
    )
}

#[test]
fn the_page_has_the_table_of_the_code_and_each_kind_stands_at_its_number() {
    assert!(
        PERMISSIONS_BY_STATE
            .iter()
            .enumerate()
            .all(|(n, (kind, _))| *kind as usize == n)
    );
    let page = include_str!("../../../../docs/gossip.md");
    let written: Vec<&str> = page
        .lines()
        .skip_while(|l| !l.starts_with("| state |"))
        .skip(2)
        .take_while(|l| l.starts_with('|'))
        .collect();
    assert_eq!(
        written,
        PERMISSIONS_BY_STATE.iter().map(row).collect::<Vec<_>>()
    );
}

#[test]
fn only_the_larger_side_of_a_cut_answers() {
    let cut = |larger| Connectivity {
        state: ConnectivityState::Partitioned,
        unreachable_zones: vec![(1, Direction::Both)],
        on_larger_side: larger,
    };
    assert!(
        cut(Some(true)).may_answer_coordinator()
            && !cut(Some(false)).may_answer_coordinator()
            && !cut(None).may_answer_coordinator()
    );
    assert!(Connectivity::default().may_answer_coordinator());
}
