//! Polls every sidecar for its connectivity, and records changes.

use crate::net::Clock;
use crate::page::request_json;
use crate::record::{ConnectivityReport, Record, Seen};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// Interval of the polls of a sidecar.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a poll: a suspended sidecar does not answer.
const POLL_TIMEOUT: Duration = Duration::from_millis(1000);

/// The connectivity in a page; none if it has none.
fn parse_connectivity(page: &Value) -> Option<ConnectivityReport> {
    let value = &page["standing"];
    let word = value.as_str().or_else(|| value["kind"].as_str())?;
    Some(match word {
        "whole" => ConnectivityReport::Whole,
        "disputed" => ConnectivityReport::Disputed,
        "cut" => ConnectivityReport::Cut,
        "alone" => ConnectivityReport::Alone,
        "unwell" => ConnectivityReport::Unwell,
        _ => return None,
    })
}

/// Polls one sidecar forever.
pub async fn poll_connectivity(sidecar: usize, address: SocketAddr, clock: Clock, record: Record) {
    let mut last = None;
    loop {
        sleep(POLL_INTERVAL).await;
        let page = request_json(address, "GET", "/fleet", None, POLL_TIMEOUT).await;
        let Some(state) = page.and_then(|(_, page)| parse_connectivity(&page)) else {
            continue;
        };
        if last.replace(state) != Some(state) {
            record.note(
                clock.now(),
                Seen::Standing {
                    sidecar,
                    stands: state,
                },
            );
        }
    }
}

#[cfg(test)]
mod tests;
