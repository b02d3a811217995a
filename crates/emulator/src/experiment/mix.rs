//! The part of an experiment's file on mixed fleets: which sidecars run an earlier revision, and
//! when they change over.

use load_balancer_common::config::InvalidSetting;
use load_balancer_common::units::Time;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Sidecars of two versions in one fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// The earlier version, by its name among the pinned revisions.
    pub revision: String,
    /// Its program; by default the one built from the revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program: Option<PathBuf>,
    /// The share of the sidecars that start with it: the first ones in an order derived from the
    /// seed.
    pub part: f64,
    /// Its product configuration; by default the variant's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config: Option<String>,
    /// Changes from one version to the other.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub roll: Vec<Roll>,
}

/// A rolling restart: sidecars are shut down by SIGTERM one after the other, each restarting in
/// that version once it has exited.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roll {
    /// The new version.
    pub to: Version,
    /// When it begins, from the first request on.
    pub at: Time,
    /// Time until the last sidecar is told to shut down.
    pub lasts: Time,
    /// The share of the sidecars: the first ones in the same order.
    pub part: f64,
}

/// One of the two versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Version {
    /// The earlier version.
    Old,
    /// The variant's own version.
    #[default]
    New,
}

impl Mix {
    pub(super) fn check(&self, lasts: Time) -> Result<(), InvalidSetting> {
        let is_share = |x: f64| (0.0..=1.0).contains(&x);
        if !is_share(self.part) || !self.roll.iter().all(|roll| is_share(roll.part)) {
            return Err(InvalidSetting::new("variant.mix", "part from 0 to 1"));
        }
        if self.roll.iter().any(|roll| roll.at >= lasts) {
            return Err(InvalidSetting::new(
                "variant.mix.roll",
                "at must lie before load.lasts",
            ));
        }
        Ok(())
    }
}
