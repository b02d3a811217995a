//! Asks a sidecar repeatedly whether it is drained of affinity to a server, as a coordinator does.

use crate::net::Clock;
use crate::page::ask;
use crate::record::{Record, Seen};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// How often it asks, and how long an answer may take.
const EVERY: Duration = Duration::from_millis(500);
const WITHIN: Duration = Duration::from_millis(1000);

/// A server whose process has run for long is to leave.
pub struct Leaves {
    /// The server, a place in the plan, and its name.
    pub server: usize,
    /// See `server`.
    pub name: String,
    /// The token by which it leaves.
    pub token: u64,
}

/// Asks the sidecar at that address until it is clear, and notes that.
pub async fn ask_until_clear(leaves: Leaves, at: SocketAddr, clock: Clock, record: Record) {
    let body = json!({"server": leaves.name, "started_ms": 0, "epoch": leaves.token});
    loop {
        // What was said before that is no answer of then.
        let answer = ask(at, "POST", "/fleet/leaving", Some(&body), WITHIN).await;
        if answer.is_some_and(|(status, page)| status == 200 && page["clear"] == true) {
            record.note(
                clock.now(),
                Seen::Cleared {
                    server: leaves.server,
                    token: leaves.token,
                },
            );
            return;
        }
        sleep(EVERY).await;
    }
}
