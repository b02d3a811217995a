//! Auditor: no new request goes to a server that is draining or gone.

use super::{Finding, Rule};
use crate::Us;
use crate::directory::State;
use crate::record::{Entry, Seen};
use crate::site;
use std::collections::HashMap;

pub(super) fn drains(record: &[Entry], findings: &mut Vec<Finding>) {
    let mut since: HashMap<(usize, usize), Us> = HashMap::new();
    // An attempt is noted when it has come in whole; what counts is its first byte.
    let mut told: HashMap<(usize, usize), Vec<(Us, bool)>> = HashMap::new();
    for (at, seen) in record {
        if let Seen::PlatformConfig {
            sidecar,
            server,
            state,
        } = seen
        {
            let drains = !matches!(state, State::Active { .. });
            told.entry((*sidecar, *server))
                .or_default()
                .push((*at, drains));
        }
    }
    for (_, seen) in record {
        let Seen::Attempt {
            sidecar,
            server,
            began,
            request,
            ..
        } = seen
        else {
            continue;
        };
        let Some(told) = told.get(&(*sidecar, *server)) else {
            continue;
        };
        let mut draining: Option<Us> = None;
        for (at, drains) in told.iter().take_while(|(at, _)| at <= began) {
            draining = if *drains {
                draining.or(Some(*at))
            } else {
                None
            };
        }
        if let Some(told) = draining.filter(|told| *began > told + site::DRAIN_GRACE + site::SLACK)
        {
            let first = since.insert((*sidecar, *server), told).is_none();
            if first {
                let late = (began - told) / 1000;
                let what = format!(
                    "sidecar {sidecar} sent try {:016x} to server {server} {late} ms after it was told that it drains or is gone",
                    request.unwrap_or(0)
                );
                findings.push(Finding {
                    rule: Rule::Drains,
                    at: *began,
                    what,
                });
            }
        }
    }
}
