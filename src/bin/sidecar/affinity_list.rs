//! The listed endpoints as affinity processes.

use load_balancer::EndpointId;
use load_balancer_affinity::{Process, hash};
use load_balancer_gossip::core::ObservedEndpoint;
use std::collections::{HashMap, HashSet, VecDeque};

/// Removed processes that are remembered: messages with entries for more of them may still be in
/// transit.
const MAX_REMOVED: usize = 1024;

/// The listed processes.
#[derive(Default)]
pub struct ProcessList {
    /// Processes by endpoint id.
    pub processes: HashMap<EndpointId, Process>,
    /// Endpoint ids of the processes that are ready.
    pub endpoints: HashMap<Process, EndpointId>,
    /// Names of all listed processes.
    pub names: HashMap<Process, String>,
    /// Processes that were listed and no longer are, the latest last.
    removed: VecDeque<Process>,
}

impl ProcessList {
    /// Replaces the list; returns the processes that accept no more requests.
    pub fn update<'a>(
        &mut self,
        list: impl Iterator<Item = &'a ObservedEndpoint>,
    ) -> HashSet<Process> {
        let previous: Vec<Process> = self.names.keys().copied().collect();
        (self.processes, self.endpoints, self.names) = Default::default();
        for listed in list {
            let name = hash(listed.name.as_bytes());
            // A draining endpoint is listed without its start.
            let known = previous
                .iter()
                .find(|p| p.name == name && !listed.ready && listed.started.is_none());
            let process = known.copied().unwrap_or(Process {
                name,
                started: listed.started.unwrap_or(0) / 1000,
            });
            self.processes.insert(listed.endpoint, process);
            self.names.insert(process, listed.name.clone());
            if listed.ready {
                self.endpoints.insert(process, listed.endpoint);
            }
        }
        self.removed.extend(previous);
        self.removed
            .retain(|process| !self.names.contains_key(process));
        self.removed
            .drain(..self.removed.len().saturating_sub(MAX_REMOVED));
        let closed = |process: &&Process| !self.endpoints.contains_key(*process);
        self.names
            .keys()
            .chain(&self.removed)
            .filter(closed)
            .copied()
            .collect()
    }
}

#[cfg(test)]
mod tests;
