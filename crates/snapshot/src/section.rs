//! The `[snapshot]` section of a product configuration; docs/configuration.md is its reference.

use crate::Micros;
use crate::validation::Bounds;
use load_balancer_common::config::Contradiction;
use load_balancer_common::units::Time;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// The section.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SnapshotSection {
    /// The directory, this sidecar's own; without one nothing is kept.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub dir: Option<PathBuf>,
    /// How often it is looked for something new to keep.
    #[serde(alias = "every")]
    pub interval: Time,
    /// The age from which the list is not believed.
    #[serde(alias = "list_bound")]
    pub list_max_staleness: Time,
    /// The age from which ejections and latency ratios are not believed.
    #[serde(alias = "verdicts_bound")]
    pub health_max_staleness: Time,
    /// How long a start waits for the disk.
    #[serde(alias = "wait")]
    pub start_timeout: Time,
}

impl Default for SnapshotSection {
    fn default() -> Self {
        Self {
            dir: None,
            // Half of the longest latency objective: a server that died has cost a request or two
            // by then.
            interval: Time::ms(500),
            // An image, a reboot and the checks of a file system lie in it; servers that were
            // replaced meanwhile refuse the connection, and discovery's first answer names them.
            list_max_staleness: Time::ms(600_000),
            // Four times as long as a circuit stays open at the most (8 s and a quarter).
            health_max_staleness: Time::ms(60_000),
            // Less than the platform's own look for a sidecar that has started takes.
            start_timeout: Time::ms(200),
        }
    }
}

/// Shortest time between two writes: more often than a disk may take to sync.
const MIN_INTERVAL: Time = Time::ms(50);

impl SnapshotSection {
    /// Finds what nothing could work with.
    ///
    /// # Errors
    /// The first such value.
    pub fn check(&self) -> Result<(), Contradiction> {
        let wrong = |key: &str, what: &str| Err(Contradiction::new(key, what));
        if self
            .dir
            .as_ref()
            .is_some_and(|dir| dir.as_os_str().is_empty())
        {
            return wrong("snapshot.dir", "a directory's name");
        }
        if self.interval < MIN_INTERVAL {
            return wrong("snapshot.interval", "at least 50ms");
        }
        if self.health_max_staleness.0 < self.interval.0 * 2 {
            return wrong(
                "snapshot.health_max_staleness",
                "at least twice snapshot.interval, or none is ever believed",
            );
        }
        if self.list_max_staleness < self.health_max_staleness {
            return wrong(
                "snapshot.list_max_staleness",
                "at least snapshot.health_max_staleness: a verdict is on a listed one",
            );
        }
        Ok(())
    }

    /// The ages from which things are not believed.
    pub fn bounds(&self) -> Bounds {
        let micros = |time: Time| Micros::try_from(time.0.as_micros()).unwrap_or(Micros::MAX);
        Bounds {
            list: micros(self.list_max_staleness),
            processes: micros(self.health_max_staleness),
        }
    }
}

#[cfg(test)]
mod tests;
