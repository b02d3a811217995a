//! The request of a window.

use serde::{Deserialize, Serialize};

use crate::disruption_budget::DisruptionBudget;
use crate::invalid::Invalid;

/// Most servers that one request may name.
pub const MAX_NAMED_SERVERS: usize = 1_024;
/// Longest name of anything, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Longest length, and farthest latest end, in milliseconds: 400 days, a year and a month.
pub const MAX_HORIZON_MS: i64 = 400 * 86_400_000;

/// A wish for a window.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Name that the asker chose. Asked again under the same name, the answer is that of the first.
    pub name: String,
    /// Which servers.
    pub target: Target,
    /// Earliest start of a drain, in milliseconds of Unix time.
    pub earliest_ms: i64,
    /// Latest end with overrun, in milliseconds of Unix time.
    pub latest_ms: i64,
    /// How long one server is away, from the drain's start until it serves warm, in milliseconds.
    pub length_ms: i64,
    /// How much longer it may take, in milliseconds.
    #[serde(default)]
    pub overrun_ms: i64,
    /// Higher goes first.
    #[serde(default)]
    pub priority: u8,
    /// Whether servers may go in waves; if not, all go at once.
    #[serde(default)]
    pub split: bool,
}

/// The servers that a request is for. Groups and zones are resolved once, when the request is
/// accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// These, by name.
    Servers(Vec<String>),
    /// All of a group.
    Group(String),
    /// A part of a zone.
    Zone {
        /// The zone's name.
        zone: String,
        /// The part, in thousandths of its servers, rounded up; those not yet in a window go first.
        share_permille: u32,
    },
}

impl Request {
    /// Time that the plan keeps for one server: length and overrun, in milliseconds.
    pub fn span_ms(&self) -> i64 {
        self.length_ms + self.overrun_ms
    }

    /// Checks every key against its bounds and the disruption budget.
    ///
    /// # Errors
    ///
    /// The first key that can't be taken, with the reason.
    pub fn check(&self, budget: &DisruptionBudget, now_ms: i64) -> Result<(), Invalid> {
        let named = |key: &str, name: &str| match name.len() {
            1..=MAX_NAME_BYTES => Ok(()),
            _ => Err(Invalid::new(
                key,
                format!("must have from 1 to {MAX_NAME_BYTES} bytes"),
            )),
        };
        named("name", &self.name)?;
        match &self.target {
            Target::Servers(names) => {
                if names.is_empty() || names.len() > MAX_NAMED_SERVERS {
                    return Err(Invalid::new(
                        "target.servers",
                        format!("must be from 1 to {MAX_NAMED_SERVERS}"),
                    ));
                }
                names
                    .iter()
                    .try_for_each(|name| named("target.servers", name))?;
            }
            Target::Group(name) => named("target.group", name)?,
            Target::Zone {
                zone,
                share_permille,
            } => {
                named("target.zone.zone", zone)?;
                if !(1..=1_000).contains(share_permille) {
                    return Err(Invalid::new(
                        "target.zone.share_permille",
                        "must be from 1 to 1000",
                    ));
                }
            }
        }
        if !(1..=MAX_HORIZON_MS).contains(&self.length_ms) {
            return Err(Invalid::new(
                "length_ms",
                format!("must be from 1 to {MAX_HORIZON_MS}"),
            ));
        }
        let most = self
            .length_ms
            .saturating_mul(i64::from(budget.overrun_most_permille))
            / 1_000;
        if !(0..=most).contains(&self.overrun_ms) {
            return Err(Invalid::new(
                "overrun_ms",
                format!("must be from 0 to {most} by the agreement"),
            ));
        }
        if self.latest_ms > now_ms.saturating_add(MAX_HORIZON_MS) {
            return Err(Invalid::new("latest_ms", "is more than 400 days ahead"));
        }
        if self.earliest_ms < 0 {
            return Err(Invalid::new("earliest_ms", "is before 1970"));
        }
        if self.latest_ms.saturating_sub(self.span_ms()) < self.earliest_ms.max(now_ms) {
            return Err(Invalid::new(
                "latest_ms",
                "leaves no time for length and overrun",
            ));
        }
        Ok(())
    }
}
