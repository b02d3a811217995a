//! The list of servers, and their health observations.

use std::collections::BTreeSet;

use crate::event::{Health, Outcome, Refusal, Server, ServerObservation};
use crate::invalid::Invalid;
use crate::known_server::{LastObservation, ServerState};
use crate::machine::Machine;
use crate::request::MAX_NAME_BYTES;

/// Most servers that the list may name; the cost of a plan grows with it.
pub const MAX_SERVERS: usize = 4_096;

impl Machine {
    /// Applies a new list. A server that is listed again keeps its observation; one that is no
    /// longer listed is removed, and needs a new observation before it counts again.
    pub(crate) fn set_servers(&mut self, list: Vec<Server>) -> Outcome {
        if list.len() > MAX_SERVERS {
            return Outcome::Refused(Refusal::Full(format!(
                "the list names more than {MAX_SERVERS} servers"
            )));
        }
        let is_invalid_name = |name: &str| name.is_empty() || name.len() > MAX_NAME_BYTES;
        if list.iter().any(|s| {
            is_invalid_name(&s.name)
                || s.zone.len() > MAX_NAME_BYTES
                || s.group.len() > MAX_NAME_BYTES
        }) {
            let reason = format!("a name is empty or longer than {MAX_NAME_BYTES} bytes");
            return Outcome::Refused(Refusal::Invalid(Invalid::new("servers", reason)));
        }
        let mut previous = std::mem::take(&mut self.servers);
        let count = list.len();
        for server in list {
            let previous_state = previous.get(&server.name);
            let known = ServerState {
                seen: previous_state.and_then(|k| k.seen),
                warm: previous_state.and_then(|k| k.warm),
                zone: server.zone,
                group: server.group,
                weight: server.weight,
                started: server.started,
            };
            self.servers.insert(server.name, known);
        }
        if self.servers.len() != count {
            std::mem::swap(&mut self.servers, &mut previous);
            let reason = "a name comes twice";
            return Outcome::Refused(Refusal::Invalid(Invalid::new("servers", reason)));
        }
        if self.servers == previous {
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

    /// Applies health observations. One that is older than the stored one, or by too few members,
    /// changes nothing.
    pub(crate) fn record_observations(&mut self, observations: Vec<ServerObservation>) -> Outcome {
        for observation in observations {
            let Some(server_state) = self.servers.get_mut(&observation.server) else {
                continue;
            };
            let seen_ms = self
                .at_ms
                .saturating_sub(i64::try_from(observation.age_ms).unwrap_or(i64::MAX));
            if !observation.enough || server_state.seen.is_some_and(|seen| seen.seen_ms > seen_ms) {
                continue;
            }
            server_state.seen = Some(LastObservation {
                state: observation.state,
                started: observation.started,
                seen_ms,
            });
            if observation.state == Health::Healthy && observation.warm {
                server_state.warm = Some(observation.started);
            }
        }
        Outcome::Taken
    }
}
