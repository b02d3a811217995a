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
    /// The earlier one, by its name among the pinned revisions.
    pub revision: String,
    /// Its program; the one that was built of the revision where this is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program: Option<PathBuf>,
    /// The part of the sidecars that begin with it, the first ones in an order drawn from the seed.
    pub part: f64,
    /// Its product configuration; the variant's where this is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config: Option<String>,
    /// Changes from one to the other.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub roll: Vec<Roll>,
}

/// Sidecars are stopped by SIGTERM one after the other, and each starts again in that version once
/// it has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roll {
    /// The version.
    pub to: Version,
    /// When it begins, since the first request.
    pub at: Time,
    /// Until the last one is told to stop.
    pub lasts: Time,
    /// The part of the sidecars, the first ones in the same order.
    pub part: f64,
}

/// One of the two.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Version {
    /// The earlier one.
    Old,
    /// The variant's own.
    #[default]
    New,
}

impl Mix {
    pub(super) fn check(&self, lasts: Time) -> Result<(), InvalidSetting> {
        let part = |x: f64| (0.0..=1.0).contains(&x);
        if !part(self.part) || !self.roll.iter().all(|roll| part(roll.part)) {
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
