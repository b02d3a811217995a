//! Polls every sidecar for its affinity entries, for the auditors.

use crate::Us;
use crate::affinity_dump::{Dump, DumpedEntry, KeyAtProcess};
use crate::net::Clock;
use crate::page::request_json;
use crate::plan::Plan;
use crate::record::{Record, Seen};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// The text in a variant's configuration that enables affinity entries, which the emulator then
/// reads.
pub const AFFINITY_SECTION: &str = "[fleet.bindings]";
/// Interval of the polls of a sidecar, and timeout of one: a suspended sidecar does not answer.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
const POLL_TIMEOUT: Duration = Duration::from_millis(900);

fn parse_dump(
    sidecar: usize,
    now: Us,
    page: &Value,
    servers: &HashMap<String, usize>,
) -> Option<Dump> {
    let server = |of: &Value| servers.get(of["server"].as_str()?).copied();
    let parse_entry = |b: &Value| {
        let started_ms = b["started_ms"].as_i64()?;
        Some(DumpedEntry {
            place: KeyAtProcess {
                key: b["key"].as_u64()?,
                server: server(b)?,
                started_ms,
            },
            epoch: b["epoch"].as_u64()?,
            ends: b["ends"].as_i64()?,
            renewed: b["held"].as_bool()?,
        })
    };
    let parse_pick = |p: &Value| {
        let ago = Us::try_from(p["last_ms_ago"].as_i64()?).ok()? * 1000;
        Some((
            server(p)?,
            p["started_ms"].as_i64()?,
            now.saturating_sub(ago),
        ))
    };
    Some(Dump {
        sidecar,
        slot: page["slot"].as_i64()?,
        in_contact: page["hears"].as_bool()?,
        entries: page["bindings"]
            .as_array()?
            .iter()
            .filter_map(parse_entry)
            .collect(),
        picks: page["picks"]
            .as_array()?
            .iter()
            .filter_map(parse_pick)
            .collect(),
    })
}

/// Polls one sidecar forever.
pub async fn poll_dumps(
    sidecar: usize,
    address: SocketAddr,
    plan: Arc<Plan>,
    clock: Clock,
    record: Record,
) {
    let names = plan
        .servers
        .iter()
        .enumerate()
        .map(|(number, spec)| (spec.name.clone(), number));
    let servers: HashMap<String, usize> = names.collect();
    // Spreads the polls of the sidecars.
    sleep(POLL_INTERVAL * (sidecar % 10) as u32 / 10).await;
    loop {
        sleep(POLL_INTERVAL).await;
        let page = request_json(address, "GET", "/fleet/bindings/dump", None, POLL_TIMEOUT).await;
        let now = clock.now();
        if let Some(dump) = page.and_then(|(_, page)| parse_dump(sidecar, now, &page, &servers)) {
            record.note(now, Seen::Dump(Box::new(dump)));
        }
    }
}

#[cfg(test)]
mod tests;
