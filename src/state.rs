//! What the decision module remembers: plain data without decisions, see `choice.rs`. Changes with what one
//! instance holds as a whole; each thing that it holds is a file beside it.

mod endpoint;
mod fleet;
mod request;
mod timers;

pub use crate::api::*;
pub use crate::log::*;
pub use endpoint::*;
pub use fleet::*;
pub use request::*;
pub use timers::*;

use std::collections::{BTreeMap, BTreeSet};

/// The decisions of one sidecar. Feed it events in order; it answers with actions.
pub struct Balancer {
    pub(crate) set: Settings,
    /// Time in which what is learnt fades to about a third, unless more is heard.
    pub(crate) memory: Micros,
    pub(crate) rng: fastrand::Rng,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Requests waiting for a bulwark: first tries inside their share come first, then by expiry.
    pub(crate) queue: BTreeSet<(bool, Micros, RequestId)>,
    pub(crate) timers: Timers,
    pub(crate) fleet: Fleet,
    pub(crate) log: Log,
    /// What is shared with other instances; nothing unless it was said.
    pub(crate) sharing: Sharing,
}
