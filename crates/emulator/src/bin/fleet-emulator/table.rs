//! The table that is printed after an experiment.

use load_balancer_emulator::comparison::Comparison;
use load_balancer_emulator::outcome::Measure;
use load_balancer_emulator::report::figure;

/// What an experiment came to, in lines.
pub fn table(comparison: &Comparison) -> String {
    let mut text = format!("{:<22}", comparison.experiment.name);
    for variant in &comparison.variants {
        text += &format!("{:>14}", variant.name);
    }
    for measure in Measure::ALL {
        text += &format!("\n{:<22}", measure.name());
        for variant in &comparison.variants {
            text += &format!("{:>14}", figure(variant.measures[&measure].mean));
        }
        for d in comparison
            .differences
            .iter()
            .filter(|d| d.measure == measure)
        {
            if let Some((low, high)) = d.difference.low.zip(d.difference.high) {
                text += &format!(
                    "   {} ({} to {})",
                    figure(d.difference.mean),
                    figure(low),
                    figure(high)
                );
            }
        }
    }
    for judged in &comparison.bounds {
        let b = &judged.bound;
        let against = b
            .against
            .as_ref()
            .map(|a| format!(" over {a}"))
            .unwrap_or_default();
        let limit = |word: &str, x: Option<f64>| {
            x.map(|x| format!(", {word} {}", figure(x)))
                .unwrap_or_default()
        };
        text += &format!(
            "\nbound: {} of {}{against} is {}{}{}: {}",
            b.measure.name(),
            judged.variant,
            figure(judged.value),
            limit("at least", b.least),
            limit("at most", b.most),
            if judged.holds { "holds" } else { "MISSED" }
        );
    }
    for variant in &comparison.variants {
        for (play, finding) in variant.findings.iter().take(20) {
            let (name, at) = (&variant.name, finding.at as f64 / 1e6);
            text += &format!(
                "\nbroken: {name}, play {play}, {at:.3} s, {}: {}",
                finding.rule, finding.what
            );
        }
    }
    text + &format!(
        "\n{} plays from seed {}, {} void: {}\n",
        comparison.plays,
        comparison.seed,
        comparison.voided,
        if comparison.passed {
            "passed"
        } else {
            "FAILED"
        }
    )
}
