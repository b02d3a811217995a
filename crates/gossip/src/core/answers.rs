//! What a member answers about other members and servers over HTTP.

use super::Core;
use crate::census::{RosterCensus, Server, Servers, State};
use crate::effects::Listed;
use crate::evidence::{Process, Sign};
use crate::roster::Left;
use crate::{Micros, SECOND, hash};

impl Core {
    /// All who are known, by name, and seeds of which nobody was heard.
    pub(super) fn roster_census(&self, now: Micros) -> Vec<RosterCensus> {
        let seconds = |us: Micros| (us as f64 / SECOND as f64 * 1000.0).round() / 1000.0;
        let known = self.roster.entries().map(|(_, e)| RosterCensus {
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
        all.extend(unseen.into_iter().map(|address| RosterCensus {
            name: String::new(),
            zone: String::new(),
            address,
            incarnation: 0,
            version: None,
            left: Some(Left::NeverSeen),
            for_s: None,
            twice: None,
            quarantined_for_s: None,
        }));
        all
    }

    /// What it may tell the steward of the endpoints of its list.
    pub fn servers(&self, now: Micros) -> Servers {
        let mut listed: Vec<&Listed> = self.listed.values().collect();
        listed.sort_by(|a, b| a.name.cmp(&b.name));
        Servers {
            member: self.me.name.clone(),
            incarnation: self.me.incarnation,
            zone: self.me.zone.clone(),
            standing: self.standing().kind.word(),
            answers: self.standing().answers(),
            servers: listed.into_iter().map(|l| self.server(now, l)).collect(),
        }
    }

    fn server(&self, now: Micros, l: &Listed) -> Server {
        let process = Process {
            name: hash(&l.name),
            started: l.started.unwrap_or(0),
        };
        let rests = self
            .resting
            .get(&l.endpoint)
            .filter(|r| r.process == process);
        let weighed = self.weighed(now, process, rests.map(|r| r.zones.as_slice()));
        let fresh = |at: &Micros| now - *at < self.weights.bound;
        let data = || self.table.of(process).flat_map(|(_, data)| data);
        let newest = |sign: Sign| {
            data()
                .filter(|d| d.sign == sign)
                .map(|d| d.seen)
                .filter(fresh)
                .max()
        };
        let own = self.own.get(&process);
        let served = own
            .and_then(|o| o.served)
            .filter(fresh)
            .max(newest(Sign::Well));
        let failed = own
            .filter(|o| o.sign == Sign::Sick)
            .map(|o| o.at)
            .filter(fresh)
            .max(newest(Sign::Sick));
        let (state, seen) = match (served, failed) {
            _ if weighed.sick && weighed.until > now => (State::Sick, failed),
            // One that only this member finds sick is neither.
            (Some(served), failed) if failed.is_none_or(|at| at < served) => {
                (State::Well, Some(served))
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
