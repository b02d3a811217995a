//! Polls every sidecar for its connectivity state, and records changes.

use crate::net::Clock;
use crate::page::ask;
use crate::record::{ConnectivityReport, Record, Seen};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// How often a sidecar is asked.
const EVERY: Duration = Duration::from_millis(250);
/// How long one may take to answer: one that is stopped answers nothing.
const WITHIN: Duration = Duration::from_millis(1000);

/// The connectivity state that a page tells; none where it tells none.
fn standing(page: &Value) -> Option<ConnectivityReport> {
    let told = &page["standing"];
    let word = told.as_str().or_else(|| told["kind"].as_str())?;
    Some(match word {
        "whole" => ConnectivityReport::Whole,
        "disputed" => ConnectivityReport::Disputed,
        "cut" => ConnectivityReport::Cut,
        "alone" => ConnectivityReport::Alone,
        "unwell" => ConnectivityReport::Unwell,
        _ => return None,
    })
}

/// Follows one sidecar for good.
pub async fn observe(sidecar: usize, at: SocketAddr, clock: Clock, record: Record) {
    let mut last = None;
    loop {
        sleep(EVERY).await;
        let page = ask(at, "GET", "/fleet", None, WITHIN).await;
        let Some(stands) = page.and_then(|(_, page)| standing(&page)) else {
            continue;
        };
        if last.replace(stands) != Some(stands) {
            record.note(clock.now(), Seen::Standing { sidecar, stands });
        }
    }
}

#[cfg(test)]
mod tests;
