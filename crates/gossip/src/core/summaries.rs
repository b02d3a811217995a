//! The figures of a member for people.

use super::Core;
use crate::effects::Counts;
use crate::frame::REASONS;
use crate::health_status::EjectionStatus;
use crate::member::Member;
use crate::summary::{EjectionSummary, MemberSummary, MembershipSummary, ObservationSummary};
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

    /// Endpoints that are ejected.
    pub fn ejected(&self) -> impl Iterator<Item = usize> {
        self.ejected.keys().copied()
    }

    /// All that on-call wants to see.
    pub fn summary(&self, now: Micros) -> MembershipSummary {
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
        let member = |member: &Member, since: Option<Micros>| MemberSummary {
            name: member.name.clone(),
            zone: member.zone.clone(),
            address: member.address,
            incarnation: member.incarnation,
            known_for_s: since.map(|since| seconds(now - since)),
        };
        let ejections = self.ejected.iter().filter_map(|(endpoint, r)| {
            let listed = self.listed.values().find(|l| l.endpoint == *endpoint)?;
            let observations = self.table.of(r.process).flat_map(|(_, data)| data);
            Some(EjectionSummary {
                endpoint: listed.name.clone(),
                trial: r.status == EjectionStatus::TrialDue,
                ejected_for_s: seconds(now - r.since),
                expires_in_s: seconds(r.expires - now),
                observations: observations
                    .map(|d| ObservationSummary {
                        member: name_of(d.origin),
                        health: d.health,
                        age_s: seconds(now - d.seen),
                    })
                    .collect(),
            })
        });
        MembershipSummary {
            cluster: self.cluster.clone(),
            me: member(&self.me, None),
            doubts_itself: self.doubts_itself(now),
            connectivity: self.connectivity().clone(),
            cut: self
                .connectivity()
                .cut
                .iter()
                .map(|(zone, direction)| (self.zone_name(*zone), *direction))
                .collect(),
            membership: self.membership_entries(now),
            members: self
                .members
                .values()
                .map(|k| member(&k.member, Some(k.since)))
                .collect(),
            ejections: ejections.collect(),
            observations: self.table.len(),
            dropped: REASONS
                .iter()
                .map(|why| why.word())
                .zip(self.counts.dropped)
                .collect(),
            counts: self.counts.clone(),
        }
    }
}
