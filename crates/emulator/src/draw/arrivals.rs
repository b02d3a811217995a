//! Draws every request of a run.

use super::{between, stream, us};
use crate::experiment::Experiment;
use crate::plan::{Arrival, SidecarSpec};
use crate::site::{self, CLASSES};
use crate::{SECOND, Us};
use std::ops::RangeInclusive;

/// Longest work as a multiple of its class's mean.
const MAX_WORK: f64 = 5.0;
/// A client's wait before a further try, in microseconds.
const CLIENT_WAIT_US: RangeInclusive<f64> = 100e3..=300e3;

/// Poisson arrivals of each sidecar, whose rate wanders in a wave of its own; thinned from the
/// highest rate (Lewis and Shedler, Naval Research Logistics Quarterly 26, 1979, p. 403).
pub(super) fn arrivals(
    experiment: &Experiment,
    sidecars: &[SidecarSpec],
    seed: u64,
) -> Vec<Arrival> {
    let l = &experiment.load;
    let mut rng = stream(seed, 4);
    let works: Vec<f64> = CLASSES
        .iter()
        .map(|c| between(&mut rng, c.work.clone()) * l.work)
        .collect();
    let popularity: Vec<f64> = (0..l.keys)
        .scan(0.0, |sum, rank| {
            *sum += 1.0 / (rank + 1) as f64;
            Some(*sum)
        })
        .collect();
    let lasts = us(l.lasts);
    let mut all = Vec::new();
    for (sidecar, spec) in sidecars.iter().enumerate() {
        let (highest, phase) = (l.rate * spec.share * (1.0 + l.wander), rng.f64());
        let mut at = 0.0;
        loop {
            at += -(1.0 - rng.f64()).ln() / highest.max(1e-9) * SECOND as f64;
            if at >= lasts as f64 {
                break;
            }
            let wave = ((at / lasts as f64 + phase) * std::f64::consts::TAU).sin();
            if rng.f64() * (1.0 + l.wander) > 1.0 + l.wander * wave {
                continue;
            }
            let mut drawn = rng.f64();
            let class = CLASSES.iter().position(|c| {
                drawn -= c.share;
                drawn < 0.0
            });
            let class = class.unwrap_or(0);
            let place = rng.f64() * popularity[popularity.len() - 1];
            let spread = (-(1.0 - rng.f64()).ln()).min(MAX_WORK);
            all.push(Arrival {
                at: at as Us,
                sidecar,
                class,
                key: popularity.partition_point(|sum| *sum < place) as u64,
                work: (works[class] * spread).max(1000.0),
                patience: (between(&mut rng, site::CLIENT_PATIENCE)
                    * CLASSES[class].deadline as f64) as Us,
                waits: [(); 2].map(|()| between(&mut rng, CLIENT_WAIT_US) as Us),
            });
        }
    }
    all.sort_by_key(|a| (a.at, a.sidecar));
    all
}
