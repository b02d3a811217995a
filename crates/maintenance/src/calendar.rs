//! Blackouts: their configured form, and their conversion to time spans.

use jiff::civil::DateTime;
use jiff::tz::TimeZone;
use jiff::{Span as Delta, ToSpan};
use serde::{Deserialize, Serialize};

use crate::invalid::Invalid;

/// A time during which no server may be away for maintenance, in local time of one time zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Blackout {
    /// Display name, such as "week before the VAT return".
    pub name: String,
    /// Name in the IANA time zone database, such as "Europe/Ljubljana".
    pub time_zone: String,
    /// Start, in local time of that zone: 2026-01-13T00:00.
    pub from: DateTime,
    /// End (exclusive), in local time of that zone.
    pub until: DateTime,
    /// How it recurs.
    #[serde(default)]
    pub every: Every,
}

/// How a blackout recurs: on the same day at the same local time, or on the last day of a month
/// that lacks that day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Every {
    /// It does not recur.
    #[default]
    Once,
    /// Every month.
    Month,
    /// Every third month.
    Quarter,
    /// Every year.
    Year,
}

impl Every {
    fn months(self) -> Option<i64> {
        match self {
            Every::Once => None,
            Every::Month => Some(1),
            Every::Quarter => Some(3),
            Every::Year => Some(12),
        }
    }
}

/// A half-open time span, in milliseconds of Unix time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span {
    /// Start.
    pub from_ms: i64,
    /// End (exclusive).
    pub until_ms: i64,
}

impl Blackout {
    /// Validates every setting.
    ///
    /// # Errors
    ///
    /// The first invalid setting, with the reason.
    pub fn check(&self) -> Result<(), Invalid> {
        if self.name.is_empty() {
            return Err(Invalid::new("name", "is empty"));
        }
        if TimeZone::get(&self.time_zone).is_err() {
            return Err(Invalid::new(
                "time_zone",
                format!("{:?} is no known time zone", self.time_zone),
            ));
        }
        if self.until <= self.from {
            return Err(Invalid::new("until", "is not after from"));
        }
        if let Some(months) = self.every.months() {
            let next_start = self.from.checked_add(Delta::new().months(months));
            if next_start.is_ok_and(|again| self.until > again) {
                return Err(Invalid::new("until", "is after the next one begins"));
            }
        }
        Ok(())
    }

    /// Its occurrences that overlap the given span. A local time that is skipped or repeated by a
    /// change to or from summer time is resolved by jiff's "compatible" rule.
    pub(crate) fn spans(&self, range: Span) -> Vec<Span> {
        let Ok(zone) = TimeZone::get(&self.time_zone) else {
            return vec![range];
        };
        let timestamp_ms = |at: DateTime| zone.to_timestamp(at).ok().map(|t| t.as_millisecond());
        let mut spans = Vec::new();
        let mut count = 0i64;
        // Limits the search to 200 years of monthly occurrences, beyond any permitted request.
        const MAX_REPEATS: i64 = 12 * 200;
        while count <= MAX_REPEATS {
            let delta = (count * self.every.months().unwrap_or(0)).months();
            let (Ok(from), Ok(until)) =
                (self.from.checked_add(delta), self.until.checked_add(delta))
            else {
                break;
            };
            let (Some(from_ms), Some(until_ms)) = (timestamp_ms(from), timestamp_ms(until)) else {
                break;
            };
            if from_ms >= range.until_ms {
                break;
            }
            if until_ms > range.from_ms && until_ms > from_ms {
                spans.push(Span { from_ms, until_ms });
            }
            if self.every == Every::Once {
                break;
            }
            count += 1;
        }
        spans
    }
}

/// The occurrences of all blackouts that overlap the given span, in order, with overlapping ones
/// merged.
pub(crate) fn merged_spans(blackouts: &[Blackout], range: Span) -> Vec<Span> {
    let mut spans: Vec<Span> = blackouts.iter().flat_map(|b| b.spans(range)).collect();
    spans.sort_unstable();
    let mut merged: Vec<Span> = Vec::with_capacity(spans.len());
    for span in spans {
        match merged.last_mut() {
            Some(last) if span.from_ms <= last.until_ms => {
                last.until_ms = last.until_ms.max(span.until_ms)
            }
            _ => merged.push(span),
        }
    }
    merged
}
