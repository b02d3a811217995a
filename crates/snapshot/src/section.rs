//! The `[state]` section of a product configuration; docs/configuration.md is its reference.

use crate::Micros;
use crate::belief::Bounds;
use load_balancer_common::config::Contradiction;
use load_balancer_common::units::Time;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// The section.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StateSection {
    /// The directory, this sidecar's own; without one nothing is kept.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub dir: Option<PathBuf>,
    /// How often it is looked for something new to keep.
    pub every: Time,
    /// The age from which the list is not believed.
    pub list_bound: Time,
    /// The age from which verdicts and pace are not believed.
    pub verdicts_bound: Time,
    /// How long a start waits for the disk.
    pub wait: Time,
}

impl Default for StateSection {
    fn default() -> Self {
        Self {
            dir: None,
            // Half of the longest aim: a server that died has cost a request or two by then.
            every: Time::ms(500),
            // An image, a reboot and the checks of a file system lie in it; servers that were replaced meanwhile
            // refuse the connection, and discovery's first answer names them.
            list_bound: Time::ms(600_000),
            // Four times as long as a circuit stays open at the most (8 s and a quarter).
            verdicts_bound: Time::ms(60_000),
            // Less than the platform's own look for a sidecar that has started takes.
            wait: Time::ms(200),
        }
    }
}

/// Shortest time between two looks: more often than a disk may take to sync.
const LEAST_EVERY: Time = Time::ms(50);

impl StateSection {
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
            return wrong("state.dir", "a directory's name");
        }
        if self.every < LEAST_EVERY {
            return wrong("state.every", "at least 50ms");
        }
        if self.verdicts_bound.0 < self.every.0 * 2 {
            return wrong(
                "state.verdicts_bound",
                "at least twice state.every, or none is ever believed",
            );
        }
        if self.list_bound < self.verdicts_bound {
            return wrong(
                "state.list_bound",
                "at least state.verdicts_bound: a verdict is on a listed one",
            );
        }
        Ok(())
    }

    /// The ages from which things are not believed.
    pub fn bounds(&self) -> Bounds {
        let micros = |time: Time| Micros::try_from(time.0.as_micros()).unwrap_or(Micros::MAX);
        Bounds {
            list: micros(self.list_bound),
            processes: micros(self.verdicts_bound),
        }
    }
}

#[cfg(test)]
mod tests;
