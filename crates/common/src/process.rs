//! Reads what the operating system reports of this process.

use std::fs;

/// Figures of this process, each absent where the system does not tell it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Memory that is resident, in bytes.
    pub resident: Option<u64>,
    /// Descriptors that are open.
    pub descriptors: Option<u64>,
    /// Descriptors that may be open.
    pub most_descriptors: Option<u64>,
    /// Processor time used so far, in seconds.
    pub processor: Option<f64>,
}

/// Clock ticks a second in the system's accounts: fixed at 100 on every Linux that programs can run
/// on (`USER_HZ`, proc(5)).
const TICKS: f64 = 100.0;

/// Reads them anew.
pub fn usage() -> Usage {
    usage_at("/proc/self")
}

/// Those of another process.
pub fn usage_of(process: u32) -> Usage {
    usage_at(&format!("/proc/{process}"))
}

fn usage_at(folder: &str) -> Usage {
    let status = fs::read_to_string(format!("{folder}/status")).ok();
    let limits = fs::read_to_string(format!("{folder}/limits")).ok();
    let stat = fs::read_to_string(format!("{folder}/stat")).ok();
    Usage {
        resident: status.as_deref().and_then(resident),
        // One of them is the folder that is being read.
        descriptors: fs::read_dir(format!("{folder}/fd"))
            .ok()
            .map(|fds| (fds.count() as u64).saturating_sub(1)),
        most_descriptors: limits.as_deref().and_then(most_descriptors),
        processor: stat.as_deref().and_then(processor),
    }
}

fn resident(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    Some(line.split_whitespace().next()?.parse::<u64>().ok()? * 1024)
}

fn most_descriptors(limits: &str) -> Option<u64> {
    limits
        .lines()
        .find_map(|l| l.strip_prefix("Max open files"))?
        .split_whitespace()
        .next()?
        .parse()
        .ok()
}

fn processor(stat: &str) -> Option<f64> {
    // The name, in brackets, may hold anything; user and system time are the 12th and 13th field
    // behind it.
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
    let mut next = || fields.next()?.parse::<f64>().ok();
    Some((next()? + next()?) / TICKS)
}

#[cfg(test)]
mod tests;
