//! The pages on affinity: figures and a dump for people and auditors, and the coordinator's
//! queries.

use crate::affinity::Host;
use hyper::StatusCode;
use load_balancer_affinity::drain_phase::EpochRefused;
use load_balancer_affinity::report::AffinitySummary;
use load_balancer_affinity::{Process, hash};
use load_balancer_common::pages::{Ask, Page};
use load_balancer_gossip::connectivity::AffinityEntries as Permission;
use serde::{Deserialize, Serialize};

/// Affinity entries in one dump: all of the default table.
const MAX_DUMPED: usize = 16_384;
/// Longest name of a server, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// What is posted: a process of a server, and the token by which it leaves.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Posted {
    server: String,
    started_ms: i64,
    epoch: u64,
}

#[derive(Serialize)]
struct Answered {
    clear: bool,
    epoch: u64,
}

#[derive(Serialize)]
struct Figures {
    /// What the own connectivity state allows: used, run out, not used.
    bindings: &'static str,
    #[serde(flatten)]
    summary: AffinitySummary,
    leaving: Vec<Leaves>,
}

#[derive(Serialize)]
struct Leaves {
    #[serde(skip_serializing_if = "Option::is_none")]
    server: Option<String>,
    started_ms: i64,
    epoch: u64,
    leaves: bool,
    reported: usize,
}

#[derive(Serialize)]
struct Dump {
    slot: i64,
    hears: bool,
    bindings: Vec<Entry>,
    picks: Vec<Picks>,
}

#[derive(Serialize)]
struct Entry {
    key: u64,
    server: Option<String>,
    started_ms: i64,
    epoch: u64,
    ends: i64,
    held: bool,
}

#[derive(Serialize)]
struct Picks {
    server: String,
    started_ms: i64,
    count: u64,
    last_ms_ago: i64,
}

/// The page of that path; none where it is no page on affinity entries.
pub fn page(host: &Host, ask: &Ask) -> Option<Page> {
    match (ask.path.as_str(), &ask.posted) {
        ("/fleet/bindings", None) => Page::json(StatusCode::OK, &figures(host)),
        ("/fleet/bindings/dump", None) => Page::compact(&dump(host)),
        ("/fleet/leaving", Some(body)) => answer(body, |process, epoch| {
            host.begin_drain(process, epoch).map(|clear| Answered {
                clear: clear.clear,
                epoch,
            })
        }),
        ("/fleet/stays", Some(body)) => answer(body, |process, token| {
            let epoch = token + 1;
            host.cancel_drain(process, epoch).map(|()| Answered {
                clear: false,
                epoch,
            })
        }),
        ("/fleet/leaving" | "/fleet/stays", None) => {
            Page::refused(StatusCode::METHOD_NOT_ALLOWED, "method", "this is posted")
        }
        ("/fleet/bindings" | "/fleet/bindings/dump", Some(_)) => {
            Page::refused(StatusCode::METHOD_NOT_ALLOWED, "method", "this is read")
        }
        _ => None,
    }
}

fn read(body: &[u8]) -> Result<(Process, u64), (&'static str, String)> {
    let posted: Posted = serde_json::from_slice(body).map_err(|e| ("body", e.to_string()))?;
    if posted.server.is_empty() || posted.server.len() > MAX_NAME_BYTES {
        return Err(("server", format!("1 to {MAX_NAME_BYTES} bytes")));
    }
    if posted.started_ms < 0 {
        return Err(("started_ms", "0 or above".to_owned()));
    }
    // The next one must be there, too.
    if posted.epoch >= u64::MAX - 1 {
        return Err(("epoch", "no token is as high".to_owned()));
    }
    Ok((
        Process {
            name: hash(posted.server.as_bytes()),
            started: posted.started_ms,
        },
        posted.epoch,
    ))
}

fn answer(
    body: &[u8],
    does: impl Fn(Process, u64) -> Result<Answered, EpochRefused>,
) -> Option<Page> {
    let (process, epoch) = match read(body) {
        Ok(read) => read,
        Err((key, reason)) => return Page::refused(StatusCode::BAD_REQUEST, key, &reason),
    };
    match does(process, epoch) {
        Ok(answered) => Page::json(StatusCode::OK, &answered),
        Err(EpochRefused::Past) => Page::refused(
            StatusCode::CONFLICT,
            "epoch",
            "a later one has begun for this process",
        ),
        Err(EpochRefused::TooMany) => Page::refused(
            StatusCode::TOO_MANY_REQUESTS,
            "server",
            "as many processes leave already as members can tell of",
        ),
    }
}

fn figures(host: &Host) -> Figures {
    let (summary, may, _) = host.summary();
    let bindings = match may {
        Permission::Used => "used",
        Permission::Expiring => "run out",
        Permission::Unused => "not used",
    };
    let leaves = |l: crate::affinity::reports::Draining| Leaves {
        server: l.name,
        started_ms: l.process.started,
        epoch: l.epoch,
        leaves: l.leaves,
        reported: l.reported,
    };
    Figures {
        bindings,
        summary,
        leaving: host.draining().into_iter().map(leaves).collect(),
    }
}

fn dump(host: &Host) -> Dump {
    let (summary, _, slot) = host.summary();
    let entry = |(key, server, process, entry): (
        u64,
        _,
        Process,
        load_balancer_affinity::entry::AffinityEntry,
    )| {
        Entry {
            key,
            server,
            started_ms: process.started,
            epoch: entry.epoch,
            ends: entry.ends,
            held: entry.held,
        }
    };
    let picks = |(server, process, count, ago): (String, Process, u64, i64)| Picks {
        server,
        started_ms: process.started,
        count,
        last_ms_ago: ago / 1000,
    };
    Dump {
        slot,
        hears: summary.in_contact,
        bindings: host.dump(MAX_DUMPED).into_iter().map(entry).collect(),
        picks: host.picks().into_iter().map(picks).collect(),
    }
}

#[cfg(test)]
mod tests;
