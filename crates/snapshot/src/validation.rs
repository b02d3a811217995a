//! Validates what was stored: implausible records are refused, and stale ones have no effect.

use crate::Micros;
use crate::snapshot::{List, Process, Processes, Snapshot};

/// How far ahead of the clock a time may lie: what a clock that is set by the network may be put
/// back, 5 s.
pub const SKEW: Micros = 5_000_000;
/// Most endpoints of a list: ten times what the platform has.
const MAX_ENDPOINTS: usize = 10_000;
/// Part of the listed endpoints whose circuits may have been open: where more were, it was likely
/// this sidecar that was cut off, and all would be tried one by one after its return.
const MAX_OPEN: f64 = 0.5;

/// The ages from which things are not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The list's.
    pub list: Micros,
    /// That of ejections and latency ratios.
    pub processes: Micros,
}

/// What is believed of what was kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ValidSnapshot {
    /// The list.
    pub list: Option<List>,
    /// Ejections and latency ratios.
    pub processes: Vec<Process>,
    /// What there was and was not believed, with the reason.
    pub left_out: Vec<String>,
}

/// Why what is stored cannot have been written in good order.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Implausible {
    /// The list is too long, or names an endpoint twice.
    #[error("its list of {endpoints} endpoints is none")]
    List {
        /// Endpoints in it.
        endpoints: usize,
    },
    /// A weight of the list is not a number of 0 or more.
    #[error("its list has a weight that is none")]
    Weight,
    /// There are data of more endpoints than were listed.
    #[error("it knows of {known} endpoints where {listed} were listed")]
    TooManyProcesses {
        /// Endpoints that it knows of.
        known: usize,
        /// Endpoints that were listed.
        listed: u32,
    },
    /// A latency ratio or a concurrency limit is not a number in its range.
    #[error("a latency ratio or a concurrency limit in it is no number")]
    Estimate,
    /// A time in it is later than the clock of now.
    #[error("it is from the future: the clock was put back")]
    FromTheFuture,
}

/// Whether this can have been written in good order by a clock such as now's.
///
/// # Errors
/// What cannot.
pub fn check_plausible(known: &Snapshot, now: Micros) -> Result<(), Implausible> {
    let latest = now.saturating_add(SKEW);
    if let Some(list) = &known.list {
        let mut names: Vec<&str> = list.entries.iter().map(|e| e.name.as_str()).collect();
        names.sort_unstable();
        if names.len() > MAX_ENDPOINTS || names.windows(2).any(|two| two[0] == two[1]) {
            return Err(Implausible::List {
                endpoints: names.len(),
            });
        }
        if list
            .entries
            .iter()
            .any(|e| !(e.weight.is_finite() && e.weight >= 0.0))
        {
            return Err(Implausible::Weight);
        }
    }
    if let Some(processes) = &known.processes {
        if processes.all.len() > processes.listed as usize
            || processes.listed as usize > MAX_ENDPOINTS
        {
            return Err(Implausible::TooManyProcesses {
                known: processes.all.len(),
                listed: processes.listed,
            });
        }
        let sound =
            |p: &Process| p.slow.is_finite() && p.slow > 0.0 && p.cap.is_finite() && p.cap >= 0.0;
        if !processes.all.iter().all(sound) {
            return Err(Implausible::Estimate);
        }
    }
    let seen = known.list.as_ref().map(|list| list.seen);
    let of_all = known
        .processes
        .iter()
        .flat_map(|p| p.all.iter().map(|p| p.seen).chain([p.seen]));
    if seen.into_iter().chain(of_all).any(|seen| seen > latest) {
        return Err(Implausible::FromTheFuture);
    }
    Ok(())
}

/// What is believed at this time of what is plausible.
pub fn validate(known: Snapshot, now: Micros, bounds: Bounds) -> ValidSnapshot {
    let mut left_out = Vec::new();
    let mut fresh = |what: &str, seen: Micros, bound: Micros| {
        let age = now.saturating_sub(seen).max(0);
        if age >= bound {
            left_out.push(format!("the {what} is {} s old", age / 1_000_000));
        }
        age < bound
    };
    // A list without anybody on it is worth less than the platform's.
    let list = known
        .list
        .filter(|l| !l.entries.is_empty() && fresh("list", l.seen, bounds.list));
    let Processes {
        listed, mut all, ..
    } = known
        .processes
        .filter(|p| fresh("pace", p.seen, bounds.processes))
        .unwrap_or_default();
    all.retain(|p| now.saturating_sub(p.seen) < bounds.processes);
    let open = all.iter().filter(|p| p.open).count();
    if open as f64 > MAX_OPEN * f64::from(listed) {
        left_out.push(format!("{open} of {listed} circuits were open"));
        all.retain(|p| !p.open);
    }
    ValidSnapshot {
        list,
        processes: all,
        left_out,
    }
}
