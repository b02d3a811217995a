//! What follows from evidence for one member: which endpoints rest, and which of those it may try. Changes with how
//! evidence is weighed.
//!
//! Others' evidence counts by zone, as a cut shows as the death of everything behind it: an endpoint rests for those in
//! whose own zone enough members have found it sick. Where several zones have, it is the endpoint and not the way, and
//! they share the trials. Who finds most of all endpoints sick is likely cut off, slow or lying, and is not listened to.

use crate::Micros;
use crate::evidence::{Datum, Process, Sign};

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

/// Signs in one zone that count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Tally {
    sick: usize,
    well: usize,
}

impl Tally {
    fn add(&mut self, sign: Sign) {
        match sign {
            Sign::Sick => self.sick += 1,
            Sign::Well => self.well += 1,
        }
    }

    /// More than twice as many found it sick as were served since: one that errs, or lies, does not keep the others out,
    /// and two trials that went well end it.
    fn sick(&self, witnesses: usize) -> bool {
        self.sick >= witnesses && self.sick > 2 * self.well
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
    /// Two members, or a third of the signs, have been served by it.
    pub served: bool,
}

/// Weighs what is known of a process for a member in `zone`. `counts` says whether a datum's origin is one to listen to;
/// `members` how many that zone has, this member included.
pub fn weigh<'a>(
    data: impl Iterator<Item = (u64, &'a [Datum])>,
    now: Micros,
    zone: u64,
    weights: &Weights,
    counts: impl Fn(&Datum) -> bool,
    members: impl Fn(u64) -> usize,
) -> Weighed {
    let fresh = |d: &&Datum| now - d.seen < weights.bound && counts(d);
    let mut all: Vec<(usize, Datum)> = Vec::new();
    let mut zones = Vec::new();
    for (of, data) in data {
        // A small zone has fewer witnesses to offer; one member alone is none.
        let witnesses = weights.witnesses.min(members(of)).max(2);
        let data: Vec<Datum> = data.iter().filter(fresh).copied().collect();
        if data.iter().filter(|d| d.sign == Sign::Sick).count() >= witnesses {
            zones.push(of);
            all.extend(data.into_iter().map(|d| (witnesses, d)));
        }
    }
    if !zones.contains(&zone) {
        return Weighed::default();
    }
    all.sort_by_key(|(_, d)| std::cmp::Reverse((d.seen, d.origin)));
    all.truncate(crate::evidence::KEPT);
    let witnesses = all.iter().map(|(w, _)| *w).max().unwrap_or(weights.witnesses);
    let mut tally = Tally::default();
    all.iter().for_each(|(_, d)| tally.add(d.sign));
    let mut sick_at = all.iter().filter(|(_, d)| d.sign == Sign::Sick).map(|(_, d)| d.seen);
    let last_needed = sick_at.nth(witnesses - 1).unwrap_or(0);
    Weighed {
        sick: tally.sick(witnesses),
        until: last_needed.saturating_add(weights.bound),
        zones,
        newest: all.first().map(|(_, d)| (d.sign, d.seen)),
        served: tally.well >= 2,
    }
}

/// Whether it falls to `origin` to try a process in the time around `now`: each member reckons that for itself, and of
/// `members` one does on average. A process is tried less often the longer it rests, at once again when somebody was
/// served. Gives from when till when.
pub fn turn(
    process: Process,
    origin: u64,
    now: Micros,
    since: Micros,
    weighed: &Weighed,
    members: usize,
    weights: &Weights,
) -> Option<(Micros, Micros)> {
    let age = now - since;
    let recovering = matches!(weighed.newest, Some((Sign::Well, _)));
    let length = if recovering {
        weights.rest / 4
    } else if age < 2 * weights.rest {
        weights.rest
    } else if age < 6 * weights.rest {
        2 * weights.rest
    } else {
        4 * weights.rest
    }
    .max(1);
    // Nobody has looked for half of that time at least.
    let seen = weighed.newest.map_or(since, |(_, seen)| seen);
    if !recovering && now - seen < length / 2 {
        return None;
    }
    let slot = now.div_euclid(length);
    let text: Vec<u8> = [process.name, process.started as u64, origin, slot as u64]
        .iter()
        .flat_map(|n| n.to_le_bytes())
        .collect();
    let drawn = xxhash_rust::xxh3::xxh3_64(&text) as f64 / u64::MAX as f64;
    (drawn * (members.max(1) as f64) < 1.0).then_some((slot * length, (slot + 1) * length))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;

    const P: Process = Process { name: 1, started: 0 };
    const W: Weights = Weights { bound: 12 * SECOND, witnesses: 3, rest: SECOND };

    fn datum(zone: u64, origin: u64, seen: Micros, sign: Sign) -> Datum {
        Datum { origin, incarnation: 1, sequence: 1, zone, seen, process: P, sign }
    }

    fn weighed(zones: &[(u64, Vec<Datum>)], now: Micros, own: u64) -> Weighed {
        let data = zones.iter().map(|(zone, data)| (*zone, data.as_slice()));
        weigh(data, now, own, &W, |_| true, |_| 20)
    }

    fn sick(zone: u64, n: u64) -> Vec<Datum> {
        (0..n).map(|i| datum(zone, zone * 100 + i, i as Micros, Sign::Sick)).collect()
    }

    #[test]
    fn enough_of_the_own_zone_make_it_rest_and_other_zones_do_not() {
        let now = SECOND;
        assert!(!weighed(&[(1, sick(1, 2))], now, 1).sick);
        let three = weighed(&[(1, sick(1, 3))], now, 1);
        assert!(three.sick && three.until == 12 * SECOND && three.zones == [1]);
        // What zone 1 sees of a cut is no sign of death in zone 2.
        assert!(!weighed(&[(1, sick(1, 6))], now, 2).sick);
        assert_eq!(weighed(&[(1, sick(1, 3)), (2, sick(2, 3))], now, 2).zones, [1, 2]);
        assert!(!weighed(&[(1, sick(1, 3))], 12 * SECOND + 1, 1).sick, "past its bound");
    }

    #[test]
    fn one_who_was_served_does_not_end_it_and_two_do() {
        let mut data = sick(1, 4);
        data.insert(0, datum(1, 7, 10, Sign::Well));
        let one = weighed(&[(1, data.clone())], SECOND, 1);
        assert!(one.sick && !one.served && one.newest == Some((Sign::Well, 10)));
        data.insert(0, datum(1, 8, 11, Sign::Well));
        let two = weighed(&[(1, data.clone())], SECOND, 1);
        assert!(!two.sick && two.served);
        // Served by the zone that never lost it, the others still wait for their own way.
        let away = vec![datum(2, 201, 20, Sign::Well), datum(2, 202, 21, Sign::Well)];
        assert!(weighed(&[(1, sick(1, 3)), (2, away)], SECOND, 1).sick);
    }

    #[test]
    fn small_zones_need_all_and_a_lone_member_is_never_told() {
        let data = [(1, sick(1, 2))];
        let of = |members: usize| {
            let data = data.iter().map(|(zone, data)| (*zone, data.as_slice()));
            weigh(data, SECOND, 1, &W, |_| true, |_| members).sick
        };
        assert!(of(2) && !of(3));
        let one = [(1, sick(1, 1))];
        let data = one.iter().map(|(zone, data)| (*zone, data.as_slice()));
        assert!(!weigh(data, SECOND, 1, &W, |_| true, |_| 1).sick);
    }

    #[test]
    fn trials_are_shared_out_and_grow_rarer() {
        let resting = Weighed { sick: true, newest: Some((Sign::Sick, 0)), ..Weighed::default() };
        // How many of 60 members try it in each second, looked at every 50 ms.
        let trials = |weighed: &Weighed, from: i64, to: i64| {
            let mut turns = std::collections::BTreeSet::new();
            for at in (from * 20)..(to * 20) {
                for origin in 0..60 {
                    if let Some((_, until)) = turn(P, origin, at * 50_000, 0, weighed, 60, &W) {
                        turns.insert((origin, until));
                    }
                }
            }
            turns.len() as f64 / (to - from) as f64
        };
        assert!(trials(&resting, 0, 2) <= 2.0);
        let late = trials(&resting, 100, 500);
        assert!((0.15..0.35).contains(&late), "one in 4 s: {late}");
        let recovering = Weighed { newest: Some((Sign::Well, 0)), ..resting };
        let soon = trials(&recovering, 100, 200);
        assert!((3.0..5.0).contains(&soon), "four a second: {soon}");
        assert_eq!(
            turn(P, 1, 100_000, 0, &Weighed { newest: Some((Sign::Sick, 0)), ..Weighed::default() }, 1, &W),
            None
        );
    }
}
