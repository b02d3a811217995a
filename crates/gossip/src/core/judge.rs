//! This member's ejections: which endpoints are ejected, and which it may try.

use super::{Core, DOUBTED, DOUBTED_LEAST};
use crate::effects::Word;
use crate::evidence::{Datum, Process};
use crate::standing::Trials;
use crate::trial::{Slot, chosen, slot};
use crate::verdict::{Rest, Weighed, weigh};
use crate::{Micros, SECOND};

/// An endpoint that rests by others' word.
pub(super) struct Resting {
    pub(super) process: Process,
    pub(super) since: Micros,
    pub(super) rest: Rest,
    pub(super) until: Micros,
    /// Who makes the trial of that slot.
    chosen: (Slot, [Option<u64>; 2]),
    /// Zones that have found it sick.
    pub(super) zones: Vec<u64>,
}

impl Core {
    pub(super) fn weighed(&self, now: Micros, process: Process, rests: Option<&[u64]>) -> Weighed {
        let doubted = |origin: u64| {
            let sick = self.table.sick_by(origin);
            sick >= DOUBTED_LEAST && sick as f64 > DOUBTED * self.ready as f64
        };
        let counts = |d: &Datum| {
            if d.origin == self.origin {
                return true;
            }
            // Only who is a member now, and in the zone that it speaks for.
            let known = self
                .by_origin
                .get(&d.origin)
                .and_then(|address| self.members.get(address));
            known.is_some_and(|k| k.zone == d.zone)
                && !doubted(d.origin)
                && !self.quarantined(now, d.origin)
        };
        let members = |zone: u64| self.in_zone.get(&zone).copied().unwrap_or(0);
        weigh(
            self.table.of(process),
            now,
            self.zone,
            rests,
            &self.weights,
            counts,
            members,
        )
    }

    /// Looks at an endpoint anew, and tells the module where that changes something.
    pub(super) fn look(&mut self, now: Micros, endpoint: usize) {
        let Some(process) = self.processes.get(&endpoint).copied() else {
            return;
        };
        let was = self.resting.get(&endpoint).filter(|r| r.process == process);
        let weighed = self.weighed(now, process, was.map(|r| r.zones.as_slice()));
        let most = (self.most_out * self.ready as f64) as usize;
        if !weighed.sick || weighed.until <= now || (was.is_none() && self.resting.len() >= most) {
            if was.is_some() {
                self.resting.remove(&endpoint);
                let rest = if weighed.served { Rest::Over } else { Rest::No };
                self.effects.words.push(Word {
                    endpoint,
                    rest,
                    until: now + self.weights.rest,
                });
            }
            return;
        }
        let since = was.map_or(now, |r| r.since);
        let slot = slot(now, since, &weighed, &self.weights);
        let none = (Slot { from: 0, length: 0 }, [None; 2]);
        let chosen = match (slot, was) {
            (None, was) => was.map_or(none, |r| r.chosen),
            (Some(slot), Some(r)) if r.chosen.0 == slot => r.chosen,
            (Some(slot), _) => {
                let others = self
                    .members
                    .values()
                    .filter(|k| {
                        weighed.zones.contains(&k.zone) && self.tries(now, k.origin, k.zone)
                    })
                    .map(|k| k.origin);
                (
                    slot,
                    chosen(process, slot, others.chain(std::iter::once(self.origin))),
                )
            }
        };
        let trial = slot.is_some_and(|slot| {
            // The second one comes in where nothing was heard of the first.
            let late = now >= slot.from + slot.length / 2;
            let untried = weighed.newest.is_none_or(|(_, seen)| seen < slot.from);
            let mine = |n: usize| chosen.1[n] == Some(self.origin);
            let own = self.own.get(&process).map_or(Micros::MIN, |own| own.at);
            self.standing().kind.may().trials != Trials::None
                && own < slot.from
                && untried
                && (mine(0) || (late && mine(1)))
        });
        let rest = if trial { Rest::Trial } else { Rest::Yes };
        let until = weighed.until;
        let changed = was.is_none_or(|r| r.rest != rest || until - r.until >= self.weights.rest);
        if changed {
            self.counts.rests += u64::from(was.is_none());
            self.counts.trials += u64::from(trial);
            self.effects.words.push(Word {
                endpoint,
                rest,
                until,
            });
            let zones = weighed.zones;
            self.wake(now);
            self.resting.insert(
                endpoint,
                Resting {
                    process,
                    since,
                    rest,
                    until,
                    chosen,
                    zones,
                },
            );
        } else if let Some(r) = self.resting.get_mut(&endpoint) {
            r.chosen = chosen;
        }
    }

    /// Looks at all that rest, as their trials have their times; and, once a second, at all of which something is known:
    /// what is new was looked at when it came, and age alone only ends what rests.
    pub(super) fn look_at_all(&mut self, now: Micros) {
        let mut looked: Vec<usize> = self.resting.keys().copied().collect();
        if now >= self.next_sweep {
            self.next_sweep = now + SECOND;
            self.table.drop_before(now - self.weights.bound);
            looked.extend(
                self.table
                    .processes()
                    .filter_map(|p| self.listed.get(&p.name))
                    .map(|l| l.endpoint),
            );
            looked.sort_unstable();
            looked.dedup();
        }
        for endpoint in looked {
            self.look(now, endpoint);
        }
    }
}
