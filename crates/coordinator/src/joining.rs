//! Decides how a coordinator without a vote joins, and which one founds the replicated log.

use crate::calls::Calls;
use crate::config::Sections;
use crate::fetch::fetch;
use crate::log_thread::{Seen, ThreadInput};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Where a vote is asked for.
pub const PATH: &str = "/agreement/join";
/// Pause between two askings.
const AGAIN: Duration = Duration::from_millis(300);
/// How long another coordinator may take to answer.
const WITHIN: Duration = Duration::from_secs(1);

/// Asks for a vote whenever there is none, until the process ends.
pub async fn join(sections: Sections, calls: Calls, mut seen: watch::Receiver<Arc<Seen>>) {
    let own = &sections.coordinator.name;
    loop {
        let voiceless = |seen: &Arc<Seen>| {
            seen.view
                .as_ref()
                .is_some_and(|view| !view.replica_status.voice)
        };
        let replica_status = match seen.wait_for(voiceless).await {
            Ok(seen) => seen.view.as_ref().map(|view| view.replica_status.clone()),
            Err(_) => return,
        };
        let Some(replica_status) = replica_status else {
            continue;
        };
        // Only one may found, and only where nobody has any part of a log: all others must say so.
        let first = sections.coordinators.keys().next() == Some(own);
        if replica_status.blank && first && nobody_has_any(&sections).await {
            calls.send(ThreadInput::Found);
        } else {
            ask(&sections, replica_status.id).await;
        }
        sleep(AGAIN.mul_f64(0.5 + fastrand::f64())).await;
    }
}

async fn nobody_has_any(sections: &Sections) -> bool {
    for (name, at) in sections
        .coordinators
        .iter()
        .filter(|(name, _)| **name != sections.coordinator.name)
    {
        let status = fetch(*at, "GET", "/status", None, WITHIN).await;
        let blank = status.is_ok_and(|(code, status)| {
            code == 200 && status["name"] == json!(name) && status["blank"] == Value::Bool(true)
        });
        if !blank {
            return false;
        }
    }
    true
}

async fn ask(sections: &Sections, id: u64) {
    // A number of 64 bits is none that every reader of JSON keeps.
    let body = json!({"name": sections.coordinator.name, "disk": id.to_string()});
    for (_, at) in sections
        .coordinators
        .iter()
        .filter(|(name, _)| **name != sections.coordinator.name)
    {
        if let Ok((200, _)) = fetch(*at, "POST", PATH, Some(&body), WITHIN).await {
            return;
        }
    }
}
