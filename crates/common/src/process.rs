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

/// Clock ticks a second in the system's accounts: fixed at 100 on every Linux that programs can run on (`USER_HZ`,
/// proc(5)).
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
    // The name, in brackets, may hold anything; user and system time are the 12th and 13th field behind it.
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
    let mut next = || fields.next()?.parse::<f64>().ok();
    Some((next()? + next()?) / TICKS)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_systems_own_forms_are_read() {
        assert_eq!(
            resident("Name:\ta\nVmRSS:\t    1796 kB\n"),
            Some(1796 * 1024)
        );
        assert_eq!(resident("Name:\ta\n"), None);
        let limits = "Limit   Soft Limit   Hard Limit   Units\nMax open files            1024   524288   files\n";
        assert_eq!(most_descriptors(limits), Some(1024));
        assert_eq!(
            most_descriptors("Max open files            unlimited   unlimited   files\n"),
            None
        );
        let stat = "7 (a) b) S 1 7 7 0 -1 4194560 92 0 0 0 250 50 0 0 20 0 1 0 1 1 1";
        assert_eq!(processor(stat), Some(3.0));
        assert_eq!(processor("nothing"), None);
        let usage = usage();
        assert!(usage.resident.is_some_and(|b| b > 0) && usage.descriptors.is_some_and(|n| n > 0));
        assert!(
            usage_of(std::process::id()).resident.is_some()
                && usage_of(u32::MAX) == Usage::default()
        );
    }
}
