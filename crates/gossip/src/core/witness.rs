//! This member's own health observations, and those it receives.

use super::{Core, DOUBTED, DOUBTED_LEAST};
use crate::effects::{Listed, Word};
use crate::evidence::{Datum, Merged, Process, Sign};
use crate::frame::Dropped;
use crate::verdict::Rest;
use crate::{Micros, hash};

/// Evidence that a member gives on its own, a second and at once.
const OWN_RATE: f64 = 20.0;
pub(super) const OWN_BURST: f64 = 40.0;
/// Data of one sign from one zone from which on a further one is not passed on: a verdict needs no more.
const ENOUGH: usize = 4;
/// Endpoints that are followed at most.
pub(super) const MOST_ENDPOINTS: usize = 4096;

/// What this member saw last of an endpoint process, and what it said of it last.
pub(super) struct Own {
    pub(super) sign: Sign,
    pub(super) at: Micros,
    pub(super) said: Option<(Sign, Micros)>,
    /// When it last served this member.
    pub(super) served: Option<Micros>,
}

impl Core {
    /// The own list as it is now: others' word counts only for what it names.
    pub fn listed(&mut self, now: Micros, list: Vec<Listed>) {
        self.listed.clear();
        self.processes.clear();
        self.ready = list.iter().filter(|l| l.ready).count();
        for entry in list.into_iter().take(MOST_ENDPOINTS) {
            let name = hash(&entry.name);
            self.processes.insert(
                entry.endpoint,
                Process {
                    name,
                    started: entry.started.unwrap_or(0),
                },
            );
            self.listed.insert(name, entry);
        }
        let processes = &self.processes;
        self.own
            .retain(|process, _| processes.values().any(|p| p == process));
        let gone: Vec<usize> = self
            .resting
            .iter()
            .filter(|(endpoint, r)| self.processes.get(endpoint) != Some(&r.process))
            .map(|(endpoint, _)| *endpoint)
            .collect();
        for endpoint in gone {
            self.resting.remove(&endpoint);
            self.effects.words.push(Word {
                endpoint,
                rest: Rest::No,
                until: now,
            });
        }
    }

    /// This member was served by an endpoint, or was not.
    pub fn witness(&mut self, now: Micros, endpoint: usize, sign: Sign) {
        let Some(process) = self
            .processes
            .get(&endpoint)
            .copied()
            .filter(|_| self.verdicts)
        else {
            return;
        };
        if now < self.overslept_until {
            return;
        }
        let own = self.own.entry(process).or_insert(Own {
            sign,
            at: now,
            said: None,
            served: None,
        });
        (own.sign, own.at) = (sign, now);
        if sign == Sign::Well {
            own.served = Some(now);
        }
        let said = own
            .said
            .is_some_and(|(what, at)| what == sign && now - at < self.weights.rest);
        let resting = self.resting.contains_key(&endpoint);
        let fresh = |d: &&Datum| now - d.seen < self.weights.bound;
        let zone = self.zone;
        let alike = |sign: Sign| {
            let here = self.table.of(process).filter(|(of, _)| *of == zone);
            here.flat_map(|(_, data)| data)
                .filter(fresh)
                .filter(|d| d.sign == sign)
                .count()
        };
        let worth_saying = match sign {
            Sign::Sick => resting || alike(Sign::Sick) <= ENOUGH,
            // Nobody doubts it where nobody found it sick, and two who were served since are enough.
            Sign::Well => {
                let here = || {
                    let here = self
                        .table
                        .of(process)
                        .filter(|(of, _)| *of == zone || resting);
                    here.flat_map(|(_, data)| data).filter(fresh)
                };
                let sick = here()
                    .filter(|d| d.sign == Sign::Sick)
                    .map(|d| d.seen)
                    .max();
                sick.is_some_and(|sick| {
                    here()
                        .filter(|d| d.sign == Sign::Well && d.seen > sick)
                        .count()
                        < 2
                })
            }
        };
        if said
            || !worth_saying
            || !self.says()
            || (sign == Sign::Sick && self.doubts_itself(now))
            || !self.tokens.take(now, OWN_RATE, OWN_BURST)
        {
            return self.look(now, endpoint);
        }
        if let Some(own) = self.own.get_mut(&process) {
            own.said = Some((sign, now));
        }
        self.sequence += 1;
        self.counts.said += 1;
        let datum = Datum {
            origin: self.origin,
            incarnation: self.me.incarnation,
            sequence: self.sequence,
            zone: self.zone,
            seen: now,
            process,
            sign,
        };
        self.table.merge(datum);
        self.pass_on(now, datum);
        self.look(now, endpoint);
    }

    /// It finds most of what it has tried of late sick: likely the fault lies with itself.
    pub(super) fn doubts_itself(&self, now: Micros) -> bool {
        let fresh = || {
            self.own
                .values()
                .filter(|own| now - own.at < self.weights.bound)
        };
        let sick = fresh().filter(|own| own.sign == Sign::Sick).count();
        sick >= DOUBTED_LEAST && sick as f64 > DOUBTED * fresh().count() as f64
    }

    pub(super) fn heard(&mut self, now: Micros, datum: Datum) {
        if datum.origin == self.origin {
            // What an earlier life saw is as good as another's.
            if datum.incarnation >= self.me.incarnation && datum.sequence > self.sequence {
                self.drop_one(Dropped::Forged);
            }
            return;
        }
        if datum.seen > now + self.skew {
            return self.drop_one(Dropped::Clock);
        }
        if now - datum.seen >= self.weights.bound {
            return self.drop_one(Dropped::Stale);
        }
        let Some((endpoint, started)) = self
            .listed
            .get(&datum.process.name)
            .map(|l| (l.endpoint, l.started.unwrap_or(0)))
        else {
            return self.drop_one(Dropped::Unlisted);
        };
        if datum.process.started < started {
            return self.drop_one(Dropped::Unlisted);
        }
        match self.table.merge(datum) {
            Merged::New { alike } => {
                self.counts.heard += 1;
                if alike < ENOUGH {
                    self.pass_on(now, datum);
                }
                self.look(now, endpoint);
            }
            Merged::Known => {}
            Merged::Full => self.drop_one(Dropped::Full),
        }
    }
}
