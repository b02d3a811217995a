//! Asks sidecars whether they still pick a server by a binding. Changes with how sidecars are told that a server leaves.

use crate::fetch::fetch;
use crate::looks::Looks;
use linenproxy_maintenance::Unclear;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use tokio::task::JoinSet;

/// What a sidecar answers.
#[derive(Deserialize)]
struct Said {
    clear: bool,
    epoch: u64,
}

impl Looks {
    /// Tells sidecars of all zones that a process leaves. Whether it is clear: enough members of each zone say that it is
    /// at this epoch, and none that it is not. A zone in which too few answer cannot tell, so it is not.
    pub async fn unbound(&self, leaving: &Unclear) -> bool {
        let body = json!({"server": leaving.server, "started_ms": leaving.started, "epoch": leaving.epoch});
        let mut asking = JoinSet::new();
        for (zone, at) in self.draw() {
            let (body, within) = (body.clone(), self.evidence().timeout.0);
            asking.spawn_local(async move {
                let (status, said) = fetch(at, "POST", "/fleet/leaving", Some(&body), within).await.ok()?;
                let said = serde_json::from_value::<Said>(said).ok().filter(|_| status == 200)?;
                Some((zone, said))
            });
        }
        let mut clear: BTreeMap<String, usize> = BTreeMap::new();
        while let Some(said) = asking.join_next().await {
            match said.ok().flatten() {
                Some((_, said)) if !said.clear => return false,
                Some((zone, said)) if said.epoch >= leaving.epoch => *clear.entry(zone).or_default() += 1,
                _ => {}
            }
        }
        let evidence = self.evidence();
        evidence
            .sidecars
            .iter()
            .filter(|(_, all)| !all.is_empty())
            .all(|(zone, all)| clear.get(zone).is_some_and(|count| *count >= evidence.agree.min(all.len())))
    }

    /// Tells sidecars of all zones that a process stays: it was called back, or another one takes its place.
    pub async fn stays(&self, leaving: &Unclear) {
        let body: Value =
            json!({"server": leaving.server, "started_ms": leaving.started, "epoch": leaving.epoch});
        let mut telling = JoinSet::new();
        for (_, at) in self.draw() {
            let (body, within) = (body.clone(), self.evidence().timeout.0);
            // Who does not hear it hears it from the others, or goes on without bindings to that process.
            telling.spawn_local(async move {
                fetch(at, "POST", "/fleet/stays", Some(&body), within).await.is_ok()
            });
        }
        while telling.join_next().await.is_some() {}
    }
}
