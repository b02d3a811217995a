//! Hosts this sidecar's gossip member: the list and health observations go in, ejections come out.

use crate::affinity::{AffinityHost, AffinityPick};
use crate::clock::Clock;
use crate::messages::{Input, InputSender};
use crate::report::say;
use load_balancer::{
    EjectionStatus, EjectionUpdate, EndpointId, EndpointStatus, ListedEndpoint, SharingOptions,
};
use load_balancer_common::cli;
use load_balancer_gossip::core::{MembershipSummary, ObservedEndpoint};
use load_balancer_gossip::effects::Note;
use load_balancer_gossip::observation_table::ObservedHealth;
use load_balancer_gossip::section::FleetSection;
use load_balancer_gossip::summary::ServerReports;
use load_balancer_gossip::{hash, health_status, udp};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Membership in the fleet.
#[derive(Clone)]
pub struct Fleet {
    member: udp::GossipHandle,
    list: Rc<RefCell<BTreeMap<EndpointId, (ObservedEndpoint, String)>>>,
    sharing: SharingOptions,
    affinity: Option<AffinityHost>,
}

impl Fleet {
    /// Joins the fleet under that name.
    pub fn join(
        section: &FleetSection,
        name: &str,
        zone: &str,
        inputs: &InputSender,
        clock: Clock,
        incarnation: Option<u64>,
    ) -> io::Result<Self> {
        let ejection_inputs = inputs.clone();
        let on_ejections = Rc::new(
            move |updates: Vec<load_balancer_gossip::core::EjectionUpdate>| {
                ejection_inputs.send(Input::Ejections(
                    updates.into_iter().map(to_ejection).collect(),
                ));
            },
        );
        let member = udp::GossipHandle::bind(
            section,
            name,
            zone,
            Rc::new(move || clock.now()),
            on_ejections,
            incarnation,
        )?;
        member.set_version(cli::VERSION);
        member.set_note_handler(Rc::new(|note| log_note(&note)));
        spawn_local(member.clone().run());
        let affinity_slack = if section.affinity.enabled {
            section.affinity.max_ahead
        } else {
            0.0
        };
        let sharing = SharingOptions {
            peer_health: section.ejection.enabled,
            affinity_slack,
        };
        let affinity = section
            .affinity_entries
            .enabled
            .then(|| AffinityHost::start(section, &member, clock));
        Ok(Self {
            member,
            list: Rc::default(),
            sharing,
            affinity,
        })
    }

    /// The affinity table, if one is hosted.
    pub fn affinity(&self) -> Option<&AffinityHost> {
        self.affinity.as_ref()
    }

    /// The pick for a key by affinity entries, if there are any that may be used.
    pub fn affinity_pick(&self, key: Option<u64>) -> Option<AffinityPick> {
        self.affinity.as_ref()?.pick(key?)
    }

    /// Records that an endpoint served a request, possibly about a key.
    pub fn record_use(&self, key: Option<u64>, endpoint: EndpointId) {
        if let Some((host, key)) = self.affinity.as_ref().zip(key) {
            host.record_use(key, endpoint);
        }
    }

    /// What the module is to share with other members.
    pub fn sharing(&self) -> SharingOptions {
        self.sharing
    }

    /// The hash of an endpoint's name, the same at every member.
    pub fn alias(&self, name: &str) -> u64 {
        hash(name)
    }

    /// Records that discovery has answered.
    pub fn confirm_list(&self) {
        self.member.confirm_list();
    }

    /// Applies a list or changes to one; `name` and `zone` resolve ids.
    pub fn set_endpoints<'a>(
        &self,
        full: bool,
        listings: &[ListedEndpoint],
        name: impl Fn(EndpointId) -> &'a str,
        zone: impl Fn(usize) -> &'a str,
    ) {
        let mut list = self.list.borrow_mut();
        if full {
            list.clear();
        }
        for listed in listings {
            let (endpoint, started, ready) = (
                listed.endpoint,
                listed.started,
                listed.status == EndpointStatus::Ready,
            );
            if listed.status == EndpointStatus::Removed {
                list.remove(&endpoint);
                continue;
            }
            let name = name(endpoint).to_owned();
            let zone = listed.zone.map_or("", &zone).to_owned();
            list.insert(
                endpoint,
                (
                    ObservedEndpoint {
                        endpoint,
                        name,
                        started,
                        ready,
                    },
                    zone,
                ),
            );
        }
        if let Some(affinity) = &self.affinity {
            affinity.set_endpoints(list.values().map(|(listed, _)| listed));
        }
        self.member.set_endpoint_zones(
            list.iter()
                .map(|(endpoint, (_, zone))| (*endpoint, zone.as_str())),
        );
        self.member
            .set_endpoints(list.values().map(|(listed, _)| listed.clone()).collect());
    }

    /// Records whether an endpoint served an attempt.
    pub fn report_health(&self, endpoint: EndpointId, served: bool) {
        self.member.observe(
            endpoint,
            if served {
                ObservedHealth::Healthy
            } else {
                ObservedHealth::Unhealthy
            },
        );
    }

    /// Tells the other members that this one leaves.
    pub fn leave(&self) {
        self.member.leave();
    }

    /// The server reports for coordinators.
    pub fn servers(&self) -> ServerReports {
        self.member.server_reports()
    }

    /// The summary for operators.
    pub fn summary(&self) -> MembershipSummary {
        self.member.summary()
    }
}

/// Converts an ejection to the decision module's type.
fn to_ejection(update: load_balancer_gossip::core::EjectionUpdate) -> EjectionUpdate {
    EjectionUpdate {
        endpoint: update.endpoint,
        status: match update.status {
            health_status::EjectionStatus::NotEjected => EjectionStatus::NotEjected,
            health_status::EjectionStatus::Ejected => EjectionStatus::Ejected,
            health_status::EjectionStatus::TrialDue => EjectionStatus::TrialDue,
            health_status::EjectionStatus::Recovered => EjectionStatus::Recovered,
        },
        expires: update.expires,
    }
}

/// Logs a note for operators.
fn log_note(note: &Note) {
    match note {
        Note::Connectivity {
            connectivity,
            zones,
        } => {
            let state = connectivity.state.label();
            let zones: Vec<String> = zones
                .iter()
                .map(|(zone, direction)| format!("{zone} {}", direction.label()))
                .collect();
            let side_note = match connectivity.on_larger_side {
                Some(true) => ", on the larger side",
                Some(false) => ", not on the larger side",
                None => "",
            };
            let zones_note = if zones.is_empty() {
                String::new()
            } else {
                format!(" from {}", zones.join(", "))
            };
            say!(
                info,
                "sidecar::fleet",
                "connectivity: {state}{zones_note}{side_note}"
            );
        }
        Note::DuplicateName {
            name,
            addresses: [one, other],
        } => {
            say!(
                warn,
                "sidecar::fleet",
                "two processes are members under the name {name}: {one} and {other}"
            );
        }
        Note::Quarantined { name } => {
            say!(
                warn,
                "sidecar::fleet",
                "{name} fails again and again: it is quarantined, its observations do not count for now"
            );
        }
    }
}
