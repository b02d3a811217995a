//! The platform's list of servers, asked for over HTTP and kept until it is too old.

use crate::config::PlatformSection;
use crate::fetch::{FetchError, fetch};
use load_balancer_maintenance::Server;
use serde::{Deserialize, Deserializer};
use std::cell::RefCell;
use std::time::{Duration, Instant};
use thiserror::Error;

/// A server as the platform lists it.
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
    /// Requests that run there; null where the platform can't tell yet, left out where it never
    /// can.
    #[serde(default, deserialize_with = "present")]
    in_flight: Option<Option<u64>>,
}

impl ListedServer {
    /// Whether it drains and nothing runs there, as far as the platform can ever tell.
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

fn present<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Option<u64>>, D::Error> {
    Option::deserialize(from).map(Some)
}

/// Why the platform gave no list.
#[derive(Debug, Error)]
pub enum ListError {
    /// It did not answer.
    #[error(transparent)]
    Fetch(#[from] FetchError),
    /// It refused.
    #[error("it answers {0}")]
    Status(u16),
    /// Its answer is no list of servers.
    #[error(transparent)]
    Content(#[from] serde_json::Error),
}

/// The last list, and how to get a newer one.
pub struct ServerList {
    platform: PlatformSection,
    last: RefCell<Option<(Instant, Vec<ListedServer>)>>,
    /// The platform's last failure, so that it is logged once.
    failure: RefCell<String>,
}

impl ServerList {
    /// A list that was never read.
    pub fn new(platform: &PlatformSection) -> Self {
        Self {
            platform: platform.clone(),
            last: RefCell::default(),
            failure: RefCell::default(),
        }
    }

    /// The servers of the last list, of whatever age; none before the first one.
    pub fn last(&self) -> Vec<Server> {
        let last = self.last.borrow();
        let servers = last.iter().flat_map(|(_, list)| list);
        servers.cloned().map(Server::from).collect()
    }

    /// The list, at most so old.
    ///
    /// # Errors
    /// The last one is older, and the platform gives no new one.
    pub async fn read(&self, max_age: Duration) -> Result<Vec<ListedServer>, ListError> {
        if let Some((at, list)) = self.last.borrow().as_ref()
            && at.elapsed() < max_age
        {
            return Ok(list.clone());
        }
        let asked = Instant::now();
        let answer = self.fetch().await;
        match &answer {
            Ok(list) => {
                if !self.failure.take().is_empty() {
                    tracing::info!(target: "coordinator", "the platform lists its servers again");
                }
                self.last.replace(Some((asked, list.clone())));
            }
            Err(error) => self.log(error),
        }
        answer
    }

    async fn fetch(&self) -> Result<Vec<ListedServer>, ListError> {
        let (address, within) = (self.platform.address, self.platform.timeout.0);
        match fetch(address, "GET", "/servers", None, within).await? {
            (200, list) => Ok(serde_json::from_value(list)?),
            (status, _) => Err(ListError::Status(status)),
        }
    }

    fn log(&self, error: &ListError) {
        let failure = error.to_string();
        if *self.failure.borrow() != failure {
            tracing::warn!(target: "coordinator", "no list from the platform {}: {failure}", self.platform.address);
        }
        self.failure.replace(failure);
    }
}
