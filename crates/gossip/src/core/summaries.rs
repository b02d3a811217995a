//! Summary of a member's state for status pages.

use super::Core;
use crate::effects::Counts;
use crate::frame::DROP_REASONS;
use crate::health_status::EjectionStatus;
use crate::member::Member;
use crate::summary::{EjectionSummary, MemberSummary, MembershipSummary, ObservationSummary};
use crate::{Micros, SECOND};

impl Core {
    /// Returns the number of running members other than this one.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// Returns counters since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns the ejected endpoints.
    pub fn ejected(&self) -> impl Iterator<Item = usize> {
        self.ejected.keys().copied()
    }

    /// Returns the summary for on-call engineers.
    pub fn summary(&self, now: Micros) -> MembershipSummary {
        let seconds = |us: Micros| (us as f64 / SECOND as f64 * 1000.0).round() / 1000.0;
        let member_name = |origin: u64| match self
            .addresses_by_origin
            .get(&origin)
            .and_then(|a| self.members.get(a))
        {
            Some(known) => known.member.name.clone(),
            None if origin == self.origin => self.identity.name.clone(),
            None => format!("{origin:016x}"),
        };
        let member_summary = |member: &Member, since: Option<Micros>| MemberSummary {
            name: member.name.clone(),
            zone: member.zone.clone(),
            address: member.address,
            incarnation: member.incarnation,
            known_for_s: since.map(|since| seconds(now - since)),
        };
        let ejections = self.ejected.iter().filter_map(|(endpoint, r)| {
            let listed = self
                .endpoints_by_name
                .values()
                .find(|l| l.endpoint == *endpoint)?;
            let observations = self
                .table
                .observations_of(r.process)
                .flat_map(|(_, data)| data);
            Some(EjectionSummary {
                endpoint: listed.name.clone(),
                trial: r.status == EjectionStatus::TrialDue,
                ejected_for_s: seconds(now - r.since),
                expires_in_s: seconds(r.expires - now),
                observations: observations
                    .map(|d| ObservationSummary {
                        member: member_name(d.origin),
                        health: d.health,
                        age_s: seconds(now - d.seen),
                    })
                    .collect(),
            })
        });
        MembershipSummary {
            cluster: self.cluster.clone(),
            me: member_summary(&self.identity, None),
            doubts_itself: self.is_self_doubting(now),
            connectivity: self.connectivity().clone(),
            cut: self
                .connectivity()
                .unreachable_zones
                .iter()
                .map(|(zone, direction)| (self.zone_name(*zone), *direction))
                .collect(),
            membership: self.membership_entries(now),
            members: self
                .members
                .values()
                .map(|k| member_summary(&k.member, Some(k.known_since)))
                .collect(),
            ejections: ejections.collect(),
            observations: self.table.len(),
            dropped: DROP_REASONS
                .iter()
                .map(|why| why.label())
                .zip(self.counts.dropped)
                .collect(),
            counts: self.counts.clone(),
        }
    }
}
