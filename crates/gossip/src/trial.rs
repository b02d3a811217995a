//! Trials of ejected endpoints: when one is due, and which member makes it.

use crate::Micros;
use crate::evidence::{Process, Sign};
use crate::verdict::{Weighed, Weights};

/// The time in which one trial is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Its beginning.
    pub from: Micros,
    /// Its length.
    pub length: Micros,
}

/// The slot around `now` for a process that rests since then: longer the longer it rests, short once somebody was
/// served. None where somebody has just looked.
pub fn slot(now: Micros, since: Micros, weighed: &Weighed, weights: &Weights) -> Option<Slot> {
    let (age, rest) = (now - since, weights.rest);
    let recovering = matches!(weighed.newest, Some((Sign::Well, _)));
    let length = match age {
        _ if recovering => rest / 4,
        _ if age < rest => return None,
        _ if age < 4 * rest => 3 * rest,
        _ => 6 * rest,
    }
    .max(1);
    let seen = weighed.newest.map_or(since, |(_, seen)| seen);
    if !recovering && now - seen < length / 2 {
        return None;
    }
    Some(Slot {
        from: now.div_euclid(length) * length,
        length,
    })
}

/// Who of these makes the trial of a slot, and who where nothing has come of that in half of it: the same two at every
/// member that knows the same ones (highest random weight: Thaler and Ravishankar, IEEE/ACM Transactions on Networking
/// 6, 1998, p. 1).
pub fn chosen(
    process: Process,
    slot: Slot,
    origins: impl Iterator<Item = u64>,
) -> [Option<u64>; 2] {
    let (mut first, mut second) = (None, None);
    for origin in origins {
        let numbers = [
            process.name,
            process.started as u64,
            origin,
            slot.from as u64,
        ];
        let bytes: Vec<u8> = numbers.iter().flat_map(|n| n.to_le_bytes()).collect();
        let drawn = Some((xxhash_rust::xxh3::xxh3_64(&bytes), origin));
        if first.is_none() || drawn < first {
            (first, second) = (drawn, first);
        } else if second.is_none() || drawn < second {
            second = drawn;
        }
    }
    [first, second].map(|drawn| drawn.map(|(_, origin)| origin))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;

    const P: Process = Process {
        name: 1,
        started: 0,
    };
    const W: Weights = Weights {
        bound: 12 * SECOND,
        witnesses: 3,
        rest: SECOND,
    };

    #[test]
    fn one_trial_falls_into_each_slot_and_slots_grow_longer() {
        let resting = Weighed {
            sick: true,
            newest: Some((Sign::Sick, 0)),
            ..Weighed::default()
        };
        let lengths = |weighed: &Weighed| {
            [0, 1, 3, 4, 30]
                .map(|at| slot(at * SECOND, 0, weighed, &W).map(|slot| slot.length / SECOND))
        };
        assert_eq!(lengths(&resting), [None, None, Some(3), Some(6), Some(6)]);
        let served = Weighed {
            newest: Some((Sign::Well, 0)),
            ..resting.clone()
        };
        assert!(slot(0, 0, &served, &W).is_some_and(|slot| slot.length == SECOND / 4));
        let looked = Weighed {
            newest: Some((Sign::Sick, 28 * SECOND)),
            ..resting
        };
        assert_eq!(
            slot(30 * SECOND, 0, &looked, &W),
            None,
            "somebody has just looked"
        );
        let at = |from| Slot {
            from,
            length: SECOND,
        };
        let mut made = [0; 20];
        for from in 0..400 {
            let [first, second] = chosen(P, at(from), 0..20);
            assert_eq!(
                chosen(P, at(from), (0..20).rev()),
                [first, second],
                "each member finds the same"
            );
            assert_ne!(first, second);
            made[first.expect("there is one") as usize] += 1;
        }
        assert!(made.iter().all(|n| (5..45).contains(n)), "{made:?}");
        assert_eq!(chosen(P, at(0), std::iter::once(7)), [Some(7), None]);
    }
}
