//! Asks sidecars whether a server is drained of affinity.

use crate::fetch::fetch;
use crate::poller::Poller;
use load_balancer_maintenance::DrainCheck;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use tokio::task::JoinSet;

/// The answer of a sidecar.
#[derive(Deserialize)]
struct SidecarAnswer {
    clear: bool,
    epoch: u64,
}

impl Poller {
    /// Notifies sidecars of all zones that a process is leaving. Returns whether it is drained of
    /// affinity: in each zone enough members confirm it for this epoch, and no member denies it. A
    /// zone with too few answers counts as not drained.
    pub async fn is_drained_of_affinity(&self, process: &DrainCheck) -> bool {
        let body = json!({"server": process.server, "started_ms": process.started, "epoch": process.epoch});
        // Ask the same sidecars again, because each measures the time since the departure by its
        // own clock.
        let previous = self.drain_sidecars.borrow_mut().remove(&process.server);
        let sidecars = match previous {
            Some((epoch, sidecars)) if epoch == process.epoch => sidecars,
            _ => self.sample_sidecars(),
        };
        let mut requests = JoinSet::new();
        for (zone, address) in sidecars {
            let (body, time_limit) = (body.clone(), self.observations().timeout.0);
            requests.spawn_local(async move {
                let (status, content) =
                    fetch(address, "POST", "/fleet/leaving", Some(&body), time_limit)
                        .await
                        .ok()?;
                let answer = serde_json::from_value::<SidecarAnswer>(content)
                    .ok()
                    .filter(|_| status == 200)?;
                Some((zone, address, answer))
            });
        }
        let mut clear: BTreeMap<String, usize> = BTreeMap::new();
        let (mut answering_sidecars, mut any_not_clear) = (Vec::new(), false);
        while let Some(result) = requests.join_next().await {
            let Some((zone, address, answer)) = result.ok().flatten() else {
                continue;
            };
            any_not_clear |= !answer.clear;
            if answer.clear && answer.epoch >= process.epoch {
                *clear.entry(zone.clone()).or_default() += 1;
            }
            answering_sidecars.push((zone, address));
        }
        // Sidecars that did not answer are replaced by others in the next call.
        let observations = self.observations();
        for (zone, address) in self.sample_sidecars() {
            let answered_in_zone = answering_sidecars
                .iter()
                .filter(|(z, _)| *z == zone)
                .count();
            if answered_in_zone < observations.ask
                && !answering_sidecars
                    .iter()
                    .any(|(_, answered)| *answered == address)
            {
                answering_sidecars.push((zone, address));
            }
        }
        self.drain_sidecars
            .borrow_mut()
            .insert(process.server.clone(), (process.epoch, answering_sidecars));
        if any_not_clear {
            return false;
        }
        observations
            .sidecars
            .iter()
            .filter(|(_, sidecars)| !sidecars.is_empty())
            .all(|(zone, all)| {
                clear
                    .get(zone)
                    .is_some_and(|count| *count >= observations.agree.min(all.len()))
            })
    }

    /// Notifies sidecars of all zones that a process stays, because its window was cancelled or
    /// another process took its place.
    pub async fn announce_stay(&self, process: &DrainCheck) {
        let body: Value = json!({"server": process.server, "started_ms": process.started, "epoch": process.epoch});
        let mut requests = JoinSet::new();
        for (_, address) in self.sample_sidecars() {
            let (body, time_limit) = (body.clone(), self.observations().timeout.0);
            // A sidecar that misses this learns it from other members, or does without affinity
            // entries for that process.
            requests.spawn_local(async move {
                fetch(address, "POST", "/fleet/stays", Some(&body), time_limit)
                    .await
                    .is_ok()
            });
        }
        while requests.join_next().await.is_some() {}
    }
}
