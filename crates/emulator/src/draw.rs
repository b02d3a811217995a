//! Draws a whole run in advance from an experiment and a seed, so that all variants meet the same
//! requests and faults.

mod arrivals;
mod faults;
mod windows;

use crate::Us;
use crate::directory::Directory;
use crate::experiment::Experiment;
pub use crate::plan::Plan;
use crate::plan::{ServerSpec, SidecarSpec};
use crate::site::{self, KINDS};
use arrivals::arrivals;
use fastrand::Rng;
pub(crate) use faults::DRAINS_FOR;
use faults::Faults;
use std::ops::RangeInclusive;
use windows::{kept, windows};

fn us(time: load_balancer_common::units::Time) -> Us {
    Us::try_from(time.0.as_micros()).unwrap_or(Us::MAX)
}

/// A stream of chance of its own for each purpose: one more fault must not move the requests.
fn stream(seed: u64, purpose: u64) -> Rng {
    let mut rng = Rng::with_seed(seed ^ purpose.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    rng.u64(..);
    rng
}

fn between(rng: &mut Rng, range: RangeInclusive<f64>) -> f64 {
    let (least, most) = range.into_inner();
    least + rng.f64() * (most - least)
}

/// Normally distributed (Box and Muller, Annals of Mathematical Statistics 29, 1958, p. 610).
fn normal(rng: &mut Rng) -> f64 {
    let (a, b) = (1.0 - rng.f64(), rng.f64());
    (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}

/// Spread of the sidecars' traffic at `uneven = 1`: the largest of 60 then has about eight times
/// the mean.
const UNEVEN_SPREAD: f64 = 1.2;
/// Requests that may wait at a server, per core.
const QUEUE_PER_CORE: RangeInclusive<f64> = 6.0..=12.0;
/// Affinity keys that a server remembers.
const REMEMBERED_KEYS: RangeInclusive<f64> = 40.0..=120.0;
/// Work of a handshake, in microseconds.
const HANDSHAKE_US: RangeInclusive<f64> = 500.0..=1000.0;

/// Draws a run.
pub fn draw(experiment: &Experiment, seed: u64) -> Plan {
    let (t, l) = (&experiment.topology, &experiment.load);
    let mut rng = stream(seed, 1);
    let groups = t.servers.div_ceil(t.group).max(t.zones);
    let mut servers: Vec<ServerSpec> = (0..t.servers)
        .map(|i| server(&mut rng, i % groups % t.zones, i % groups, i % KINDS.len()))
        .collect();
    let limits = (0..groups)
        .map(|_| {
            if rng.f64() < t.limited {
                between(&mut rng, site::LIMITED_CAPACITY)
            } else {
                1.0
            }
        })
        .collect();
    let mut rng = stream(seed, 2);
    let weights: Vec<f64> = (0..t.sidecars)
        .map(|_| (l.uneven * UNEVEN_SPREAD * normal(&mut rng)).exp())
        .collect();
    let mean = weights.iter().sum::<f64>() / weights.len() as f64;
    let lag = |rng: &mut Rng| {
        let [least, most] = experiment.network.list_delay.map(us);
        rng.u64(least..=most)
    };
    let mut sidecars: Vec<SidecarSpec> = weights
        .iter()
        .enumerate()
        .map(|(i, w)| SidecarSpec {
            zone: i % t.zones,
            share: w / mean,
            list_lag: lag(&mut rng),
            clock_offset_ms: 0,
        })
        .collect();
    let mut faults = Faults {
        steps: Vec::new(),
        changes: Vec::new(),
        rng: stream(seed, 3),
        servers: &mut servers,
        sidecars: &mut sidecars,
        list_lag: us(experiment.network.list_delay[1]),
    };
    experiment.fault.iter().for_each(|fault| faults.add(fault));
    let (mut steps, mut changes) = (faults.steps, faults.changes);
    steps.sort_by_key(|(at, _)| *at);
    changes.sort_by_key(|change| change.at);
    let known = (0..t.servers).collect();
    let windows = windows(experiment, &servers, &mut stream(seed, 5));
    Plan {
        seed,
        limits,
        arrivals: arrivals(experiment, &sidecars, seed),
        directory: Directory {
            initial: known,
            changes,
        },
        kept: kept(experiment, &servers),
        windows,
        servers,
        sidecars,
        steps,
        lasts: us(l.lasts),
        warmup: us(l.warmup),
    }
}

fn server(rng: &mut Rng, zone: usize, group: usize, kind: usize) -> ServerSpec {
    let of = &KINDS[kind];
    ServerSpec {
        name: format!("s-{:08x}", rng.u32(..)),
        zone,
        group,
        kind,
        cores: of.cores,
        speed: between(rng, of.speed.clone()),
        queue: (between(rng, QUEUE_PER_CORE) * f64::from(of.cores)) as usize,
        memory: between(rng, site::KEY_MEMORY_US) as Us,
        keys: between(rng, REMEMBERED_KEYS) as usize,
        saves: between(rng, site::KEY_SAVED_WORK),
        slowed: between(rng, site::OVERDRIVEN_SLOWDOWN),
        crowded_for: between(rng, site::OVERDRIVEN_AFTER_US) as Us,
        idle_for: between(rng, site::OVERDRIVEN_RECOVERY_US) as Us,
        handshake: between(rng, HANDSHAKE_US),
        first: true,
    }
}

#[cfg(test)]
mod tests;
