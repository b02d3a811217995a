//! Queries a sidecar repeatedly whether it is drained of affinity to a server, as a coordinator
//! does.

use crate::net::Clock;
use crate::page::request_json;
use crate::record::{Record, Seen};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// Interval of the queries, and timeout of one.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);
const QUERY_TIMEOUT: Duration = Duration::from_millis(1000);

/// The query for a server whose process has run for long.
pub struct DrainQuery {
    /// The server, by index in the plan, and its name.
    pub server: usize,
    /// See `server`.
    pub name: String,
    /// The token of its drain.
    pub token: u64,
}

/// Queries the sidecar at that address until it is clear, and records that.
pub async fn query_until_clear(
    query: DrainQuery,
    address: SocketAddr,
    clock: Clock,
    record: Record,
) {
    let body = json!({"server": query.name, "started_ms": 0, "epoch": query.token});
    loop {
        // Each query is a new one: an earlier answer does not count.
        let answer = request_json(
            address,
            "POST",
            "/fleet/leaving",
            Some(&body),
            QUERY_TIMEOUT,
        )
        .await;
        if answer.is_some_and(|(status, page)| status == 200 && page["clear"] == true) {
            record.note(
                clock.now(),
                Seen::Cleared {
                    server: query.server,
                    token: query.token,
                },
            );
            return;
        }
        sleep(QUERY_INTERVAL).await;
    }
}
