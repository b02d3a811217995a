//! Sidecars in simulated time: starts, lists, and the events and actions of their decision modules.

use super::event::SimEvent;
use super::instance::{InFlight, Instance};
use super::{START_US, Simulation};
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

impl Simulation<'_> {
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
                let now = START_US + self.now as Micros + Micros::from(spec.clock_offset_ms) * 1000;
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
            // Members' ticks are not synchronized.
            let first_tick = self.now + self.rng.u64(0..ACTIVE_TICK as Us);
            self.schedule(first_tick, SimEvent::MemberTick { instance: number });
        }
        if let Some(tap) = self.tap.as_deref_mut() {
            tap.started(
                number,
                START_US + self.now as Micros,
                seed,
                &settings.to_string(),
            );
        }
        self.instances.push(Instance {
            sidecar,
            balancer,
            member,
            list_version: 0,
            in_flight: BTreeMap::new(),
            attempt_counts: BTreeMap::new(),
            idle_connections: BTreeMap::new(),
            deferred: None,
            dead: false,
        });
        self.current[sidecar] = Some(number);
        self.update_member_list(number, 0);
        let cached_list = self.listed_endpoints(&self.plan.directory.list_at(0));
        self.notify(number, Event::Endpoints(ListUpdate::Cached(cached_list)));
        self.update_list(sidecar);
    }

    pub(super) fn update_member_list(&mut self, instance: usize, list_version: usize) {
        if self.instances[instance].member.is_none() {
            return;
        }
        let to_observed = |l: ListedEndpoint| ObservedEndpoint {
            endpoint: l.endpoint,
            name: self.plan.servers[l.endpoint].name.clone(),
            started: l.started,
            ready: l.status == EndpointStatus::Ready,
        };
        let list = self
            .listed_endpoints(&self.plan.directory.list_at(list_version))
            .into_iter()
            .map(to_observed)
            .collect();
        self.update_member(instance, |core, now| core.set_endpoints(now, list));
    }

    pub(super) fn listed_endpoints(&self, entries: &[(usize, State)]) -> Vec<ListedEndpoint> {
        let listing = |(server, state): &(usize, State)| {
            let spec = &self.plan.servers[*server];
            let (status, started) = match state {
                State::Active { since } => (
                    EndpointStatus::Ready,
                    since.map(|at| START_US + at as Micros),
                ),
                State::Leaving => (EndpointStatus::Draining, None),
                State::Left => (EndpointStatus::Removed, None),
            };
            ListedEndpoint {
                endpoint: *server,
                zone: Some(spec.zone),
                cell: spec.group as u64,
                kind: Some(spec.kind),
                status,
                size: listing::listed_weight(spec),
                started,
                alias: *server as u64,
            }
        };
        entries.iter().map(listing).collect()
    }

    pub(super) fn update_list(&mut self, sidecar: usize) {
        let lag = self.plan.sidecars[sidecar].list_lag;
        let version = self.plan.directory.version_at(self.now, lag);
        if let Some(number) = self.current[sidecar]
            && self.instances[number].list_version < version
        {
            let entries = self
                .plan
                .directory
                .changes_between(self.instances[number].list_version, version);
            self.instances[number].list_version = version;
            for (server, state) in &entries {
                self.record_event(Seen::PlatformConfig {
                    sidecar,
                    server: *server,
                    state: *state,
                });
                if !matches!(state, State::Active { .. }) {
                    self.instances[number].idle_connections.remove(server);
                }
            }
            let changes = self.listed_endpoints(&entries);
            self.update_member_list(number, version);
            self.notify_if_running(number, Event::Endpoints(ListUpdate::Delta(changes)));
        }
        if let Some(next) = self.plan.directory.next_change_at(version, lag) {
            self.schedule(next, SimEvent::ListUpdate(sidecar));
        }
    }

    /// Passes an event to a module, and performs its actions.
    pub(super) fn notify(&mut self, instance: usize, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            let now = START_US + self.now as Micros;
            let observed_event = self.tap.as_ref().map(|_| event.clone());
            self.instances[instance]
                .balancer
                .handle(now, event, &mut actions);
            if let (Some(tap), Some(event)) = (self.tap.as_deref_mut(), observed_event) {
                tap.handled(instance, now, &event, &actions);
            }
            for action in actions.drain(..) {
                match action {
                    Action::Send {
                        request,
                        endpoint,
                        timeout,
                        ..
                    } => self.start_attempt(instance, request, endpoint, timeout),
                    Action::Reject {
                        request,
                        retry_after,
                    } => self.answer_client(request, 503, retry_after),
                    Action::Fail(request) => self.answer_client(request, 502, 0),
                    Action::Cancel { request, attempt } => {
                        if let Some(attempt_in_flight) = self.instances[instance]
                            .in_flight
                            .remove(&(request, attempt))
                        {
                            events.push_back(self.attempt_end(
                                request,
                                attempt,
                                &attempt_in_flight,
                                Outcome::Cancelled,
                            ));
                        }
                    }
                    Action::SetTimer { after, token } => {
                        self.schedule(
                            self.now + after.max(0) as Us,
                            SimEvent::Timer { instance, token },
                        );
                    }
                    Action::CloseIdle(endpoint) => {
                        drop(self.instances[instance].idle_connections.remove(&endpoint))
                    }
                    Action::ReportHealth { endpoint, served } => {
                        let health = if served {
                            ObservedHealth::Healthy
                        } else {
                            ObservedHealth::Unhealthy
                        };
                        let ejections = self
                            .with_member(instance, |core, now| core.observe(now, endpoint, health));
                        if !ejections.is_empty() {
                            events.push_back(Event::Ejections(ejections));
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

    pub(super) fn attempt_end(
        &self,
        request: RequestId,
        attempt: AttemptIndex,
        attempt_in_flight: &InFlight,
        outcome: Outcome,
    ) -> Event {
        Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            endpoint: attempt_in_flight.server,
            outcome,
            elapsed: (self.now - attempt_in_flight.sent_at) as Micros,
            request_answered: !self.open.contains_key(&request),
            load: LoadReport::default(),
        })
    }
}
