//! The disruption budget: the capacity floor and the other limits that operators set.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::calendar::Blackout;
use crate::invalid::Invalid;

/// Most blackouts, zones and groups that one disruption budget may name; bounds the size of
/// calendars and plans.
pub const MAX_RULES: usize = 64;

/// The limits that operators have set. Capacity is the sum of the servers' weights.
///
/// A server counts as in service if recent observations show it healthy and warm, and it is not
/// admitted to a window. No action of the machine lowers the capacity in service below `keep`,
/// `keep_zone` and `keep_group`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DisruptionBudget {
    /// Least weight of all servers together.
    pub keep: u64,
    /// Least weight in a zone, by the zone's name. A zone that is not named has no limit of its
    /// own.
    #[serde(default)]
    pub keep_zone: BTreeMap<String, u64>,
    /// Least weight in a group, by the group's name. A group that is not named has no limit of its
    /// own.
    #[serde(default)]
    pub keep_group: BTreeMap<String, u64>,
    /// Most servers away at once, whether admitted, unhealthy or without recent observations.
    pub most_away: u32,
    /// Times during which no server may be away for maintenance.
    #[serde(default)]
    pub blackouts: Vec<Blackout>,
    /// Longest overrun that a request may ask for, in thousandths of its length.
    #[serde(default = "overrun_most_permille")]
    pub overrun_most_permille: u32,
    /// Whether the overrun of a window may overlap a blackout. Its length never may.
    #[serde(default)]
    pub overrun_may_enter_blackout: bool,
    /// Most open requests; a further one is rejected.
    #[serde(default = "most_open")]
    pub most_open: u32,
    /// Age from which an observation no longer counts, in milliseconds.
    #[serde(default = "evidence_bound_ms")]
    pub evidence_bound_ms: i64,
    /// Longest wait for a draining server to become clear, in milliseconds; then its drain is
    /// cancelled and it is booked again.
    #[serde(default = "clear_most_ms")]
    pub clear_most_ms: i64,
    /// How long an unhealthy or late server is assumed to stay away, in milliseconds. Used by plans
    /// only: admission relies on observations.
    #[serde(default = "repair_ms")]
    pub repair_ms: i64,
    /// A request's effective priority grows by one for each such time it has waited, in
    /// milliseconds, so that no request starves.
    #[serde(default = "patience_ms")]
    pub patience_ms: i64,
}

/// More than half the length again suggests that the length itself was not estimated.
fn overrun_most_permille() -> u32 {
    500
}

/// Three zones request twenty windows each in a busy week.
fn most_open() -> u32 {
    64
}

/// Five gossip rounds of one second.
fn evidence_bound_ms() -> i64 {
    5_000
}

/// Covers the lifetime of an affinity entry, some minutes, twice: a member may have been paused.
fn clear_most_ms() -> i64 {
    600_000
}

/// The time in which a platform replaces a failed server.
fn repair_ms() -> i64 {
    900_000
}

/// A quarter of a working day.
fn patience_ms() -> i64 {
    7_200_000
}

impl DisruptionBudget {
    /// Validates every setting.
    ///
    /// # Errors
    ///
    /// The first invalid setting, with the reason.
    pub fn check(&self) -> Result<(), Invalid> {
        const DAY_MS: i64 = 86_400_000;
        if self.most_away == 0 {
            return Err(Invalid::new("most_away", "nothing could ever be away"));
        }
        if self.overrun_most_permille > 10_000 {
            return Err(Invalid::new(
                "overrun_most_permille",
                "is more than ten times the length (10000)",
            ));
        }
        if self.most_open == 0 || self.most_open > 1_000 {
            return Err(Invalid::new("most_open", "must be from 1 to 1000"));
        }
        for (key, value, min) in [
            ("evidence_bound_ms", self.evidence_bound_ms, 1),
            ("clear_most_ms", self.clear_most_ms, 1),
            ("repair_ms", self.repair_ms, 1),
            ("patience_ms", self.patience_ms, 1_000),
        ] {
            if value < min || value > 30 * DAY_MS {
                return Err(Invalid::new(
                    key,
                    format!("must be from {min} ms to 30 days"),
                ));
            }
        }
        for (key, names) in [
            ("keep_zone", &self.keep_zone),
            ("keep_group", &self.keep_group),
        ] {
            if names.len() > MAX_RULES {
                return Err(Invalid::new(key, format!("names more than {MAX_RULES}")));
            }
            if names.keys().any(|name| name.is_empty()) {
                return Err(Invalid::new(key, "has an empty name"));
            }
        }
        if self.blackouts.len() > MAX_RULES {
            return Err(Invalid::new(
                "blackouts",
                format!("are more than {MAX_RULES}"),
            ));
        }
        for (index, blackout) in self.blackouts.iter().enumerate() {
            blackout
                .check()
                .map_err(|e| Invalid::new(format!("blackouts[{index}].{}", e.key), e.reason))?;
        }
        Ok(())
    }
}
