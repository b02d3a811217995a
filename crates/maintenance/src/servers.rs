//! The servers with what is known of their health.

use std::collections::BTreeSet;

use crate::event::{Health, Outcome, Refusal, Server, ServerObservation};
use crate::invalid::Invalid;
use crate::known_server::{Known, Seen};
use crate::machine::Machine;
use crate::request::MAX_NAME_BYTES;

/// Most servers that the list may name; what a plan takes grows with it.
pub const MAX_SERVERS: usize = 4_096;

impl Machine {
    /// Takes a new list. Of a server that it names again the observations stays; one that left is
    /// forgotten, and has to be heard of anew before it counts.
    pub(crate) fn list(&mut self, list: Vec<Server>) -> Outcome {
        if list.len() > MAX_SERVERS {
            return Outcome::Refused(Refusal::Full(format!(
                "the list names more than {MAX_SERVERS} servers"
            )));
        }
        let long = |name: &str| name.is_empty() || name.len() > MAX_NAME_BYTES;
        if list.iter().any(|s| {
            long(&s.name) || s.zone.len() > MAX_NAME_BYTES || s.group.len() > MAX_NAME_BYTES
        }) {
            let reason = format!("a name is empty or longer than {MAX_NAME_BYTES} bytes");
            return Outcome::Refused(Refusal::Invalid(Invalid::new("servers", reason)));
        }
        let mut before = std::mem::take(&mut self.servers);
        let count = list.len();
        for server in list {
            let old = before.get(&server.name);
            let known = Known {
                seen: old.and_then(|k| k.seen),
                warm: old.and_then(|k| k.warm),
                zone: server.zone,
                group: server.group,
                weight: server.weight,
                started: server.started,
            };
            self.servers.insert(server.name, known);
        }
        if self.servers.len() != count {
            std::mem::swap(&mut self.servers, &mut before);
            let reason = "a name comes twice";
            return Outcome::Refused(Refusal::Invalid(Invalid::new("servers", reason)));
        }
        if self.servers == before {
            return Outcome::Ignored;
        }
        let zones: BTreeSet<&str> = self
            .servers
            .values()
            .map(|known| known.zone.as_str())
            .collect();
        self.turns.retain(|zone, _| zones.contains(zone.as_str()));
        for slot in self
            .windows
            .values_mut()
            .flat_map(|window| &mut window.slots)
        {
            let listed = self.servers.contains_key(&slot.server);
            slot.unlisted_ms = if listed {
                None
            } else {
                slot.unlisted_ms.or(Some(self.at_ms))
            };
        }
        self.changed = true;
        Outcome::Taken
    }

    /// Takes observations of the fleet. One that was seen before the one that is kept, or by too
    /// few, changes nothing.
    pub(crate) fn observe(&mut self, observations: Vec<ServerObservation>) -> Outcome {
        for observation in observations {
            let Some(known) = self.servers.get_mut(&observation.server) else {
                continue;
            };
            let seen_ms = self
                .at_ms
                .saturating_sub(i64::try_from(observation.age_ms).unwrap_or(i64::MAX));
            if !observation.enough || known.seen.is_some_and(|seen| seen.seen_ms > seen_ms) {
                continue;
            }
            known.seen = Some(Seen {
                state: observation.state,
                started: observation.started,
                seen_ms,
            });
            if observation.state == Health::Healthy && observation.warm {
                known.warm = Some(observation.started);
            }
        }
        Outcome::Taken
    }
}
