//! Parses the load report in an endpoint's response.

use hyper::header::HeaderValue;
use load_balancer::LoadReport;

/// Parses a load report of comma-separated `name=value` pairs. An invalid value counts as not
/// reported.
pub fn parse_load_report(value: &HeaderValue) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, value) in value
        .to_str()
        .unwrap_or("")
        .split(',')
        .filter_map(|pair| pair.split_once('='))
    {
        let field = match name.trim() {
            "inflight" => &mut load.active,
            "queue" => &mut load.waiting,
            "util" => &mut load.cpu,
            "latency_ms" => &mut load.avg_ms,
            "qps" => &mut load.rps,
            "eps" => &mut load.err_rps,
            _ => continue,
        };
        *field = value.trim().parse().ok().filter(|v: &f64| v.is_finite());
    }
    load
}

#[cfg(test)]
mod tests;
