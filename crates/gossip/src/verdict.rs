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
mod tests {
    use super::*;
    use crate::SECOND;
    use crate::evidence::Process;

    const P: Process = Process {
        name: 1,
        started: 0,
    };
    const W: Weights = Weights {
        bound: 12 * SECOND,
        witnesses: 3,
        rest: SECOND,
    };

    fn datum(zone: u64, origin: u64, seen: Micros, sign: Sign) -> Datum {
        Datum {
            origin,
            incarnation: 1,
            sequence: 1,
            zone,
            seen,
            process: P,
            sign,
        }
    }

    fn weighed(zones: &[(u64, Vec<Datum>)], now: Micros, own: u64, rests: bool) -> Weighed {
        let rests = rests.then_some([own]);
        let data = zones.iter().map(|(zone, data)| (*zone, data.as_slice()));
        weigh(
            data,
            now,
            own,
            rests.as_ref().map(|z| z.as_slice()),
            &W,
            |_| true,
            |_| 20,
        )
    }

    fn sick(zone: u64, n: u64) -> Vec<Datum> {
        (0..n)
            .map(|i| datum(zone, zone * 100 + i, i as Micros, Sign::Sick))
            .collect()
    }

    #[test]
    fn enough_witnesses_one_of_them_of_the_own_zone_make_it_rest() {
        let now = SECOND;
        assert!(!weighed(&[(1, sick(1, 2))], now, 1, false).sick);
        let three = weighed(&[(1, sick(1, 3))], now, 1, false);
        assert!(three.sick && three.until == 12 * SECOND && three.zones == [1]);
        // What zone 1 sees of a cut is no sign of death in zone 2, not even with others that agree.
        assert!(!weighed(&[(1, sick(1, 6)), (3, sick(3, 6))], now, 2, false).sick);
        let over_two = weighed(&[(1, sick(1, 2)), (2, sick(2, 1))], now, 2, false);
        assert!(over_two.sick && over_two.zones == [1, 2]);
        // Where some of the own zone are served, one that was not changes nothing.
        let mixed = vec![datum(2, 200, 5, Sign::Sick), datum(2, 201, 6, Sign::Well)];
        assert!(!weighed(&[(1, sick(1, 6)), (2, mixed)], now, 2, false).sick);
        assert!(
            !weighed(&[(1, sick(1, 3))], 12 * SECOND + 1, 1, false).sick,
            "past its bound"
        );
    }

    #[test]
    fn one_who_was_served_does_not_end_it_and_two_do() {
        let mut data = sick(1, 4);
        data.insert(0, datum(1, 7, 10, Sign::Well));
        let one = weighed(&[(1, data.clone())], SECOND, 1, true);
        assert!(one.sick && !one.served && one.newest == Some((Sign::Well, 10)));
        data.insert(0, datum(1, 8, 11, Sign::Well));
        let two = weighed(&[(1, data.clone())], SECOND, 1, true);
        assert!(!two.sick && two.served);
    }

    #[test]
    fn it_goes_on_to_rest_while_the_newest_trial_failed_and_until_that_is_past_its_bound() {
        let last = [(1, vec![datum(1, 1, 20 * SECOND, Sign::Sick)])];
        assert!(!weighed(&last, 21 * SECOND, 1, false).sick);
        let on = weighed(&last, 21 * SECOND, 1, true);
        assert!(on.sick && on.until == 32 * SECOND);
        assert!(!weighed(&last, 32 * SECOND, 1, true).sick);
    }

    #[test]
    fn few_members_need_all_and_a_lone_one_is_never_told() {
        let of = |n: u64, members: usize| {
            let data = [(1, sick(1, n))];
            let data = data.iter().map(|(zone, data)| (*zone, data.as_slice()));
            weigh(data, SECOND, 1, None, &W, |_| true, |_| members).sick
        };
        assert!(of(2, 2) && !of(2, 3) && !of(1, 1));
    }
}
