//! Answers over HTTP about other members and servers.

use super::Core;
use crate::effects::ObservedEndpoint;
use crate::membership_table::Departure;
use crate::observation_table::{ObservedHealth, Process};
use crate::summary::{MembershipEntrySummary, ServerHealth, ServerReport, ServerReports};
use crate::{Micros, SECOND, hash};

impl Core {
    /// Returns all known members by name, followed by the seeds that were never heard of.
    pub(super) fn membership_entries(&self, now: Micros) -> Vec<MembershipEntrySummary> {
        let seconds = |us: Micros| (us as f64 / SECOND as f64 * 1000.0).round() / 1000.0;
        let known_members = self
            .membership
            .entries()
            .map(|(_, e)| MembershipEntrySummary {
                name: e.member.name.clone(),
                zone: e.member.zone.clone(),
                address: e.member.address,
                incarnation: e.member.incarnation,
                version: e.version.clone(),
                left: e.departure.map(|(left, _)| left),
                for_s: Some(seconds(
                    now - e.departure.map_or(e.running_since, |(_, at)| at),
                )),
                twice: e
                    .duplicate
                    .filter(|(_, _, sure)| *sure)
                    .map(|(other, ..)| other),
                quarantined_for_s: e
                    .quarantined_until
                    .filter(|until| *until > now)
                    .map(|until| seconds(until - now)),
            });
        let mut entries: Vec<_> = known_members.collect();
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        let is_unseen = |seed: &&std::net::SocketAddr| !entries.iter().any(|e| e.address == **seed);
        let unseen: Vec<_> = self.seeds.iter().filter(is_unseen).copied().collect();
        entries.extend(unseen.into_iter().map(|address| MembershipEntrySummary {
            name: String::new(),
            zone: String::new(),
            address,
            incarnation: 0,
            version: None,
            left: Some(Departure::NeverSeen),
            for_s: None,
            twice: None,
            quarantined_for_s: None,
        }));
        entries
    }

    /// Returns what this member may report to the coordinator about its endpoints.
    pub fn server_reports(&self, now: Micros) -> ServerReports {
        let mut listed: Vec<&ObservedEndpoint> = self.endpoints_by_name.values().collect();
        listed.sort_by(|a, b| a.name.cmp(&b.name));
        ServerReports {
            member: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            zone: self.identity.zone.clone(),
            connectivity: self.connectivity().state.page_name(),
            answers: self.connectivity().may_answer_coordinator(),
            servers: listed
                .into_iter()
                .map(|l| self.server_report(now, l))
                .collect(),
        }
    }

    fn server_report(&self, now: Micros, listed: &ObservedEndpoint) -> ServerReport {
        let process = Process {
            name: hash(&listed.name),
            started: listed.started.unwrap_or(0),
        };
        let ejection = self
            .ejected
            .get(&listed.endpoint)
            .filter(|r| r.process == process);
        let status = self.health_status(now, process, ejection.map(|r| r.zones.as_slice()));
        let fresh = |at: &Micros| now - *at < self.policy.max_staleness;
        let observations = || {
            self.table
                .observations_of(process)
                .flat_map(|(_, data)| data)
        };
        let newest = |health: ObservedHealth| {
            observations()
                .filter(|d| d.health == health)
                .map(|d| d.seen)
                .filter(fresh)
                .max()
        };
        let own = self.own_observations.get(&process);
        let served = own
            .and_then(|o| o.last_served)
            .filter(fresh)
            .max(newest(ObservedHealth::Healthy));
        let failed = own
            .filter(|o| o.health == ObservedHealth::Unhealthy)
            .map(|o| o.observed_at)
            .filter(fresh)
            .max(newest(ObservedHealth::Unhealthy));
        let (state, seen) = match (served, failed) {
            _ if status.unhealthy && status.until > now => (ServerHealth::Unhealthy, failed),
            // If only this member finds the endpoint unhealthy, its state is unknown.
            (Some(served), failed) if failed.is_none_or(|at| at < served) => {
                (ServerHealth::Healthy, Some(served))
            }
            _ => (ServerHealth::Unknown, None),
        };
        let last_seen = seen.unwrap_or(self.started_at);
        ServerReport {
            name: listed.name.clone(),
            started_ms: process.started / 1000,
            state,
            age_ms: ((now - last_seen) / 1000).max(0),
        }
    }
}
