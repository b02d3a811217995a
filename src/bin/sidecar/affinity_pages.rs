//! The HTTP pages on affinity: status and a dump for operators and auditors, and the coordinator's
//! drain requests.

use crate::affinity::AffinityHost;
use hyper::StatusCode;
use load_balancer_affinity::drain_phase::DrainError;
use load_balancer_affinity::report::AffinitySummary;
use load_balancer_affinity::{Process, hash};
use load_balancer_common::pages::{Page, PageRequest};
use load_balancer_gossip::connectivity::AffinityEntries as Permission;
use serde::{Deserialize, Serialize};

/// Most affinity entries in one dump; the default table holds as many.
const MAX_DUMPED_ENTRIES: usize = 16_384;
/// Longest name of a server, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// A coordinator's request: a server process, and the token of its drain.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainRequest {
    server: String,
    started_ms: i64,
    epoch: u64,
}

#[derive(Serialize)]
struct DrainResponse {
    clear: bool,
    epoch: u64,
}

#[derive(Serialize)]
struct AffinityStatus {
    /// Which use of entries the connectivity permits: used, run out, not used.
    bindings: &'static str,
    #[serde(flatten)]
    summary: AffinitySummary,
    leaving: Vec<DrainingProcess>,
}

#[derive(Serialize)]
struct DrainingProcess {
    #[serde(skip_serializing_if = "Option::is_none")]
    server: Option<String>,
    started_ms: i64,
    epoch: u64,
    leaves: bool,
    reported: usize,
}

#[derive(Serialize)]
struct AffinityDump {
    slot: i64,
    hears: bool,
    bindings: Vec<DumpedEntry>,
    picks: Vec<PickCount>,
}

#[derive(Serialize)]
struct DumpedEntry {
    key: u64,
    server: Option<String>,
    started_ms: i64,
    epoch: u64,
    ends: i64,
    held: bool,
}

#[derive(Serialize)]
struct PickCount {
    server: String,
    started_ms: i64,
    count: u64,
    last_ms_ago: i64,
}

/// The page at that path; none if it is not a page on affinity.
pub fn page(host: &AffinityHost, request: &PageRequest) -> Option<Page> {
    match (request.path.as_str(), &request.body) {
        ("/fleet/bindings", None) => Page::json(StatusCode::OK, &affinity_status(host)),
        ("/fleet/bindings/dump", None) => Page::compact(&affinity_dump(host)),
        ("/fleet/leaving", Some(body)) => drain_page(body, |process, epoch| {
            host.begin_drain(process, epoch).map(|clear| DrainResponse {
                clear: clear.clear,
                epoch,
            })
        }),
        ("/fleet/stays", Some(body)) => drain_page(body, |process, token| {
            let epoch = token + 1;
            host.cancel_drain(process, epoch).map(|()| DrainResponse {
                clear: false,
                epoch,
            })
        }),
        ("/fleet/leaving" | "/fleet/stays", None) => {
            Page::error(StatusCode::METHOD_NOT_ALLOWED, "method", "this is posted")
        }
        ("/fleet/bindings" | "/fleet/bindings/dump", Some(_)) => {
            Page::error(StatusCode::METHOD_NOT_ALLOWED, "method", "this is read")
        }
        _ => None,
    }
}

fn parse_drain_request(body: &[u8]) -> Result<(Process, u64), (&'static str, String)> {
    let request: DrainRequest =
        serde_json::from_slice(body).map_err(|e| ("body", e.to_string()))?;
    if request.server.is_empty() || request.server.len() > MAX_NAME_BYTES {
        return Err(("server", format!("1 to {MAX_NAME_BYTES} bytes")));
    }
    if request.started_ms < 0 {
        return Err(("started_ms", "0 or above".to_owned()));
    }
    // The token that follows must be representable too.
    if request.epoch >= u64::MAX - 1 {
        return Err(("epoch", "no token is as high".to_owned()));
    }
    Ok((
        Process {
            name: hash(request.server.as_bytes()),
            started: request.started_ms,
        },
        request.epoch,
    ))
}

fn drain_page(
    body: &[u8],
    apply: impl Fn(Process, u64) -> Result<DrainResponse, DrainError>,
) -> Option<Page> {
    let (process, epoch) = match parse_drain_request(body) {
        Ok(parsed) => parsed,
        Err((key, reason)) => return Page::error(StatusCode::BAD_REQUEST, key, &reason),
    };
    match apply(process, epoch) {
        Ok(response) => Page::json(StatusCode::OK, &response),
        Err(DrainError::EpochEnded) => Page::error(
            StatusCode::CONFLICT,
            "epoch",
            "a later one has begun for this process",
        ),
        Err(DrainError::TooManyDraining) => Page::error(
            StatusCode::TOO_MANY_REQUESTS,
            "server",
            "as many processes leave already as members can tell of",
        ),
    }
}

fn affinity_status(host: &AffinityHost) -> AffinityStatus {
    let (summary, permission, _) = host.summary();
    let bindings = match permission {
        Permission::Used => "used",
        Permission::Expiring => "run out",
        Permission::Unused => "not used",
    };
    let leaves = |draining: crate::affinity::reports::Draining| DrainingProcess {
        server: draining.name,
        started_ms: draining.process.started,
        epoch: draining.epoch,
        leaves: draining.leaves,
        reported: draining.reported,
    };
    AffinityStatus {
        bindings,
        summary,
        leaving: host.draining().into_iter().map(leaves).collect(),
    }
}

fn affinity_dump(host: &AffinityHost) -> AffinityDump {
    let (summary, _, slot) = host.summary();
    let to_dumped = |(key, server, process, entry): (
        u64,
        _,
        Process,
        load_balancer_affinity::entry::AffinityEntry,
    )| {
        DumpedEntry {
            key,
            server,
            started_ms: process.started,
            epoch: entry.epoch,
            ends: entry.expires_slot,
            held: entry.renewed,
        }
    };
    let to_count = |(server, process, count, ago): (String, Process, u64, i64)| PickCount {
        server,
        started_ms: process.started,
        count,
        last_ms_ago: ago / 1000,
    };
    AffinityDump {
        slot,
        hears: summary.in_contact,
        bindings: host
            .dump(MAX_DUMPED_ENTRIES)
            .into_iter()
            .map(to_dumped)
            .collect(),
        picks: host.picks().into_iter().map(to_count).collect(),
    }
}

#[cfg(test)]
mod tests;
