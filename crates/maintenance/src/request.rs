//! Requests for maintenance windows.

use serde::{Deserialize, Serialize};

use crate::disruption_budget::DisruptionBudget;
use crate::invalid::Invalid;

/// Most servers that one request may name.
pub const MAX_NAMED_SERVERS: usize = 1_024;
/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Longest length and latest end from now, in milliseconds: 400 days.
pub const MAX_HORIZON_MS: i64 = 400 * 86_400_000;

/// A request for a maintenance window.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Name chosen by the requester. A repeated request with the same name gets the first answer.
    pub name: String,
    /// The servers.
    pub target: Target,
    /// Earliest start of the drain, in milliseconds of Unix time.
    pub earliest_ms: i64,
    /// Latest end with overrun, in milliseconds of Unix time.
    pub latest_ms: i64,
    /// How long one server is away, from the start of its drain until it is warm again, in
    /// milliseconds.
    pub length_ms: i64,
    /// How much longer it may take, in milliseconds.
    #[serde(default)]
    pub overrun_ms: i64,
    /// Requests of a higher priority are placed first.
    #[serde(default)]
    pub priority: u8,
    /// Whether the servers may be split into waves; otherwise all go at once.
    #[serde(default)]
    pub split: bool,
}

/// The servers of a request. Groups and zones are resolved once, when the request is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The servers of these names.
    Servers(Vec<String>),
    /// All servers of a group.
    Group(String),
    /// A share of a zone's servers.
    Zone {
        /// The zone's name.
        zone: String,
        /// The share, in thousandths, rounded up; servers that are not yet in a window are chosen
        /// first.
        share_permille: u32,
    },
}

impl Request {
    /// The time reserved for one server: length and overrun, in milliseconds.
    pub fn span_ms(&self) -> i64 {
        self.length_ms + self.overrun_ms
    }

    /// Validates every field against its bounds and the disruption budget.
    ///
    /// # Errors
    ///
    /// The first invalid field, with the reason.
    pub fn check(&self, budget: &DisruptionBudget, now_ms: i64) -> Result<(), Invalid> {
        let check_name = |key: &str, name: &str| match name.len() {
            1..=MAX_NAME_BYTES => Ok(()),
            _ => Err(Invalid::new(
                key,
                format!("must have from 1 to {MAX_NAME_BYTES} bytes"),
            )),
        };
        check_name("name", &self.name)?;
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
                    .try_for_each(|name| check_name("target.servers", name))?;
            }
            Target::Group(name) => check_name("target.group", name)?,
            Target::Zone {
                zone,
                share_permille,
            } => {
                check_name("target.zone.zone", zone)?;
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
        let max_overrun = self
            .length_ms
            .saturating_mul(i64::from(budget.overrun_most_permille))
            / 1_000;
        if !(0..=max_overrun).contains(&self.overrun_ms) {
            return Err(Invalid::new(
                "overrun_ms",
                format!("must be from 0 to {max_overrun} by the agreement"),
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
