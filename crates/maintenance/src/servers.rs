//! The servers with what is known of their health.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::agreement::Invalid;
use crate::event::{Health, Outcome, Refusal, Server, Word};
use crate::machine::Machine;
use crate::request::LONGEST_NAME;
use crate::view::Why;

/// Most servers that the list may name; what a plan takes grows with it.
pub const MOST_SERVERS: usize = 4_096;

/// A listed server, and the last word on it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Known {
    pub(crate) zone: String,
    pub(crate) group: String,
    pub(crate) weight: u32,
    pub(crate) started: u64,
    pub(crate) seen: Option<Seen>,
    /// The start under which it was seen well and warm last.
    pub(crate) warm: Option<u64>,
}

/// A word by enough members, by the time that it was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Seen {
    pub(crate) state: Health,
    pub(crate) started: u64,
    pub(crate) seen_ms: i64,
}

impl Known {
    /// The word, if it is young enough and not of a process before the listed one.
    pub(crate) fn fresh(&self, now_ms: i64, bound_ms: i64) -> Option<Seen> {
        self.seen.filter(|seen| {
            now_ms.saturating_sub(seen.seen_ms) < bound_ms && seen.started >= self.started
        })
    }

    /// Why it does not count as there by evidence; none if it does.
    pub(crate) fn missing(&self, now_ms: i64, bound_ms: i64) -> Option<Why> {
        match self.fresh(now_ms, bound_ms) {
            None => Some(Why::Unheard),
            Some(seen) => match seen.state {
                Health::Unknown => Some(Why::Unheard),
                Health::Sick => Some(Why::Sick),
                Health::Well if self.warm != Some(seen.started) => Some(Why::Cold),
                Health::Well => None,
            },
        }
    }
}

impl Machine {
    /// Takes a new list. Of a server that it names again the evidence stays; one that left is forgotten, and has to
    /// be heard of anew before it counts.
    pub(crate) fn list(&mut self, list: Vec<Server>) -> Outcome {
        if list.len() > MOST_SERVERS {
            return Outcome::Refused(Refusal::Full(format!(
                "the list names more than {MOST_SERVERS} servers"
            )));
        }
        let long = |name: &str| name.is_empty() || name.len() > LONGEST_NAME;
        if list
            .iter()
            .any(|s| long(&s.name) || s.zone.len() > LONGEST_NAME || s.group.len() > LONGEST_NAME)
        {
            let reason = format!("a name is empty or longer than {LONGEST_NAME} bytes");
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
        for seat in self
            .windows
            .values_mut()
            .flat_map(|window| &mut window.seats)
        {
            let listed = self.servers.contains_key(&seat.server);
            seat.unlisted_ms = if listed {
                None
            } else {
                seat.unlisted_ms.or(Some(self.at_ms))
            };
        }
        self.changed = true;
        Outcome::Taken
    }

    /// Takes words of the fleet. A word that was seen before the one that is kept, or by too few, changes nothing.
    pub(crate) fn hear(&mut self, words: Vec<Word>) -> Outcome {
        for word in words {
            let Some(known) = self.servers.get_mut(&word.server) else {
                continue;
            };
            let seen_ms = self
                .at_ms
                .saturating_sub(i64::try_from(word.age_ms).unwrap_or(i64::MAX));
            if !word.enough || known.seen.is_some_and(|seen| seen.seen_ms > seen_ms) {
                continue;
            }
            known.seen = Some(Seen {
                state: word.state,
                started: word.started,
                seen_ms,
            });
            if word.state == Health::Well && word.warm {
                known.warm = Some(word.started);
            }
        }
        Outcome::Taken
    }
}
