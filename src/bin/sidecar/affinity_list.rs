//! The listed endpoints as processes.

use load_balancer::EndpointId;
use load_balancer_affinity::{Process, hash};
use load_balancer_gossip::core::ObservedEndpoint;
use std::collections::{HashMap, HashSet, VecDeque};

/// Processes that are remembered to have been listed: more than entries on them may be on their
/// way.
const MAX_GONE: usize = 1024;

/// The listed processes.
#[derive(Default)]
pub struct List {
    /// Those of endpoints by their numbers.
    pub processes: HashMap<EndpointId, Process>,
    /// Those that are ready.
    pub endpoints: HashMap<Process, EndpointId>,
    /// All, by name.
    pub names: HashMap<Process, String>,
    /// Those that were listed and are no more, the last ones.
    gone: VecDeque<Process>,
}

impl List {
    /// Follows the whole list; gives the processes that take nothing any more.
    pub fn follow<'a>(
        &mut self,
        list: impl Iterator<Item = &'a ObservedEndpoint>,
    ) -> HashSet<Process> {
        let before: Vec<Process> = self.names.keys().copied().collect();
        (self.processes, self.endpoints, self.names) = Default::default();
        for l in list {
            let name = hash(l.name.as_bytes());
            // Who drains is listed without its start.
            let known = before
                .iter()
                .find(|p| p.name == name && !l.ready && l.started.is_none());
            let process = known.copied().unwrap_or(Process {
                name,
                started: l.started.unwrap_or(0) / 1000,
            });
            self.processes.insert(l.endpoint, process);
            self.names.insert(process, l.name.clone());
            if l.ready {
                self.endpoints.insert(process, l.endpoint);
            }
        }
        self.gone.extend(before);
        self.gone
            .retain(|process| !self.names.contains_key(process));
        self.gone.drain(..self.gone.len().saturating_sub(MAX_GONE));
        let closed = |process: &&Process| !self.endpoints.contains_key(*process);
        self.names
            .keys()
            .chain(&self.gone)
            .filter(closed)
            .copied()
            .collect()
    }
}

#[cfg(test)]
mod tests;
