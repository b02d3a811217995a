//! The endpoint list as discovery provides it.

use super::ids::*;

/// State of an endpoint according to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Accepts requests.
    Ready,
    /// Finishes its requests and receives no new ones.
    Draining,
    /// No longer listed.
    Removed,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its zone.
    pub zone: Option<ZoneId>,
    /// Its cell: the endpoints that share their idempotency keys.
    pub cell: u64,
    /// Its machine type: observed latency applies to endpoints of the same kind until more is
    /// known.
    pub kind: Option<KindId>,
    /// Its state.
    pub status: EndpointStatus,
    /// Its size; see [`WeightSource`](crate::WeightSource).
    pub size: f64,
    /// When its process started; `None` if long ago.
    pub started: Option<Timestamp>,
    /// A hash of its name that is the same on every instance; used only by key affinity.
    pub alias: u64,
}

/// An update of the endpoint list.
#[derive(Clone, Debug)]
pub enum ListUpdate {
    /// Changed entries only.
    Delta(Vec<ListedEndpoint>),
    /// The whole list; endpoints that are missing were removed.
    Full(Vec<ListedEndpoint>),
    /// The whole list from before a restart, possibly outdated.
    Cached(Vec<ListedEndpoint>),
    /// A call to discovery failed or the subscription broke; the current list stays in use.
    Failed,
}
