//! The operating system's statistics of a process.

use std::fs;

/// Statistics of a process, each absent if the system does not provide it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Resident memory, in bytes.
    pub resident_bytes: Option<u64>,
    /// Number of open file descriptors.
    pub descriptors: Option<u64>,
    /// Most file descriptors that may be open.
    pub max_descriptors: Option<u64>,
    /// CPU time used so far, in seconds.
    pub cpu_seconds: Option<f64>,
}

/// Clock ticks per second in the system's statistics: 100 on every Linux that runs these programs
/// (`USER_HZ`, proc(5)).
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Reads the statistics of this process.
pub fn usage() -> Usage {
    read_usage("/proc/self")
}

/// Reads the statistics of another process.
pub fn usage_of(process: u32) -> Usage {
    read_usage(&format!("/proc/{process}"))
}

fn read_usage(folder: &str) -> Usage {
    let status = fs::read_to_string(format!("{folder}/status")).ok();
    let limits = fs::read_to_string(format!("{folder}/limits")).ok();
    let stat = fs::read_to_string(format!("{folder}/stat")).ok();
    Usage {
        resident_bytes: status.as_deref().and_then(parse_resident_bytes),
        // One of them is the directory that is being read.
        descriptors: fs::read_dir(format!("{folder}/fd"))
            .ok()
            .map(|fds| (fds.count() as u64).saturating_sub(1)),
        max_descriptors: limits.as_deref().and_then(parse_max_descriptors),
        cpu_seconds: stat.as_deref().and_then(parse_cpu_seconds),
    }
}

fn parse_resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    Some(line.split_whitespace().next()?.parse::<u64>().ok()? * 1024)
}

fn parse_max_descriptors(limits: &str) -> Option<u64> {
    limits
        .lines()
        .find_map(|l| l.strip_prefix("Max open files"))?
        .split_whitespace()
        .next()?
        .parse()
        .ok()
}

fn parse_cpu_seconds(stat: &str) -> Option<f64> {
    // The name, in parentheses, may contain anything; user and system time are the 12th and 13th
    // field after it.
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
    let mut next = || fields.next()?.parse::<f64>().ok();
    Some((next()? + next()?) / CLOCK_TICKS_PER_S)
}

#[cfg(test)]
mod tests;
