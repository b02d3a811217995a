//! Blackouts: how they are written, and how they become times.

use jiff::civil::DateTime;
use jiff::tz::TimeZone;
use jiff::{Span as Delta, ToSpan};
use serde::{Deserialize, Serialize};

use crate::invalid::Invalid;

/// A time in which nothing may be away by grant, in the clocks of one time zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Blackout {
    /// Name for people, such as "week before the VAT return".
    pub name: String,
    /// Name in the IANA time zone database, such as "Europe/Ljubljana".
    pub time_zone: String,
    /// First moment, in that zone's clocks: 2026-01-13T00:00.
    pub from: DateTime,
    /// First moment after it.
    pub until: DateTime,
    /// How it comes again.
    #[serde(default)]
    pub every: Every,
}

/// How a blackout comes again: on the same day and time of the clock, or the month's last day where
/// it lacks that day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Every {
    /// It doesn't.
    #[default]
    Once,
    /// Each month.
    Month,
    /// Each third month.
    Quarter,
    /// Each year.
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

/// A time from its first moment to the first moment after it, in milliseconds of Unix time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span {
    /// First moment.
    pub from_ms: i64,
    /// First moment after it.
    pub until_ms: i64,
}

impl Blackout {
    /// Checks every key.
    ///
    /// # Errors
    ///
    /// The first key that can't be taken, with the reason.
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
            let again = self.from.checked_add(Delta::new().months(months));
            if again.is_ok_and(|again| self.until > again) {
                return Err(Invalid::new("until", "is after the next one begins"));
            }
        }
        Ok(())
    }

    /// Its times that touch the given one. A time of the clock that a change of summer time skips
    /// or repeats is taken as jiff's "compatible" rule takes it.
    pub(crate) fn spans(&self, within: Span) -> Vec<Span> {
        let Ok(zone) = TimeZone::get(&self.time_zone) else {
            return vec![within];
        };
        let moment = |at: DateTime| zone.to_timestamp(at).ok().map(|t| t.as_millisecond());
        let mut spans = Vec::new();
        let mut count = 0i64;
        // Years from the first one to the last that anybody may ask for, by months.
        const MAX_REPEATS: i64 = 12 * 200;
        while count <= MAX_REPEATS {
            let delta = (count * self.every.months().unwrap_or(0)).months();
            let (Ok(from), Ok(until)) =
                (self.from.checked_add(delta), self.until.checked_add(delta))
            else {
                break;
            };
            let (Some(from_ms), Some(until_ms)) = (moment(from), moment(until)) else {
                break;
            };
            if from_ms >= within.until_ms {
                break;
            }
            if until_ms > within.from_ms && until_ms > from_ms {
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

/// All blackouts' times that touch the given one, in order, with overlapping ones made one.
pub(crate) fn merged(blackouts: &[Blackout], within: Span) -> Vec<Span> {
    let mut all: Vec<Span> = blackouts.iter().flat_map(|b| b.spans(within)).collect();
    all.sort_unstable();
    let mut merged: Vec<Span> = Vec::with_capacity(all.len());
    for span in all {
        match merged.last_mut() {
            Some(last) if span.from_ms <= last.until_ms => {
                last.until_ms = last.until_ms.max(span.until_ms)
            }
            _ => merged.push(span),
        }
    }
    merged
}
