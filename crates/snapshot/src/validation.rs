//! Validates stored state: implausible records are rejected, and stale ones are ignored.

use crate::Micros;
use crate::snapshot::{List, Process, Processes, Snapshot};

/// How far a stored time may be ahead of the clock, in microseconds: a clock set by the network may
/// be moved back by as much.
pub const MAX_CLOCK_SKEW_US: Micros = 5_000_000;
/// Most endpoints of a list: ten times those of the platform.
const MAX_ENDPOINTS: usize = 10_000;
/// Largest share of listed endpoints with open circuits: if there were more, this sidecar was
/// probably partitioned, and would try all of them one by one afterwards.
const MAX_OPEN_SHARE: f64 = 0.5;

/// The ages from which stored state is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessBounds {
    /// For the list.
    pub list: Micros,
    /// For circuits and latency ratios.
    pub processes: Micros,
}

/// The part of the stored state that is valid.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ValidSnapshot {
    /// The list.
    pub list: Option<List>,
    /// Circuits and latency ratios.
    pub processes: Vec<Process>,
    /// What was omitted, with the reason.
    pub omitted: Vec<String>,
}

/// Why stored state is implausible.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Implausible {
    /// The list is too long, or names an endpoint twice.
    #[error("its list of {endpoints} endpoints is none")]
    List {
        /// Endpoints in it.
        endpoints: usize,
    },
    /// A weight in the list is not a number of 0 or more.
    #[error("its list has a weight that is none")]
    Weight,
    /// There are more processes than listed endpoints.
    #[error("it knows of {known} endpoints where {listed} were listed")]
    TooManyProcesses {
        /// Number of processes.
        known: usize,
        /// Number of listed endpoints.
        listed: u32,
    },
    /// A latency ratio or a concurrency limit is not a number in its range.
    #[error("a latency ratio or a concurrency limit in it is no number")]
    Estimate,
    /// A time is later than the current one.
    #[error("it is from the future: the clock was put back")]
    FromTheFuture,
}

/// Whether the state can have been written by a working program with a clock like the current one.
///
/// # Errors
/// Why it can't.
pub fn check_plausible(known: &Snapshot, now: Micros) -> Result<(), Implausible> {
    let latest = now.saturating_add(MAX_CLOCK_SKEW_US);
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
        let is_valid =
            |p: &Process| p.slow.is_finite() && p.slow > 0.0 && p.cap.is_finite() && p.cap >= 0.0;
        if !processes.all.iter().all(is_valid) {
            return Err(Implausible::Estimate);
        }
    }
    let list_seen = known.list.as_ref().map(|list| list.seen);
    let process_times = known
        .processes
        .iter()
        .flat_map(|p| p.all.iter().map(|p| p.seen).chain([p.seen]));
    if list_seen
        .into_iter()
        .chain(process_times)
        .any(|seen| seen > latest)
    {
        return Err(Implausible::FromTheFuture);
    }
    Ok(())
}

/// The part of plausible state that is valid at this time.
pub fn validate(known: Snapshot, now: Micros, bounds: StalenessBounds) -> ValidSnapshot {
    let mut left_out = Vec::new();
    let mut is_fresh = |part: &str, seen: Micros, bound: Micros| {
        let age = now.saturating_sub(seen).max(0);
        if age >= bound {
            left_out.push(format!("the {part} is {} s old", age / 1_000_000));
        }
        age < bound
    };
    // An empty list is worth less than the platform's.
    let list = known
        .list
        .filter(|l| !l.entries.is_empty() && is_fresh("list", l.seen, bounds.list));
    let Processes {
        listed, mut all, ..
    } = known
        .processes
        .filter(|p| is_fresh("pace", p.seen, bounds.processes))
        .unwrap_or_default();
    all.retain(|p| now.saturating_sub(p.seen) < bounds.processes);
    let open = all.iter().filter(|p| p.open).count();
    if open as f64 > MAX_OPEN_SHARE * f64::from(listed) {
        left_out.push(format!("{open} of {listed} circuits were open"));
        all.retain(|p| !p.open);
    }
    ValidSnapshot {
        list,
        processes: all,
        omitted: left_out,
    }
}
