//! The core of a coordinator without I/O and clock: the replicated log, the maintenance windows,
//! and the work of its leader.

mod contract;
mod lead;
mod replica;
mod steward;

pub use contract::{Input, Now, Order, Output, Reply, Settings, View};
pub use replica::Replica;
pub use steward::Steward;
