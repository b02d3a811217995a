//! Tests of `connectivity.rs`.

use super::*;

fn row((kind, permissions): &(ConnectivityState, Permissions)) -> String {
    let observations = match permissions.observations {
        Observations::Shared => "published and followed",
        Observations::Followed => "followed to their maximum staleness, none published",
    };
    let trials = match permissions.trials {
        Trials::Shared => "one member of all a slot",
        Trials::Side => "one of those heard a slot",
        Trials::Own => "its own",
        Trials::None => "none",
    };
    let entries = match permissions.affinity_entries {
        AffinityEntries::Used => "used",
        AffinityEntries::RunOut => "expire",
        AffinityEntries::Idle => "not used",
    };
    let answers = match permissions.answers {
        Answers::Yes => "yes",
        Answers::Larger => "from the larger side",
        Answers::No => "no",
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
        TABLE
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
    assert_eq!(written, TABLE.iter().map(row).collect::<Vec<_>>());
}

#[test]
fn only_the_larger_side_of_a_cut_answers() {
    let cut = |larger| Connectivity {
        kind: ConnectivityState::Partitioned,
        cut: vec![(1, Direction::Both)],
        larger,
    };
    assert!(cut(Some(true)).answers() && !cut(Some(false)).answers() && !cut(None).answers());
    assert!(Connectivity::default().answers());
}
