//! One call to discovery.

use crate::body::collect_body;
use crate::connection::{Connection, WriteProgress};
use crate::host_list::HostList;
use crate::message_memory::MemoryShare;
use crate::watch_schedule::{CALL_TIMEOUT, CallTimes};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::{Request, StatusCode};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Longest list, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Why a call brought no list.
#[derive(Debug)]
pub(super) enum CallFailure {
    /// No complete answer came back in time.
    TimedOut,
    /// Discovery is overloaded.
    Refused {
        /// The status of its answer.
        status: StatusCode,
        /// When to call again, if it said so.
        retry_after: Option<Duration>,
    },
    /// It failed in another way.
    Error(String),
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TimedOut => f.write_str("no answer"),
            Self::Refused {
                status,
                retry_after: None,
            } => write!(f, "status {}", status.as_u16()),
            Self::Refused {
                status,
                retry_after: Some(time),
            } => write!(f, "status {}, Retry-After {time:?}", status.as_u16()),
            Self::Error(message) => f.write_str(message),
        }
    }
}

impl From<&str> for CallFailure {
    fn from(message: &str) -> Self {
        Self::Error(message.to_owned())
    }
}

/// Calls the agent at one address of discovery, over one connection as long as that is usable.
pub(super) struct AgentConnection {
    address: SocketAddr,
    memory: MemoryShare,
    idle_connection: Option<Connection>,
}

impl AgentConnection {
    /// Connects to that address with the first call. Long heads of answers take their memory of that
    /// share.
    pub(super) fn new(address: SocketAddr, memory: MemoryShare) -> Self {
        Self {
            address,
            memory,
            idle_connection: None,
        }
    }

    /// Performs one call, for changes after a version if one is given. Limited in time and size, as
    /// an unreachable discovery sends nothing at all.
    pub(super) async fn call(
        &mut self,
        after: Option<u64>,
        times: CallTimes,
    ) -> Result<HostList, CallFailure> {
        let path = match after {
            Some(index) => format!(
                "/discovery/hosts?after={index}&wait_ms={}",
                times.wait.as_millis()
            ),
            None => "/discovery/hosts".to_owned(),
        };
        timeout(times.timeout, self.exchange(&path))
            .await
            .unwrap_or(Err(CallFailure::TimedOut))
    }

    async fn exchange(&mut self, path: &str) -> Result<HostList, CallFailure> {
        let request = Request::get(path)
            .header(hyper::header::HOST, self.address.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(call_error)?;
        let mut connection = match self.idle_connection.take().filter(Connection::is_usable) {
            Some(connection) => connection,
            None => self.open().await?,
        };
        let response = connection
            .request(request, WriteProgress::default())
            .await?;
        let (head, body) = response.into_parts();
        let body = connection
            .drive(collect_body(body, MAX_LIST_BYTES, |_| {}))
            .await;
        let body = body.ok_or("connection lost")?.map_err(call_error)?;
        match head.status {
            StatusCode::OK => {}
            status @ (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => {
                return Err(CallFailure::Refused {
                    status,
                    retry_after: retry_after(&head.headers),
                });
            }
            status => return Err(CallFailure::Error(format!("status {}", status.as_u16()))),
        }
        self.idle_connection = Some(connection);
        let list: HostList = serde_json::from_slice(&body)
            .map_err(|e| CallFailure::Error(format!("unreadable list: {e}")))?;
        // Following it would leave no endpoint; more likely discovery has lost its data.
        if list.snapshot && list.endpoints.is_empty() {
            return Err("empty list".into());
        }
        Ok(list)
    }

    async fn open(&self) -> Result<Connection, CallFailure> {
        let opened = Connection::open(self.address, self.memory.clone());
        match timeout(CALL_TIMEOUT, opened).await {
            Ok(opened) => opened.map_err(call_error),
            Err(_) => Err(CallFailure::TimedOut),
        }
    }
}

/// The `Retry-After` of an answer, in seconds, whole or decimal; other forms are ignored.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

fn call_error(error: impl ToString) -> CallFailure {
    CallFailure::Error(error.to_string())
}
