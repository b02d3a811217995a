//! One call to discovery.

use crate::connection::{Connection, WriteProgress};
use crate::host_list::HostList;
use crate::watch_schedule::{Call, PATIENCE};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use tokio::time::timeout;

/// Longest list taken.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Why a call brought no list.
pub(super) enum Failure {
    /// Nothing, or no whole answer, came back in time.
    Silent,
    /// Something else did.
    Said(String),
}

impl From<&str> for Failure {
    fn from(what: &str) -> Self {
        Self::Said(what.to_owned())
    }
}

/// One call, for news after a version where that is given, over the connection of the last one
/// where that is still good. Bounded in time and in size: a discovery that is cut off says nothing
/// at all.
pub(super) async fn call(
    at: SocketAddr,
    link: &mut Option<Connection>,
    after: Option<u64>,
    call: Call,
) -> Result<HostList, Failure> {
    let path = match after {
        Some(index) => format!(
            "/discovery/hosts?after={index}&wait_ms={}",
            call.wait.as_millis()
        ),
        None => "/discovery/hosts".to_owned(),
    };
    timeout(call.within, exchange(at, link, &path))
        .await
        .unwrap_or(Err(Failure::Silent))
}

async fn exchange(
    at: SocketAddr,
    link: &mut Option<Connection>,
    path: &str,
) -> Result<HostList, Failure> {
    let request = Request::get(path)
        .header(hyper::header::HOST, at.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(said)?;
    let mut connection = match link.take().filter(Connection::usable) {
        Some(connection) => connection,
        None => match timeout(PATIENCE, Connection::open(at)).await {
            Ok(opened) => opened.map_err(said)?,
            Err(_) => return Err(Failure::Silent),
        },
    };
    let response = connection
        .request(request, WriteProgress::default())
        .await?;
    let (head, body) = response.into_parts();
    let body = connection
        .drive(Limited::new(body, MAX_LIST_BYTES).collect())
        .await;
    let body = body.ok_or("connection lost")?.map_err(said)?.to_bytes();
    if head.status != StatusCode::OK {
        return Err(Failure::Said(format!("status {}", head.status.as_u16())));
    }
    *link = Some(connection);
    let list: HostList = serde_json::from_slice(&body)
        .map_err(|e| Failure::Said(format!("unreadable list: {e}")))?;
    // To follow it would leave nothing to serve with; more likely discovery has lost what it knew.
    if list.snapshot && list.endpoints.is_empty() {
        return Err("empty list".into());
    }
    Ok(list)
}

fn said(why: impl ToString) -> Failure {
    Failure::Said(why.to_string())
}
