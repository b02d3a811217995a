//! Turns the record of one run into figures and curves.

mod affinity;
mod connectivity;
mod maintenance;
mod recovery;
mod trials;

use crate::audit::Finding;
use crate::outcome::Measure;
use crate::plan::Plan;
use crate::record::{Entry, Seen, Try};
use crate::site::CLASSES;
use crate::supervisor::ResourceUsage;
use crate::{SECOND, Us};
use affinity::bindings;
use connectivity::standing;
use hdrhistogram::Histogram;
use maintenance::maintenance;
use recovery::recovery;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use trials::trials;

/// What the emulator knows besides the record.
#[derive(Clone, Debug, Default)]
pub struct Beside {
    /// Work done and work saved by warm keys, in microseconds on a core of speed 1.
    pub work: (f64, f64),
    /// Work that would have been saved had each request gone where its key was known best.
    pub savable: f64,
    /// Servers pushed over while cold.
    pub fallen: usize,
    /// What each sidecar's processes have used; none in simulated time.
    pub spent: Vec<ResourceUsage>,
    /// Bytes of datagrams that sidecars sent each other.
    pub fleet_bytes: u64,
    /// How late requests left the emulator, one in a hundred, in microseconds.
    pub lateness: Us,
}

/// What one run came to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Tally {
    /// Its figures.
    pub measures: BTreeMap<Measure, f64>,
    /// Worth served over worth asked, for the requests of each half second.
    pub served: Vec<f64>,
    /// Attempts in each half second.
    pub attempts: Vec<f64>,
    /// Attempts at each server.
    pub by_server: Vec<u64>,
    /// Times in milliseconds at the percentiles of [`PERCENTILES`], of all answered requests.
    pub latency_ms: Vec<f64>,
    /// Broken rules.
    pub findings: Vec<Finding>,
}

/// Width of a place in the curves.
pub const BIN: Us = SECOND / 2;
/// The percentiles of the latency curve.
pub const PERCENTILES: [f64; 9] = [5.0, 25.0, 50.0, 75.0, 90.0, 95.0, 98.0, 99.0, 99.9];
/// Longest time that the histogram holds.
const MAX_LATENCY: Us = 60 * SECOND;

/// What became of one request, over all its tries.
#[derive(Clone, Copy, Default)]
struct Fate {
    answered: Option<Us>,
}

/// A part of a whole; of nothing it is none.
fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

/// Counts a run.
#[expect(
    clippy::too_many_lines,
    reason = "one pass over the record; to be split by figure"
)]
pub fn tally(plan: &Plan, record: &[Entry], beside: Beside, findings: Vec<Finding>) -> Tally {
    let counted = |at: Us| at >= plan.warmup;
    let bins = (plan.lasts / BIN) as usize + 1;
    let mut fates = vec![Fate::default(); plan.arrivals.len()];
    let mut arrivals: HashMap<Try, usize> = HashMap::new();
    let mut by_server = vec![0_u64; plan.servers.len()];
    let mut attempts_over_time = vec![0.0; bins];
    let (mut tries, mut refused, mut failed) = (0.0, 0.0, 0.0);
    let (mut attempts, mut turned, mut swallowed, mut handshakes, mut probes, mut crossing) =
        (0.0, 0.0, 0.0, 0.0, 0.0, 0.0);
    for (at, seen) in record {
        match seen {
            Seen::Taken {
                request, arrival, ..
            } => drop(arrivals.insert(*request, *arrival)),
            Seen::Answered {
                request,
                status: 200,
                ..
            } => {
                if let Some(fate) = arrivals.get(request).map(|arrival| &mut fates[*arrival]) {
                    fate.answered = fate.answered.or(Some(*at));
                }
            }
            _ => {}
        }
        if !counted(*at) {
            continue;
        }
        match seen {
            Seen::Taken { .. } => tries += 1.0,
            Seen::Unreached { .. } => (tries, failed) = (tries + 1.0, failed + 1.0),
            Seen::Answered { status: 200, .. } => {}
            Seen::Answered {
                status: 429 | 503, ..
            } => refused += 1.0,
            Seen::Answered { .. } | Seen::Lost { .. } | Seen::GaveUp { .. } => failed += 1.0,
            Seen::Attempt {
                sidecar,
                server,
                began,
                ..
            } => {
                attempts += 1.0;
                by_server[*server] += 1;
                crossing += f64::from(u8::from(
                    plan.sidecars[*sidecar].zone != plan.servers[*server].zone,
                ));
                if let Some(bin) = attempts_over_time.get_mut((began / BIN) as usize) {
                    *bin += 1.0;
                }
            }
            Seen::AttemptAnswered {
                unprocessed: true, ..
            } => turned += 1.0,
            Seen::AttemptSwallowed { .. } => swallowed += 1.0,
            Seen::Handshake { .. } => handshakes += 1.0,
            Seen::Probe { .. } => probes += 1.0,
            _ => {}
        }
    }
    let mut latency = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY, 3).ok();
    let (mut asked, mut served) = (vec![0.0; bins], vec![0.0; bins]);
    let mut of_class = [(0.0, 0.0); CLASSES.len()];
    let (mut requests, mut answered) = (0.0, 0.0);
    for (arrival, fate) in plan
        .arrivals
        .iter()
        .zip(&fates)
        .filter(|(a, _)| counted(a.at))
    {
        let class = &CLASSES[arrival.class];
        let took = fate.answered.map(|at| at.saturating_sub(arrival.at));
        let worth = if took.is_some_and(|took| took <= class.aim) {
            class.worth
        } else {
            0.0
        };
        let bin = (arrival.at / BIN) as usize;
        (asked[bin], served[bin]) = (asked[bin] + class.worth, served[bin] + worth);
        let of = &mut of_class[arrival.class];
        *of = (of.0 + class.worth, of.1 + worth);
        requests += 1.0;
        if let Some(took) = took {
            answered += 1.0;
            if let Some(latency) = &mut latency {
                latency.saturating_record(took.max(1));
            }
        }
    }
    let at = |percentile: f64| {
        latency
            .as_ref()
            .filter(|l| !l.is_empty())
            .map_or(0.0, |l| l.value_at_percentile(percentile) as f64 / 1e3)
    };
    let (worth, in_time) = (asked.iter().sum::<f64>(), served.iter().sum::<f64>());
    let worst_class = of_class
        .iter()
        .filter(|(a, _)| *a > 0.0)
        .map(|(a, s)| s / a)
        .fold(1.0, f64::min);
    let seconds = asked.chunks(2).zip(served.chunks(2));
    let worst_second = seconds
        .map(|(a, s)| (a.iter().sum::<f64>(), s.iter().sum::<f64>()))
        .filter(|(a, _)| *a > 0.0)
        .map(|(a, s)| s / a)
        .fold(1.0, f64::min);
    let processor: f64 = beside.spent.iter().map(|s| s.cpu_seconds).sum();
    let resident: f64 = beside.spent.iter().map(|s| s.resident_bytes as f64).sum();
    let measures = [
        (Measure::Served, share(in_time, worth)),
        (Measure::ServedWorstClass, worst_class),
        (Measure::ServedWorstSecond, worst_second),
        (Measure::Answered, share(answered, requests)),
        (Measure::Refused, share(refused, tries)),
        (Measure::Failed, share(failed, tries)),
        (Measure::Attempts, share(attempts, requests)),
        (Measure::TurnedAway, share(turned, requests)),
        (Measure::Swallowed, share(swallowed, requests)),
        (Measure::Trials, trials(plan, record)),
        (Measure::Handshakes, share(handshakes, requests)),
        (Measure::Probes, share(probes, requests)),
        (Measure::Crossing, share(crossing, attempts)),
        (
            Measure::WorkSavable,
            share(beside.savable, beside.work.0 + beside.work.1),
        ),
        (
            Measure::WorkSaved,
            share(beside.work.1, beside.work.0 + beside.work.1),
        ),
        (
            Measure::FleetBytes,
            share(
                beside.fleet_bytes as f64,
                plan.sidecars.len() as f64 * plan.lasts as f64 / SECOND as f64,
            ),
        ),
        (Measure::Fallen, beside.fallen as f64),
        (
            Measure::ProcessorMs,
            share(processor * 1e3, plan.arrivals.len() as f64),
        ),
        (
            Measure::MemoryMb,
            share(resident / 1e6, beside.spent.len() as f64),
        ),
        (Measure::P50Ms, at(50.0)),
        (Measure::P99Ms, at(99.0)),
        (Measure::LatenessMs, beside.lateness as f64 / 1e3),
        (Measure::BrokenRules, findings.len() as f64),
    ];
    Tally {
        measures: measures
            .into_iter()
            .chain(maintenance(plan, record))
            .chain(standing(plan, record))
            .chain(bindings(plan, record))
            .chain(recovery(plan, record))
            .collect(),
        served: asked
            .iter()
            .zip(&served)
            .map(|(a, s)| if *a > 0.0 { s / a } else { 1.0 })
            .collect(),
        attempts: attempts_over_time,
        by_server,
        latency_ms: PERCENTILES.iter().map(|p| at(*p)).collect(),
        findings,
    }
}

#[cfg(test)]
mod tests;
