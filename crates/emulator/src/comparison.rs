//! Runs the variants of an experiment on the same requests and faults over several seeds, and
//! compares them with each other and with the experiment's bounds.

mod judge;

use crate::audit::Finding;
use crate::draw::draw;
use crate::experiment::{Experiment, MeasureBound};
use crate::outcome::Measure;
use crate::record::Record;
use crate::run::{Launch, Progress, RunError, run};
use crate::sim::simulate;
use crate::statistics::Interval;
use crate::tally::Tally;
use judge::judge;
use load_balancer_common::config::InvalidConfig;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use tokio::sync::watch;

/// How an experiment went: the content of `result.json`. docs/emulator.md describes each field.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Version of this form.
    pub schema: u32,
    /// The experiment as it was run, defaults included.
    pub experiment: Experiment,
    /// The first run's seed; each further one has the next number.
    pub seed: u64,
    /// Runs that count.
    pub plays: usize,
    /// Runs that were void as the machine was too slow, and were run again.
    pub voided: usize,
    /// Played in simulated time.
    pub simulated: bool,
    /// Each variant by itself.
    pub variants: Vec<OfVariant>,
    /// Each further variant against the first, paired by run.
    pub differences: Vec<Difference>,
    /// The experiment's bounds.
    pub bounds: Vec<Judged>,
    /// No rule was broken and every bound holds.
    pub passed: bool,
}

/// One variant.
#[derive(Clone, Debug, Serialize)]
pub struct OfVariant {
    /// Its name.
    pub name: String,
    /// Each measure: its mean and its value in each run.
    pub measures: BTreeMap<Measure, Values>,
    /// Broken rules, with the number of the run.
    pub findings: Vec<(usize, Finding)>,
    /// Curves, as means over the runs.
    pub curves: Curves,
}

/// A measure over the runs.
#[derive(Clone, Debug, Serialize)]
pub struct Values {
    /// Their mean.
    pub mean: f64,
    /// One for each run.
    pub plays: Vec<f64>,
}

/// What is drawn.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Curves {
    /// Width of a place in the first two, in seconds.
    pub bin_s: f64,
    /// Worth served over worth asked.
    pub served: Vec<f64>,
    /// Attempts.
    pub attempts: Vec<f64>,
    /// The percentiles of the next.
    pub percentiles: Vec<f64>,
    /// Times in milliseconds.
    pub latency_ms: Vec<f64>,
    /// Attempts at each server, of the first run.
    pub by_server: Vec<u64>,
}

/// A measure of a variant less that of the first one.
#[derive(Clone, Debug, Serialize)]
pub struct Difference {
    /// The variant.
    pub variant: String,
    /// The measure.
    pub measure: Measure,
    /// The mean of the differences run by run, and the interval that holds the true one in 95 of
    /// 100 cases.
    pub difference: Interval,
}

/// A bound, and whether it holds.
#[derive(Clone, Debug, Serialize)]
pub struct Judged {
    /// The bound.
    pub bound: MeasureBound,
    /// The variant that it was held against.
    pub variant: String,
    /// What was measured.
    pub value: f64,
    /// Whether it holds.
    pub holds: bool,
}

/// How an experiment is to be run.
pub struct Order<'a> {
    /// The experiment.
    pub experiment: &'a Experiment,
    /// The first seed.
    pub seed: u64,
    /// How many runs count.
    pub plays: usize,
    /// What takes the sidecars' place; none is simulated time.
    pub launch: Option<Launch>,
    /// Where logs go.
    pub folder: &'a Path,
}

/// Why an experiment came to nothing.
#[derive(Debug)]
pub enum Failure {
    /// A run could not be run.
    Play(RunError),
    /// A variant's configuration cannot be used.
    Config(InvalidConfig),
    /// The machine was too slow, time and again.
    Late {
        /// How late requests left, one in a hundred, in milliseconds.
        lateness_ms: f64,
    },
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Play(e) => e.fmt(f),
            Self::Config(problem) => problem.fmt(f),
            Self::Late { lateness_ms } => write!(
                f,
                "the machine is too slow for this experiment: one request in a hundred left {lateness_ms:.0} ms late or more, also when played again"
            ),
        }
    }
}

impl std::error::Error for Failure {}

/// A run that ran late is run again so many times.
const AGAIN: usize = 2;

/// Runs everything. `told` hears of each step: run, variant, requests sent.
///
/// # Errors
/// A run cannot be run, or the machine is too slow.
pub async fn compare(
    order: Order<'_>,
    told: impl Fn(usize, &str, Progress),
) -> Result<Comparison, Failure> {
    let experiment = order.experiment;
    let mut tallies: Vec<Vec<Tally>> = vec![Vec::new(); experiment.variant.len()];
    let mut voided = 0;
    for number in 0..order.plays {
        let plan = Arc::new(draw(experiment, order.seed.wrapping_add(number as u64)));
        let mut again = 0;
        loop {
            let mut round = Vec::new();
            for variant in &experiment.variant {
                let tally = match &order.launch {
                    None => {
                        told(
                            number,
                            &variant.name,
                            Progress {
                                sent: 0,
                                all: plan.arrivals.len(),
                            },
                        );
                        simulate(experiment, &plan, variant).map_err(Failure::Config)?
                    }
                    Some(launch) => {
                        let folder = order.folder.join(format!("{}-{number}", variant.name));
                        std::fs::create_dir_all(&folder).map_err(|e| {
                            Failure::Play(RunError::Io(
                                format!("cannot make {}", folder.display()),
                                e,
                            ))
                        })?;
                        let (sender, mut progress) = watch::channel(Progress::default());
                        let record = Record::default();
                        let played = run(
                            experiment, &plan, variant, launch, &folder, &sender, &record,
                        );
                        tokio::pin!(played);
                        loop {
                            tokio::select! {
                                tally = &mut played => break tally.map_err(Failure::Play)?,
                                Ok(()) = progress.changed() => told(number, &variant.name, *progress.borrow_and_update()),
                            }
                        }
                    }
                };
                round.push(tally);
            }
            let lateness = round
                .iter()
                .map(|t| t.measures[&Measure::LatenessMs])
                .fold(0.0, f64::max);
            if lateness <= experiment.bounds.lateness.0.as_secs_f64() * 1e3 {
                tallies
                    .iter_mut()
                    .zip(round)
                    .for_each(|(all, tally)| all.push(tally));
                break;
            }
            voided += 1;
            again += 1;
            if again > AGAIN {
                return Err(Failure::Late {
                    lateness_ms: lateness,
                });
            }
        }
    }
    Ok(judge(&order, &tallies, voided))
}

#[cfg(test)]
mod tests;
