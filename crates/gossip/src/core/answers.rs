//! What a member answers about other members and servers over HTTP.

use super::Core;
use crate::effects::Listed;
use crate::membership_table::Departure;
use crate::observation_table::{ObservedHealth, Process};
use crate::summary::{MembershipEntrySummary, Server, Servers, State};
use crate::{Micros, SECOND, hash};

impl Core {
    /// All who are known, by name, and seeds of which nobody was heard.
    pub(super) fn membership_entries(&self, now: Micros) -> Vec<MembershipEntrySummary> {
        let seconds = |us: Micros| (us as f64 / SECOND as f64 * 1000.0).round() / 1000.0;
        let known = self
            .membership
            .entries()
            .map(|(_, e)| MembershipEntrySummary {
                name: e.member.name.clone(),
                zone: e.member.zone.clone(),
                address: e.member.address,
                incarnation: e.member.incarnation,
                version: e.version.clone(),
                left: e.left.map(|(left, _)| left),
                for_s: Some(seconds(now - e.left.map_or(e.since, |(_, at)| at))),
                twice: e
                    .twice
                    .filter(|(_, _, sure)| *sure)
                    .map(|(other, ..)| other),
                quarantined_for_s: e
                    .quarantined
                    .filter(|until| *until > now)
                    .map(|until| seconds(until - now)),
            });
        let mut all: Vec<_> = known.collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        let unseen = |seed: &&std::net::SocketAddr| !all.iter().any(|e| e.address == **seed);
        let unseen: Vec<_> = self.seeds.iter().filter(unseen).copied().collect();
        all.extend(unseen.into_iter().map(|address| MembershipEntrySummary {
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
        all
    }

    /// What it may tell the coordinator of the endpoints of its list.
    pub fn servers(&self, now: Micros) -> Servers {
        let mut listed: Vec<&Listed> = self.listed.values().collect();
        listed.sort_by(|a, b| a.name.cmp(&b.name));
        Servers {
            member: self.me.name.clone(),
            incarnation: self.me.incarnation,
            zone: self.me.zone.clone(),
            connectivity: self.connectivity().kind.page_name(),
            answers: self.connectivity().answers(),
            servers: listed.into_iter().map(|l| self.server(now, l)).collect(),
        }
    }

    fn server(&self, now: Micros, l: &Listed) -> Server {
        let process = Process {
            name: hash(&l.name),
            started: l.started.unwrap_or(0),
        };
        let rests = self
            .ejected
            .get(&l.endpoint)
            .filter(|r| r.process == process);
        let status = self.health_status(now, process, rests.map(|r| r.zones.as_slice()));
        let fresh = |at: &Micros| now - *at < self.policy.max_staleness;
        let data = || self.table.of(process).flat_map(|(_, data)| data);
        let newest = |health: ObservedHealth| {
            data()
                .filter(|d| d.health == health)
                .map(|d| d.seen)
                .filter(fresh)
                .max()
        };
        let own = self.own.get(&process);
        let served = own
            .and_then(|o| o.served)
            .filter(fresh)
            .max(newest(ObservedHealth::Healthy));
        let failed = own
            .filter(|o| o.health == ObservedHealth::Unhealthy)
            .map(|o| o.at)
            .filter(fresh)
            .max(newest(ObservedHealth::Unhealthy));
        let (state, seen) = match (served, failed) {
            _ if status.unhealthy && status.until > now => (State::Unhealthy, failed),
            // One that only this member finds sick is neither.
            (Some(served), failed) if failed.is_none_or(|at| at < served) => {
                (State::Healthy, Some(served))
            }
            _ => (State::Unknown, None),
        };
        let since = seen.unwrap_or(self.began);
        Server {
            name: l.name.clone(),
            started_ms: process.started / 1000,
            state,
            age_ms: ((now - since) / 1000).max(0),
        }
    }
}
