//! Tests of `ageing.rs`.

use super::*;
use crate::draw::draw;
use crate::experiment::Experiment;

const FIRST: i64 = 1000;

/// Ten members that hold the same fifty affinity entries, each used once and told of; every second
/// one dump of each.
fn play(change: impl Fn(usize, i64, &mut Dump)) -> Vec<Finding> {
    let experiment = Experiment {
        name: "ageing".to_owned(),
        ..Experiment::default()
    };
    let mut plan = draw(&experiment, 1);
    plan.arrivals.truncate(50);
    let mut record = Vec::new();
    for (number, arrival) in plan.arrivals.iter_mut().enumerate() {
        arrival.key = number as u64;
        let (number, server) = (number as u64, number % 5);
        let request = Some(number << 4);
        record.push((
            1,
            Seen::Attempt {
                number,
                request,
                sidecar: 0,
                server,
                began: 1,
            },
        ));
        record.push((
            2,
            Seen::AttemptAnswered {
                number,
                status: 200,
                unprocessed: false,
            },
        ));
    }
    for second in 0..40 {
        for sidecar in 0..10 {
            let place = |key: u64| KeyAtProcess {
                key,
                server: key as usize % 5,
                started_ms: 0,
            };
            let held = |key| DumpedEntry {
                place: place(key),
                epoch: 0,
                ends: FIRST + RENEWED_LIFETIME_SLOTS,
                renewed: true,
            };
            let slot = FIRST + second * 2;
            let held = (0..50).map(held).filter(|h| slot < h.ends).collect();
            let mut dump = Dump {
                sidecar,
                slot,
                in_contact: true,
                entries: held,
                picks: Vec::new(),
            };
            change(sidecar, second, &mut dump);
            record.push((second as Us * 1_000_000 + 3, Seen::Dump(Box::new(dump))));
        }
    }
    ageing(&plan, (FIRST * SLOT as i64 / 1000) as u64, &record)
}

#[test]
fn what_ages_out_alike_is_not_complained_of() {
    assert_eq!(play(|_, _, _| {}), []);
    // Nor one that says that it hears nobody.
    assert_eq!(
        play(|sidecar, second, dump| if sidecar == 3 && second > 9 {
            (dump.in_contact, dump.entries) = (false, Vec::new());
        }),
        []
    );
}

#[test]
fn what_comes_back_goes_early_or_was_never_used_is_found() {
    let words = |findings: Vec<Finding>| {
        findings
            .into_iter()
            .map(|f| f.what)
            .collect::<Vec<_>>()
            .join("; ")
    };
    let back = play(|sidecar, second, dump| {
        if sidecar == 2 && second == 9 {
            dump.entries.clear()
        }
    });
    assert!(words(back).contains("is back"));
    let early = play(|sidecar, second, dump| {
        if sidecar < 4 && second > 20 {
            dump.entries.clear()
        }
    });
    assert!(words(early).contains("were missing"));
    let later = |held: &mut DumpedEntry| held.ends += 9;
    let never = play(|sidecar, _, dump| {
        if sidecar == 5 {
            dump.entries.iter_mut().for_each(later)
        }
    });
    assert!(words(never).contains("tells of a use"));
}
