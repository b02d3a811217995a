//! The platform's server list, cached for a limited time.

use crate::config::PlatformSection;
use crate::fetch::{FetchError, fetch};
use load_balancer_maintenance::Server;
use serde::{Deserialize, Deserializer};
use std::cell::RefCell;
use std::time::{Duration, Instant};
use thiserror::Error;

/// A server on the platform's list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedServer {
    /// Its name.
    pub name: String,
    zone: String,
    #[serde(default)]
    group: String,
    weight: u32,
    started_ms: u64,
    state: String,
    /// Requests running there; null if the platform does not know yet, absent if it never does.
    #[serde(default, deserialize_with = "present_or_null")]
    in_flight: Option<Option<u64>>,
}

impl ListedServer {
    /// Returns whether it is draining and idle, as far as the platform can tell.
    pub fn is_drained(&self) -> bool {
        self.state == "draining" && self.in_flight.is_none_or(|count| count == Some(0))
    }
}

impl From<ListedServer> for Server {
    fn from(listed: ListedServer) -> Self {
        Self {
            name: listed.name,
            zone: listed.zone,
            group: listed.group,
            weight: listed.weight,
            started: listed.started_ms,
        }
    }
}

fn present_or_null<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Option<u64>>, D::Error> {
    Option::deserialize(from).map(Some)
}

/// Error of fetching the server list.
#[derive(Debug, Error)]
pub enum ListError {
    /// The platform did not answer.
    #[error(transparent)]
    Fetch(#[from] FetchError),
    /// The platform answered with an error status.
    #[error("unexpected status {0}")]
    Status(u16),
    /// The answer is not a server list.
    #[error(transparent)]
    Content(#[from] serde_json::Error),
}

/// The cached server list.
pub struct ServerList {
    platform: PlatformSection,
    last: RefCell<Option<(Instant, Vec<ListedServer>)>>,
    /// The last failure of the platform, so that it is logged once.
    failure: RefCell<String>,
}

impl ServerList {
    /// Creates an empty cache.
    pub fn new(platform: &PlatformSection) -> Self {
        Self {
            platform: platform.clone(),
            last: RefCell::default(),
            failure: RefCell::default(),
        }
    }

    /// Returns the servers on the last list, of any age; none before the first one.
    pub fn last(&self) -> Vec<Server> {
        let last = self.last.borrow();
        let servers = last.iter().flat_map(|(_, list)| list);
        servers.cloned().map(Server::from).collect()
    }

    /// Returns the list, fetching it if the cached one is older than `max_age`.
    ///
    /// # Errors
    /// Returns an error if a new list could not be fetched.
    pub async fn read(&self, max_age: Duration) -> Result<Vec<ListedServer>, ListError> {
        if let Some((at, list)) = self.last.borrow().as_ref()
            && at.elapsed() < max_age
        {
            return Ok(list.clone());
        }
        let requested = Instant::now();
        let answer = self.fetch_list().await;
        match &answer {
            Ok(list) => {
                if !self.failure.take().is_empty() {
                    tracing::info!(target: "coordinator", "the platform's server list is available again");
                }
                self.last.replace(Some((requested, list.clone())));
            }
            Err(error) => self.log_failure(error),
        }
        answer
    }

    async fn fetch_list(&self) -> Result<Vec<ListedServer>, ListError> {
        let (address, time_limit) = (self.platform.address, self.platform.timeout.0);
        match fetch(address, "GET", "/servers", None, time_limit).await? {
            (200, list) => Ok(serde_json::from_value(list)?),
            (status, _) => Err(ListError::Status(status)),
        }
    }

    fn log_failure(&self, error: &ListError) {
        let failure = error.to_string();
        if *self.failure.borrow() != failure {
            tracing::warn!(target: "coordinator", "cannot fetch the server list from the platform at {}: {failure}; using the last one", self.platform.address);
        }
        self.failure.replace(failure);
    }
}
