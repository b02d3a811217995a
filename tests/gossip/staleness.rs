//! Words past their bound.

use crate::common::*;
use crate::{SECOND, sharing};
use load_balancer::*;

/// A history drawn from a seed; `more` may say things in between. Gives all that was asked for.
fn history(
    seed: u64,
    share: SharingOptions,
    more: impl Fn(&mut Harness, &mut fastrand::Rng),
) -> Vec<Action> {
    let (mut harness, mut rng) = (
        Harness::new(default_settings(), 12, seed),
        fastrand::Rng::with_seed(seed),
    );
    // What is drawn for words must not move what is drawn for the history.
    let mut others = fastrand::Rng::with_seed(!seed);
    harness.balancer.set_sharing(share);
    let mut all = Vec::new();
    for _ in 0..200 {
        more(&mut harness, &mut others);
        let (class, pause) = (rng.usize(0..3), rng.i64(1..200) * MS);
        all.extend(harness.request(class).1);
        all.extend(harness.advance(pause));
        let open: Vec<_> = harness.in_flight.keys().copied().collect();
        for (id, attempt) in open {
            let outcome = match rng.u8(0..10) {
                0 => Outcome::Error,
                1 => Outcome::ConnectFailed,
                2 => Outcome::Reset,
                3 | 4 => continue,
                _ => Outcome::Ok,
            };
            all.extend(harness.finish(id, attempt, outcome));
        }
    }
    all.retain(|a| !matches!(a, Action::ReportHealth { .. }));
    all
}

/// Past its bound a word counts as never said: decisions equal a lone instance's over random
/// histories.
#[test]
fn observations_past_their_bound_change_no_decision_at_all() {
    for seed in 0..60 {
        let lone = history(seed, SharingOptions::default(), |harness, _| {
            drop(harness.handle(Event::Ejections(Vec::new())))
        });
        let same = |one: &[Action], other: &[Action], what: &str| {
            let differs = one.iter().zip(other).position(|(a, b)| a != b);
            assert_eq!(
                (differs, one.len()),
                (None, other.len()),
                "{what}, seed {seed}"
            );
        };
        let late = history(seed, sharing(true, 0.0), |harness, rng| {
            let statuses = [
                EjectionStatus::Ejected,
                EjectionStatus::TrialDue,
                EjectionStatus::Recovered,
            ];
            let mut words = Vec::new();
            for _ in 0..rng.usize(0..4) {
                let (endpoint, until) = (rng.usize(0..12), harness.now - rng.i64(0..5 * SECOND));
                words.push(EjectionUpdate {
                    endpoint,
                    status: statuses[rng.usize(0..3)],
                    expires: until,
                });
            }
            harness.handle(Event::Ejections(words));
        });
        same(&late, &lone, "past the bound");
        let taken_back = history(seed, sharing(true, 0.0), |harness, rng| {
            let (endpoint, until) = (rng.usize(0..12), harness.now + SECOND);
            let both = [EjectionStatus::Ejected, EjectionStatus::NotEjected].map(|status| {
                EjectionUpdate {
                    endpoint,
                    status,
                    expires: until,
                }
            });
            harness.handle(Event::Ejections(both.to_vec()));
        });
        same(&taken_back, &lone, "taken back");
    }
}
