//! The report of an experiment: one HTML file with its plots.

mod plot;

use crate::comparison::{Comparison, OfVariant};
use crate::outcome::Measure;
use plot::{Curve, plot};
use std::fmt::Write;

/// Most of the findings that are listed for each variant.
const FINDINGS: usize = 50;

/// Writes the report.
#[expect(clippy::too_many_lines, reason = "one page of HTML from top to bottom")]
pub fn html(comparison: &Comparison) -> String {
    let experiment = &comparison.experiment;
    let mut page = String::new();
    let verdict = if comparison.passed {
        "passed"
    } else {
        "failed"
    };
    let how = if comparison.simulated {
        "simulated time"
    } else {
        "real processes"
    };
    // Writing to a text cannot fail.
    let _ = write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}: {verdict}</title><style>{STYLE}</style>\
         <h1>{name}: <span class=\"{verdict}\">{verdict}</span></h1><p>{about}</p>\
         <p>{plays} plays from seed {seed}, {how}, {sidecars} sidecars, {servers} servers, {rate} requests a second and \
         sidecar; {voided} plays void as the machine was late.</p>",
        name = escaped(&experiment.name),
        about = escaped(&experiment.about),
        plays = comparison.plays,
        seed = comparison.seed,
        sidecars = experiment.topology.sidecars,
        servers = experiment.topology.servers,
        rate = experiment.load.rate,
        voided = comparison.voided,
    );
    table(comparison, &mut page);
    bounds(comparison, &mut page);
    let over_time = |values: fn(&OfVariant) -> &Vec<f64>| -> Vec<Curve<'_>> {
        comparison
            .variants
            .iter()
            .map(|v| {
                let points = values(v)
                    .iter()
                    .enumerate()
                    .map(|(i, y)| (i as f64 * v.curves.bin_s, *y));
                (v.name.as_str(), points.collect())
            })
            .collect()
    };
    let marks: Vec<(f64, String)> = experiment
        .fault
        .iter()
        .flat_map(|fault| {
            let name = serde_json::to_value(fault.kind)
                .ok()
                .and_then(|v| v.as_str().map(str::to_owned));
            let (at, name) = (fault.at.0.as_secs_f64(), name.unwrap_or_default());
            [
                (at, name.clone()),
                (at + fault.lasts.0.as_secs_f64(), format!("{name} ends")),
            ]
        })
        .collect();
    let latency = |v: &OfVariant| {
        v.curves
            .percentiles
            .iter()
            .copied()
            .zip(v.curves.latency_ms.iter().copied())
            .collect()
    };
    let latencies: Vec<Curve<'_>> = comparison
        .variants
        .iter()
        .map(|v| (v.name.as_str(), latency(v)))
        .collect();
    let by_server: Vec<Curve<'_>> = comparison
        .variants
        .iter()
        .map(|v| {
            let points = v
                .curves
                .by_server
                .iter()
                .enumerate()
                .map(|(i, n)| (i as f64, *n as f64));
            (v.name.as_str(), points.collect())
        })
        .collect();
    let none: &[(f64, String)] = &[];
    for (title, curves, marks) in [
        (
            "Worth served over worth asked, by second",
            over_time(|v| &v.curves.served),
            &marks[..],
        ),
        (
            "Attempts in each half second",
            over_time(|v| &v.curves.attempts),
            &marks[..],
        ),
        (
            "Time to the answer in milliseconds, by percentile",
            latencies,
            none,
        ),
        ("Attempts at each server, first play", by_server, none),
    ] {
        let _ = write!(page, "<h2>{title}</h2>{}", plot(&curves, marks));
    }
    findings(comparison, &mut page);
    page.push_str("</html>\n");
    page
}

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;max-width:900px;margin:2em auto;padding:0 1em;color:#222}\
    table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}\
    td:first-child,th:first-child{text-align:left}.passed{color:#17803d}.failed{color:#b42318}.clear{font-weight:600}";

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

fn table(comparison: &Comparison, page: &mut String) {
    page.push_str("<h2>Measures</h2><table><tr><th>measure</th>");
    for (i, variant) in comparison.variants.iter().enumerate() {
        let name = escaped(&variant.name);
        let _ = write!(page, "<th>{name}</th>");
        if i > 0 {
            page.push_str("<th>difference (95 %)</th>");
        }
    }
    page.push_str("</tr>");
    for measure in Measure::ALL {
        let _ = write!(page, "<tr><td>{}</td>", measure.name());
        for (i, variant) in comparison.variants.iter().enumerate() {
            let _ = write!(page, "<td>{}</td>", figure(variant.measures[&measure].mean));
            if i > 0 {
                let found = comparison
                    .differences
                    .iter()
                    .find(|d| d.variant == variant.name && d.measure == measure);
                page.push_str(&found.map_or_else(
                    || "<td></td>".to_owned(),
                    |d| {
                        let d = &d.difference;
                        match d.low.zip(d.high) {
                            Some((low, high)) => {
                                let class = if low > 0.0 || high < 0.0 {
                                    " class=\"clear\""
                                } else {
                                    ""
                                };
                                format!(
                                    "<td{class}>{} ({} to {})</td>",
                                    figure(d.mean),
                                    figure(low),
                                    figure(high)
                                )
                            }
                            None => format!("<td>{}</td>", figure(d.mean)),
                        }
                    },
                ));
            }
        }
        page.push_str("</tr>");
    }
    page.push_str("</table><p>Bold: the interval does not hold 0.</p>");
}

/// A figure with three digits that count.
pub fn figure(value: f64) -> String {
    let size = value.abs();
    match size {
        0.0 => "0".to_owned(),
        _ if size >= 100.0 => format!("{value:.0}"),
        _ if size >= 10.0 => format!("{value:.1}"),
        _ if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}

fn bounds(comparison: &Comparison, page: &mut String) {
    if comparison.bounds.is_empty() {
        return;
    }
    page.push_str("<h2>Bounds</h2><table><tr><th>measure</th><th>variant</th><th>against</th><th>least</th><th>most</th><th>measured</th><th></th></tr>");
    for judged in &comparison.bounds {
        let b = &judged.bound;
        let limit = |x: Option<f64>| x.map(figure).unwrap_or_default();
        let (class, word) = if judged.holds {
            ("passed", "holds")
        } else {
            ("failed", "missed")
        };
        let _ = write!(
            page,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td class=\"{class}\">{word}</td></tr>",
            b.measure.name(),
            escaped(&judged.variant),
            escaped(b.against.as_deref().unwrap_or("")),
            limit(b.least),
            limit(b.most),
            figure(judged.value),
        );
    }
    page.push_str("</table>");
}

fn findings(comparison: &Comparison, page: &mut String) {
    for variant in comparison
        .variants
        .iter()
        .filter(|v| !v.findings.is_empty())
    {
        let (name, count) = (escaped(&variant.name), variant.findings.len());
        let _ = write!(
            page,
            "<h2 class=\"failed\">{name}: {count} broken rules</h2><ul>"
        );
        for (play, finding) in variant.findings.iter().take(FINDINGS) {
            let (at, what) = (finding.at as f64 / 1e6, escaped(&finding.what));
            let _ = write!(
                page,
                "<li>play {play}, {at:.3} s, rule {}: {what}</li>",
                finding.rule
            );
        }
        page.push_str("</ul>");
    }
}

#[cfg(test)]
mod tests;
