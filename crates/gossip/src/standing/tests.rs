//! Tests of `standing.rs`.

use super::*;

fn row((kind, may): &(Kind, May)) -> String {
    let verdicts = match may.verdicts {
        Verdicts::Shared => "said and heeded",
        Verdicts::Heeded => "heeded to their bound, none said",
    };
    let trials = match may.trials {
        Trials::Shared => "one member of all a slot",
        Trials::Side => "one of those heard a slot",
        Trials::Own => "its own",
        Trials::None => "none",
    };
    let bindings = match may.bindings {
        Bindings::Used => "used",
        Bindings::RunOut => "run out",
        Bindings::Idle => "not used",
    };
    let answers = match may.answers {
        Answers::Yes => "yes",
        Answers::Larger => "from the larger side",
        Answers::No => "no",
    };
    let affinity = if may.affinity { "yes" } else { "no" };
    format!(
        "| {} | {verdicts} | {trials} | {affinity} | {bindings} | {answers} |",
        kind.word()
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
        .skip_while(|l| !l.starts_with("| standing |"))
        .skip(2)
        .take_while(|l| l.starts_with('|'))
        .collect();
    assert_eq!(written, TABLE.iter().map(row).collect::<Vec<_>>());
}

#[test]
fn only_the_larger_side_of_a_cut_answers() {
    let cut = |larger| Standing {
        kind: Kind::Cut,
        cut: vec![(1, Way::Both)],
        larger,
    };
    assert!(cut(Some(true)).answers() && !cut(Some(false)).answers() && !cut(None).answers());
    assert!(Standing::default().answers());
}
