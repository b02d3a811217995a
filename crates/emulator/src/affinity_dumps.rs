//! Polls every sidecar for its affinity entries, for the auditors.

use crate::Us;
use crate::affinity_dump::{Dump, Held, Place};
use crate::net::Clock;
use crate::page::ask;
use crate::plan::Plan;
use crate::record::{Record, Seen};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// What stands in a variant's configuration where keys are bound, and the emulator so reads what
/// is.
pub const BINDINGS: &str = "[fleet.bindings]";
/// How often a sidecar is asked, and how long it may take: one that is stopped answers nothing.
const EVERY: Duration = Duration::from_secs(1);
const WITHIN: Duration = Duration::from_millis(900);

fn read(sidecar: usize, now: Us, page: &Value, servers: &HashMap<String, usize>) -> Option<Dump> {
    let server = |of: &Value| servers.get(of["server"].as_str()?).copied();
    let held = |b: &Value| {
        let started_ms = b["started_ms"].as_i64()?;
        Some(Held {
            place: Place {
                key: b["key"].as_u64()?,
                server: server(b)?,
                started_ms,
            },
            epoch: b["epoch"].as_u64()?,
            ends: b["ends"].as_i64()?,
            again: b["held"].as_bool()?,
        })
    };
    let picks = |p: &Value| {
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
        hears: page["hears"].as_bool()?,
        held: page["bindings"]
            .as_array()?
            .iter()
            .filter_map(held)
            .collect(),
        picks: page["picks"].as_array()?.iter().filter_map(picks).collect(),
    })
}

/// Follows one sidecar for good.
pub async fn follow(sidecar: usize, at: SocketAddr, plan: Arc<Plan>, clock: Clock, record: Record) {
    let names = plan
        .servers
        .iter()
        .enumerate()
        .map(|(number, spec)| (spec.name.clone(), number));
    let servers: HashMap<String, usize> = names.collect();
    // Not all at once.
    sleep(EVERY * (sidecar % 10) as u32 / 10).await;
    loop {
        sleep(EVERY).await;
        let page = ask(at, "GET", "/fleet/bindings/dump", None, WITHIN).await;
        let now = clock.now();
        if let Some(dump) = page.and_then(|(_, page)| read(sidecar, now, &page, &servers)) {
            record.note(now, Seen::Dump(Box::new(dump)));
        }
    }
}

#[cfg(test)]
mod tests;
