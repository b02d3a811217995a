//! Sidecars in simulated time: starts, lists, and the events and actions of their decision modules.

use super::event::What;
use super::instance::{Instance, Out};
use super::{EPOCH, Sim};
use crate::Us;
use crate::directory::State;
use crate::listing;
use crate::record::Seen;
use crate::site;
use load_balancer::settings::decode;
use load_balancer::{
    Action, AttemptEnd, AttemptIndex, Balancer, EndpointStatus, Event, ListUpdate, ListedEndpoint,
    LoadReport, Micros, Outcome, RequestId, SharingOptions,
};
use load_balancer_gossip::core::{ACTIVE_TICK, Core, ObservedEndpoint};
use load_balancer_gossip::observation_table::ObservedHealth;
use std::collections::{BTreeMap, VecDeque};

impl Sim<'_> {
    pub(super) fn start(&mut self, sidecar: usize) {
        let settings = site::settings(
            self.plan.sidecars.len(),
            sidecar,
            self.plan.sidecars[sidecar].zone,
        );
        let number = self.instances.len();
        let seed = self.plan.seed.wrapping_add((number as u64) << 20);
        let decoded = decode(&settings.to_string()).ok();
        let Some(mut balancer) = decoded.and_then(|d| Balancer::new(d.settings, seed).ok()) else {
            return;
        };
        let member = self
            .sections
            .get(sidecar)
            .filter(|section| section.enabled)
            .map(|section| {
                let affinity_slack = if section.affinity.enabled {
                    section.affinity.max_ahead
                } else {
                    0.0
                };
                balancer.set_sharing(SharingOptions {
                    peer_health: section.ejection.enabled,
                    affinity_slack,
                });
                let spec = &self.plan.sidecars[sidecar];
                let now = EPOCH + self.now as Micros + Micros::from(spec.clock_offset_ms) * 1000;
                let (name, zone) = (
                    format!("n{sidecar}"),
                    site::ZONES[spec.zone % site::ZONES.len()],
                );
                Box::new(Core::new(
                    section,
                    &name,
                    zone,
                    now.unsigned_abs(),
                    seed,
                    now,
                ))
            });
        if member.is_some() {
            // Members' clocks do not beat together.
            let beat = self.now + self.rng.u64(0..ACTIVE_TICK as Us);
            self.at(beat, What::Beat { instance: number });
        }
        if let Some(tap) = self.tap.as_deref_mut() {
            tap.started(
                number,
                EPOCH + self.now as Micros,
                seed,
                &settings.to_string(),
            );
        }
        self.instances.push(Instance {
            sidecar,
            balancer,
            member,
            heard: 0,
            out: BTreeMap::new(),
            sends: BTreeMap::new(),
            idle: BTreeMap::new(),
            frozen: None,
            dead: false,
        });
        self.current[sidecar] = Some(number);
        self.list_for_member(number, 0);
        let known = self.listings(&self.plan.directory.whole(0));
        self.tell(number, Event::Endpoints(ListUpdate::Cached(known)));
        self.listed(sidecar);
    }

    pub(super) fn list_for_member(&mut self, instance: usize, heard: usize) {
        if self.instances[instance].member.is_none() {
            return;
        }
        let listed = |l: ListedEndpoint| ObservedEndpoint {
            endpoint: l.endpoint,
            name: self.plan.servers[l.endpoint].name.clone(),
            started: l.started,
            ready: l.status == EndpointStatus::Ready,
        };
        let list = self
            .listings(&self.plan.directory.whole(heard))
            .into_iter()
            .map(listed)
            .collect();
        self.member(instance, |core, now| core.set_endpoints(now, list));
    }

    pub(super) fn listings(&self, entries: &[(usize, State)]) -> Vec<ListedEndpoint> {
        let listing = |(server, state): &(usize, State)| {
            let spec = &self.plan.servers[*server];
            let (status, started) = match state {
                State::Active { since } => {
                    (EndpointStatus::Ready, since.map(|at| EPOCH + at as Micros))
                }
                State::Leaving => (EndpointStatus::Draining, None),
                State::Left => (EndpointStatus::Removed, None),
            };
            ListedEndpoint {
                endpoint: *server,
                zone: Some(spec.zone),
                cell: spec.group as u64,
                kind: Some(spec.kind),
                status,
                size: listing::weight(spec),
                started,
                alias: *server as u64,
            }
        };
        entries.iter().map(listing).collect()
    }

    pub(super) fn listed(&mut self, sidecar: usize) {
        let lag = self.plan.sidecars[sidecar].list_lag;
        let heard = self.plan.directory.heard(self.now, lag);
        if let Some(number) = self.current[sidecar]
            && self.instances[number].heard < heard
        {
            let entries = self
                .plan
                .directory
                .between(self.instances[number].heard, heard);
            self.instances[number].heard = heard;
            for (server, state) in &entries {
                self.note(Seen::PlatformConfig {
                    sidecar,
                    server: *server,
                    state: *state,
                });
                if !matches!(state, State::Active { .. }) {
                    self.instances[number].idle.remove(server);
                }
            }
            let listings = self.listings(&entries);
            self.list_for_member(number, heard);
            self.tell_or_wait(number, Event::Endpoints(ListUpdate::Delta(listings)));
        }
        if let Some(next) = self.plan.directory.next(heard, lag) {
            self.at(next, What::List(sidecar));
        }
    }

    /// Tells a module of an event and carries out what it asks for.
    pub(super) fn tell(&mut self, instance: usize, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            let now = EPOCH + self.now as Micros;
            let heard = self.tap.as_ref().map(|_| event.clone());
            self.instances[instance]
                .balancer
                .handle(now, event, &mut actions);
            if let (Some(tap), Some(event)) = (self.tap.as_deref_mut(), heard) {
                tap.told(instance, now, &event, &actions);
            }
            for action in actions.drain(..) {
                match action {
                    Action::Send {
                        request,
                        endpoint,
                        timeout,
                        ..
                    } => self.send(instance, request, endpoint, timeout),
                    Action::Reject {
                        request,
                        retry_after,
                    } => self.answer(request, 503, retry_after),
                    Action::Fail(request) => self.answer(request, 502, 0),
                    Action::Cancel { request, attempt } => {
                        if let Some(out) = self.instances[instance].out.remove(&(request, attempt))
                        {
                            events.push_back(self.end(request, attempt, &out, Outcome::Cancelled));
                        }
                    }
                    Action::SetTimer { after, token } => {
                        self.at(
                            self.now + after.max(0) as Us,
                            What::Timer { instance, token },
                        );
                    }
                    Action::CloseIdle(endpoint) => {
                        drop(self.instances[instance].idle.remove(&endpoint))
                    }
                    Action::ReportHealth { endpoint, served } => {
                        let sign = if served {
                            ObservedHealth::Healthy
                        } else {
                            ObservedHealth::Unhealthy
                        };
                        let words = self
                            .with_member(instance, |core, now| core.observe(now, endpoint, sign));
                        if !words.is_empty() {
                            events.push_back(Event::Ejections(words));
                        }
                    }
                    Action::Probe(_)
                    | Action::Subscribe(_)
                    | Action::FetchList
                    | Action::SendToPeer { .. }
                    | Action::Log(_) => {}
                }
            }
        }
    }

    pub(super) fn end(
        &self,
        request: RequestId,
        attempt: AttemptIndex,
        out: &Out,
        outcome: Outcome,
    ) -> Event {
        Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            endpoint: out.server,
            outcome,
            elapsed: (self.now - out.sent) as Micros,
            request_answered: !self.open.contains_key(&request),
            load: LoadReport::default(),
        })
    }
}
