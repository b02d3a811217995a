//! The capacity floor and the other limits that operators set.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::calendar::Blackout;
use crate::invalid::Invalid;

/// Most blackouts, zones and groups that one disruption budget may name, so that a calendar and a
/// plan stay small.
pub const MAX_RULES: usize = 64;

/// What the operators have agreed on. Capacity is counted in the servers' weights.
///
/// A server counts as there if fresh observations say that it serves and is warm, and no grant is
/// open for it. What is there never falls below `keep`, `keep_zone` and `keep_group` by an act of
/// the machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DisruptionBudget {
    /// Least weight that must stay of all servers together.
    pub keep: u64,
    /// Least weight that must stay in a zone, by its name. A zone that is not named has no limit of
    /// its own.
    #[serde(default)]
    pub keep_zone: BTreeMap<String, u64>,
    /// Least weight that must stay in a group, by its name. A group that is not named has no limit
    /// of its own.
    #[serde(default)]
    pub keep_group: BTreeMap<String, u64>,
    /// Most servers away at once, by grant, dead or unheard of.
    pub most_away: u32,
    /// Times in which nothing may be away by grant.
    #[serde(default)]
    pub blackouts: Vec<Blackout>,
    /// Most overrun that a request may ask for, in thousandths of its length.
    #[serde(default = "overrun_most_permille")]
    pub overrun_most_permille: u32,
    /// Whether the overrun of a window may reach into a blackout. Its length never may.
    #[serde(default)]
    pub overrun_may_enter_blackout: bool,
    /// Most requests open at once; a further one is refused.
    #[serde(default = "most_open")]
    pub most_open: u32,
    /// Age from which observations have no effect, in milliseconds.
    #[serde(default = "evidence_bound_ms")]
    pub evidence_bound_ms: i64,
    /// Longest wait for the clear of a draining server, in milliseconds; then it is cancelled and
    /// booked anew.
    #[serde(default = "clear_most_ms")]
    pub clear_most_ms: i64,
    /// How long a plan supposes that a dead or late server stays away, in milliseconds. Plans only:
    /// grants ask the observations.
    #[serde(default = "repair_ms")]
    pub repair_ms: i64,
    /// A request gains one step of priority for each such time that it has waited, in milliseconds,
    /// so that none starves.
    #[serde(default = "patience_ms")]
    pub patience_ms: i64,
}

/// Half a length more: work that takes longer than that was not estimated but guessed.
fn overrun_most_permille() -> u32 {
    500
}

/// Three zones ask for twenty windows each in a busy week.
fn most_open() -> u32 {
    64
}

/// Five rounds of the fleet's news at one a second.
fn evidence_bound_ms() -> i64 {
    5_000
}

/// An affinity entry's life of some minutes, and as much again for a member that was stopped.
fn clear_most_ms() -> i64 {
    600_000
}

/// The time in which a platform replaces a server that died.
fn repair_ms() -> i64 {
    900_000
}

/// A working day's quarter.
fn patience_ms() -> i64 {
    7_200_000
}

impl DisruptionBudget {
    /// Checks every key.
    ///
    /// # Errors
    ///
    /// The first key that can't be taken, with the reason.
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
        for (key, value, least) in [
            ("evidence_bound_ms", self.evidence_bound_ms, 1),
            ("clear_most_ms", self.clear_most_ms, 1),
            ("repair_ms", self.repair_ms, 1),
            ("patience_ms", self.patience_ms, 1_000),
        ] {
            if value < least || value > 30 * DAY_MS {
                return Err(Invalid::new(
                    key,
                    format!("must be from {least} ms to 30 days"),
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
