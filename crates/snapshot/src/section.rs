//! The `[snapshot]` section of a product configuration; docs/configuration.md is the reference.

use crate::Micros;
use crate::validation::StalenessBounds;
use load_balancer_common::config::InvalidSetting;
use load_balancer_common::units::Time;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// The section.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SnapshotSection {
    /// The directory of this sidecar; without one nothing is stored.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub dir: Option<PathBuf>,
    /// Interval of the checks for changes to store.
    #[serde(alias = "every")]
    pub interval: Time,
    /// Age from which the list is not used.
    #[serde(alias = "list_bound")]
    pub list_max_staleness: Time,
    /// Age from which ejections and latency ratios are not used.
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
            // Half of the longest latency objective: a failed server has caused one or two failed
            // requests by then.
            interval: Time::ms(500),
            // Covers an image, a reboot and a file system check; servers replaced in the meantime
            // refuse the connection, and discovery's first answer lists them.
            list_max_staleness: Time::ms(600_000),
            // Four times the longest time for which a circuit stays open (8 s and a quarter).
            health_max_staleness: Time::ms(60_000),
            // Less than the platform's own check of a starting sidecar takes.
            start_timeout: Time::ms(200),
        }
    }
}

/// Shortest interval between two writes; a sync of a disk may take longer.
const MIN_INTERVAL: Time = Time::ms(50);

impl SnapshotSection {
    /// Rejects settings that can't work.
    ///
    /// # Errors
    /// The first invalid setting.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        let invalid = |key: &str, reason: &str| Err(InvalidSetting::new(key, reason));
        if self
            .dir
            .as_ref()
            .is_some_and(|dir| dir.as_os_str().is_empty())
        {
            return invalid("snapshot.dir", "a directory's name");
        }
        if self.interval < MIN_INTERVAL {
            return invalid("snapshot.interval", "at least 50ms");
        }
        if self.health_max_staleness.0 < self.interval.0 * 2 {
            return invalid(
                "snapshot.health_max_staleness",
                "at least twice snapshot.interval, or none is ever believed",
            );
        }
        if self.list_max_staleness < self.health_max_staleness {
            return invalid(
                "snapshot.list_max_staleness",
                "at least snapshot.health_max_staleness: a verdict is on a listed one",
            );
        }
        Ok(())
    }

    /// The ages from which stored state is not used.
    pub fn bounds(&self) -> StalenessBounds {
        let micros = |time: Time| Micros::try_from(time.0.as_micros()).unwrap_or(Micros::MAX);
        StalenessBounds {
            list: micros(self.list_max_staleness),
            processes: micros(self.health_max_staleness),
        }
    }
}

#[cfg(test)]
mod tests;
