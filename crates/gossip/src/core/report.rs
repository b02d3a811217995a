//! The figures of a member for people.

use super::Core;
use crate::census::{Census, EvidenceCensus, MemberCensus, RestCensus};
use crate::effects::Counts;
use crate::frame::REASONS;
use crate::member::Member;
use crate::verdict::Rest;
use crate::{Micros, SECOND};

impl Core {
    /// Members that are known to run, this one not counted.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// What it has done so far.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Endpoints that rest by others' word.
    pub fn resting(&self) -> impl Iterator<Item = usize> {
        self.resting.keys().copied()
    }

    /// All that on-call wants to see.
    pub fn census(&self, now: Micros) -> Census {
        let seconds = |us: Micros| (us as f64 / SECOND as f64 * 1000.0).round() / 1000.0;
        let name_of = |origin: u64| match self
            .by_origin
            .get(&origin)
            .and_then(|a| self.members.get(a))
        {
            Some(known) => known.member.name.clone(),
            None if origin == self.origin => self.me.name.clone(),
            None => format!("{origin:016x}"),
        };
        let member = |member: &Member, since: Option<Micros>| MemberCensus {
            name: member.name.clone(),
            zone: member.zone.clone(),
            address: member.address,
            incarnation: member.incarnation,
            known_for_s: since.map(|since| seconds(now - since)),
        };
        let rests = self.resting.iter().filter_map(|(endpoint, r)| {
            let listed = self.listed.values().find(|l| l.endpoint == *endpoint)?;
            let witnesses = self.table.of(r.process).flat_map(|(_, data)| data);
            Some(RestCensus {
                endpoint: listed.name.clone(),
                trial: r.rest == Rest::Trial,
                rests_for_s: seconds(now - r.since),
                lapses_in_s: seconds(r.until - now),
                evidence: witnesses
                    .map(|d| EvidenceCensus {
                        member: name_of(d.origin),
                        sign: d.sign,
                        age_s: seconds(now - d.seen),
                    })
                    .collect(),
            })
        });
        Census {
            cluster: self.cluster.clone(),
            me: member(&self.me, None),
            doubts_itself: self.doubts_itself(now),
            standing: self.standing().clone(),
            cut: self
                .standing()
                .cut
                .iter()
                .map(|(zone, way)| (self.zone_name(*zone), *way))
                .collect(),
            roster: self.roster_census(now),
            members: self
                .members
                .values()
                .map(|k| member(&k.member, Some(k.since)))
                .collect(),
            rests: rests.collect(),
            evidence: self.table.len(),
            dropped: REASONS
                .iter()
                .map(|why| why.word())
                .zip(self.counts.dropped)
                .collect(),
            counts: self.counts.clone(),
        }
    }
}
