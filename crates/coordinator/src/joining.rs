//! Decides how a coordinator without a vote joins, and which one founds the replicated log.

use crate::calls::Calls;
use crate::config::Sections;
use crate::fetch::fetch;
use crate::keeper::{Seen, Told};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Where a voice is asked for.
pub const PATH: &str = "/agreement/join";
/// Pause between two askings.
const AGAIN: Duration = Duration::from_millis(300);
/// How long another steward may take to answer.
const WITHIN: Duration = Duration::from_secs(1);

/// Asks for a voice whenever there is none, until the process ends.
pub async fn join(sections: Sections, calls: Calls, mut seen: watch::Receiver<Arc<Seen>>) {
    let own = &sections.steward.name;
    loop {
        let voiceless =
            |seen: &Arc<Seen>| seen.view.as_ref().is_some_and(|view| !view.standing.voice);
        let standing = match seen.wait_for(voiceless).await {
            Ok(seen) => seen.view.as_ref().map(|view| view.standing.clone()),
            Err(_) => return,
        };
        let Some(standing) = standing else { continue };
        // Only one may found, and only where nobody has any part of an agreement: all others must say so.
        let first = sections.stewards.keys().next() == Some(own);
        if standing.blank && first && nobody_has_any(&sections).await {
            calls.send(Told::Found);
        } else {
            ask(&sections, standing.id).await;
        }
        sleep(AGAIN.mul_f64(0.5 + fastrand::f64())).await;
    }
}

async fn nobody_has_any(sections: &Sections) -> bool {
    for (name, at) in sections
        .stewards
        .iter()
        .filter(|(name, _)| **name != sections.steward.name)
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
    let body = json!({"name": sections.steward.name, "disk": id.to_string()});
    for (_, at) in sections
        .stewards
        .iter()
        .filter(|(name, _)| **name != sections.steward.name)
    {
        if let Ok((200, _)) = fetch(*at, "POST", PATH, Some(&body), WITHIN).await {
            return;
        }
    }
}
