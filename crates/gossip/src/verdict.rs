//! Derives the health status of endpoints for one member: which of them are ejected.
//!
//! Others' evidence counts by zone, as a cut shows as the death of everything behind it: an endpoint rests for those in
//! whose own zone enough members have found it sick. Where several zones have, it is the endpoint and not the way, and
//! they share the trials. Who finds most of all endpoints sick is likely cut off, slow or lying, and is not listened to.

use crate::Micros;
use crate::evidence::{Datum, Sign};

/// What others' word makes of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rest {
    /// Nothing: the member decides alone.
    No,
    /// It gets nothing for now.
    Yes,
    /// It rests, and this member may send it a request to see how it is.
    Trial,
    /// It has rested, and members that tried it were served.
    Over,
}

/// Bounds of the weighing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// The age from which a datum counts as never heard.
    pub bound: Micros,
    /// Members of one zone that must have found an endpoint sick.
    pub witnesses: usize,
    /// How long it rests before it is tried.
    pub rest: Micros,
}

/// Signs that count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Tally {
    sick: usize,
    well: usize,
}

impl Tally {
    fn of(data: &[Datum]) -> Self {
        let well = data.iter().filter(|d| d.sign == Sign::Well).count();
        Self {
            sick: data.len() - well,
            well,
        }
    }

    /// More than twice as many found it sick as were served since: one that errs, or lies, does not keep the others out,
    /// and two trials that went well end it.
    fn sick(&self) -> bool {
        self.sick > 2 * self.well
    }
}

/// What is known of one process, weighed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Weighed {
    /// It is sick for this member.
    pub sick: bool,
    /// Until then, where nothing more is heard.
    pub until: Micros,
    /// Zones that found it sick, this member's own among them.
    pub zones: Vec<u64>,
    /// The newest sign, and when it was seen.
    pub newest: Option<(Sign, Micros)>,
    /// Of those that tried it, enough were served.
    pub served: bool,
}

/// Weighs what is known of a process for a member in `zone`, for which it `rests` since the zones given found it sick, or
/// not yet. `counts` says whether a datum's origin is one to listen to; `members` how many that zone has, this member
/// included.
///
/// To rest it needs as many witnesses as the weights say, over all zones that find it sick, and one of the own zone:
/// what others see of a cut is nothing to a zone that is served. It goes on to rest while the newest trials fail.
pub fn weigh<'a>(
    data: impl Iterator<Item = (u64, &'a [Datum])>,
    now: Micros,
    zone: u64,
    rests: Option<&[u64]>,
    weights: &Weights,
    counts: impl Fn(&Datum) -> bool,
    members: impl Fn(u64) -> usize,
) -> Weighed {
    let fresh = |d: &&Datum| now - d.seen < weights.bound && counts(d);
    let (mut all, mut zones, mut offered) = (Vec::new(), Vec::new(), 0);
    for (of, data) in data {
        let data: Vec<Datum> = data.iter().filter(fresh).copied().collect();
        // Once it rests, those who tried it may tell the good news alone.
        if Tally::of(&data).sick() || rests.is_some_and(|zones| zones.contains(&of)) {
            zones.push(of);
            offered += members(of);
            all.extend(data);
        }
    }
    if !zones.contains(&zone) {
        return Weighed::default();
    }
    all.sort_by_key(|d: &Datum| std::cmp::Reverse((d.seen, d.origin)));
    all.truncate(crate::evidence::KEPT);
    let tally = Tally::of(&all);
    // Few members have fewer witnesses to offer; one alone is none.
    let witnesses = if rests.is_some() {
        1
    } else {
        weights.witnesses.min(offered).max(2)
    };
    let mut sick_at = all.iter().filter(|d| d.sign == Sign::Sick).map(|d| d.seen);
    let last_needed = sick_at.nth(witnesses - 1).unwrap_or(0);
    Weighed {
        sick: tally.sick >= witnesses && tally.sick(),
        until: last_needed.saturating_add(weights.bound),
        zones,
        newest: all.first().map(|d| (d.sign, d.seen)),
        served: tally.well > 0 && !tally.sick(),
    }
}

#[cfg(test)]
mod tests;
