//! Checks measured results against the bounds of an experiment.

use super::{Comparison, Curves, Difference, Judged, OfVariant, Order, Values};
use crate::outcome::Measure;
use crate::statistics::{interval, mean};
use crate::tally::{BIN, PERCENTILES, Tally};

pub(super) fn judge(order: &Order<'_>, tallies: &[Vec<Tally>], voided: usize) -> Comparison {
    let experiment = order.experiment;
    let variants: Vec<OfVariant> = experiment
        .variant
        .iter()
        .zip(tallies)
        .map(|(v, tallies)| of_variant(&v.name, tallies))
        .collect();
    let mut differences = Vec::new();
    for other in variants.iter().skip(1) {
        for measure in Measure::ALL {
            let pairs = other.measures[&measure]
                .plays
                .iter()
                .zip(&variants[0].measures[&measure].plays);
            let values: Vec<f64> = pairs.map(|(b, a)| b - a).collect();
            let difference = interval(&values);
            differences.push(Difference {
                variant: other.name.clone(),
                measure,
                difference,
            });
        }
    }
    let mut bounds = Vec::new();
    for bound in &experiment.bounds.measure {
        let named = |name: &str| {
            variants
                .iter()
                .find(|v| v.name == name)
                .map(|v| v.measures[&bound.measure].mean)
        };
        for variant in variants
            .iter()
            .filter(|v| bound.variant.as_ref().is_none_or(|name| *name == v.name))
        {
            let own = variant.measures[&bound.measure].mean;
            let value = match bound.against.as_deref().and_then(named) {
                // Nothing against nothing is the same.
                Some(0.0) => {
                    if own == 0.0 {
                        1.0
                    } else {
                        f64::INFINITY
                    }
                }
                Some(other) => own / other,
                None => own,
            };
            let holds = bound.least.is_none_or(|least| value >= least)
                && bound.most.is_none_or(|most| value <= most);
            bounds.push(Judged {
                bound: bound.clone(),
                variant: variant.name.clone(),
                value,
                holds,
            });
        }
    }
    let passed = bounds.iter().all(|b| b.holds) && variants.iter().all(|v| v.findings.is_empty());
    Comparison {
        schema: 1,
        experiment: experiment.clone(),
        seed: order.seed,
        plays: order.plays,
        voided,
        simulated: order.launch.is_none(),
        variants,
        differences,
        bounds,
        passed,
    }
}

fn of_variant(name: &str, tallies: &[Tally]) -> OfVariant {
    let values = |measure: Measure| {
        let plays: Vec<f64> = tallies.iter().map(|t| t.measures[&measure]).collect();
        Values {
            mean: mean(&plays),
            plays,
        }
    };
    let curve = |of: fn(&Tally) -> &Vec<f64>| {
        let longest = tallies.iter().map(|t| of(t).len()).max().unwrap_or(0);
        let at = |i: usize| {
            mean(
                &tallies
                    .iter()
                    .filter_map(|t| of(t).get(i).copied())
                    .collect::<Vec<_>>(),
            )
        };
        (0..longest).map(at).collect()
    };
    OfVariant {
        name: name.to_owned(),
        measures: Measure::ALL.iter().map(|m| (*m, values(*m))).collect(),
        findings: tallies
            .iter()
            .enumerate()
            .flat_map(|(play, tally)| tally.findings.iter().map(move |f| (play, f.clone())))
            .collect(),
        curves: Curves {
            bin_s: BIN as f64 / 1e6,
            served: curve(|t| &t.served),
            attempts: curve(|t| &t.attempts),
            percentiles: PERCENTILES.to_vec(),
            latency_ms: curve(|t| &t.latency_ms),
            by_server: tallies
                .first()
                .map(|t| t.by_server.clone())
                .unwrap_or_default(),
        },
    }
}
