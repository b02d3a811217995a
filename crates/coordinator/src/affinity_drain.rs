//! Asks sidecars whether they are drained of affinity to a server.

use crate::fetch::fetch;
use crate::poller::Poller;
use load_balancer_maintenance::Unclear;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use tokio::task::JoinSet;

/// What a sidecar answers.
#[derive(Deserialize)]
struct SidecarAnswer {
    clear: bool,
    epoch: u64,
}

impl Poller {
    /// Tells sidecars of all zones that a process leaves. Whether it is clear: enough members of
    /// each zone say that it is at this epoch, and none that it is not. A zone in which too few
    /// answer cannot tell, so it is not.
    pub async fn unbound(&self, leaving: &Unclear) -> bool {
        let body = json!({"server": leaving.server, "started_ms": leaving.started, "epoch": leaving.epoch});
        // The same sidecars again: each counts by its own clock since when the process leaves.
        let kept = self.witnesses.borrow_mut().remove(&leaving.server);
        let drawn = match kept {
            Some((epoch, kept)) if epoch == leaving.epoch => kept,
            _ => self.draw(),
        };
        let mut asking = JoinSet::new();
        for (zone, at) in drawn {
            let (body, within) = (body.clone(), self.observations().timeout.0);
            asking.spawn_local(async move {
                let (status, said) = fetch(at, "POST", "/fleet/leaving", Some(&body), within)
                    .await
                    .ok()?;
                let said = serde_json::from_value::<SidecarAnswer>(said)
                    .ok()
                    .filter(|_| status == 200)?;
                Some((zone, at, said))
            });
        }
        let mut clear: BTreeMap<String, usize> = BTreeMap::new();
        let (mut answered, mut against) = (Vec::new(), false);
        while let Some(said) = asking.join_next().await {
            let Some((zone, at, said)) = said.ok().flatten() else {
                continue;
            };
            against |= !said.clear;
            if said.clear && said.epoch >= leaving.epoch {
                *clear.entry(zone.clone()).or_default() += 1;
            }
            answered.push((zone, at));
        }
        // In the place of those that did not answer others are asked next time.
        let observations = self.observations();
        for (zone, at) in self.draw() {
            let of_zone = answered.iter().filter(|(z, _)| *z == zone).count();
            if of_zone < observations.ask && !answered.iter().any(|(_, one)| *one == at) {
                answered.push((zone, at));
            }
        }
        self.witnesses
            .borrow_mut()
            .insert(leaving.server.clone(), (leaving.epoch, answered));
        if against {
            return false;
        }
        observations
            .sidecars
            .iter()
            .filter(|(_, all)| !all.is_empty())
            .all(|(zone, all)| {
                clear
                    .get(zone)
                    .is_some_and(|count| *count >= observations.agree.min(all.len()))
            })
    }

    /// Tells sidecars of all zones that a process stays: it was cancelled, or another one takes its
    /// place.
    pub async fn stays(&self, leaving: &Unclear) {
        let body: Value = json!({"server": leaving.server, "started_ms": leaving.started, "epoch": leaving.epoch});
        let mut telling = JoinSet::new();
        for (_, at) in self.draw() {
            let (body, within) = (body.clone(), self.observations().timeout.0);
            // Who does not hear it hears it from the others, or goes on without affinity entries to
            // that process.
            telling.spawn_local(async move {
                fetch(at, "POST", "/fleet/stays", Some(&body), within)
                    .await
                    .is_ok()
            });
        }
        while telling.join_next().await.is_some() {}
    }
}
