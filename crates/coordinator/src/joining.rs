//! How a coordinator without a vote joins the replicated log, and which one founds it.

use crate::calls::PendingCalls;
use crate::config::Sections;
use crate::fetch::fetch;
use crate::log_thread::{PublishedStatus, ThreadInput};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Path of requests for a vote.
pub const JOIN_PATH: &str = "/agreement/join";
/// Mean delay between two attempts to join.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time limit of a request to another coordinator.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests a vote whenever this coordinator has none, until the process ends.
pub async fn join(
    sections: Sections,
    calls: PendingCalls,
    mut status: watch::Receiver<Arc<PublishedStatus>>,
) {
    let own_name = &sections.coordinator.name;
    loop {
        let has_no_vote = |status: &Arc<PublishedStatus>| {
            status
                .view
                .as_ref()
                .is_some_and(|view| !view.replica_status.voice)
        };
        let replica_status = match status.wait_for(has_no_vote).await {
            Ok(status) => status.view.as_ref().map(|view| view.replica_status.clone()),
            Err(_) => return,
        };
        let Some(replica_status) = replica_status else {
            continue;
        };
        // Only one coordinator may found a log, and only if all others report that they have no
        // part of one.
        let is_first_by_name = sections.coordinators.keys().next() == Some(own_name);
        if replica_status.blank && is_first_by_name && all_others_are_blank(&sections).await {
            calls.send(ThreadInput::FoundLog);
        } else {
            request_vote(&sections, replica_status.id).await;
        }
        sleep(RETRY_DELAY.mul_f64(0.5 + fastrand::f64())).await;
    }
}

async fn all_others_are_blank(sections: &Sections) -> bool {
    for (name, address) in sections
        .coordinators
        .iter()
        .filter(|(name, _)| **name != sections.coordinator.name)
    {
        let status = fetch(*address, "GET", "/status", None, ANSWER_TIMEOUT).await;
        let is_blank = status.is_ok_and(|(code, status)| {
            code == 200 && status["name"] == json!(name) && status["blank"] == Value::Bool(true)
        });
        if !is_blank {
            return false;
        }
    }
    true
}

async fn request_vote(sections: &Sections, id: u64) {
    // Sent as a string, because not every JSON reader preserves 64-bit integers.
    let body = json!({"name": sections.coordinator.name, "disk": id.to_string()});
    for (_, address) in sections
        .coordinators
        .iter()
        .filter(|(name, _)| **name != sections.coordinator.name)
    {
        if let Ok((200, _)) = fetch(*address, "POST", JOIN_PATH, Some(&body), ANSWER_TIMEOUT).await
        {
            return;
        }
    }
}
