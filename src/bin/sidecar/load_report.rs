//! The load report that comes along with an endpoint's answer.

use hyper::header::HeaderValue;
use load_balancer::LoadReport;

/// Reads a load report: `name=value` pairs set apart by commas. What can't be read was not
/// reported.
pub fn read_load(value: &HeaderValue) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, value) in value
        .to_str()
        .unwrap_or("")
        .split(',')
        .filter_map(|pair| pair.split_once('='))
    {
        let slot = match name.trim() {
            "inflight" => &mut load.active,
            "queue" => &mut load.waiting,
            "util" => &mut load.cpu,
            "latency_ms" => &mut load.avg_ms,
            "qps" => &mut load.rps,
            "eps" => &mut load.err_rps,
            _ => continue,
        };
        *slot = value.trim().parse().ok().filter(|v: &f64| v.is_finite());
    }
    load
}

#[cfg(test)]
mod tests;
