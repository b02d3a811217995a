//! The core of a coordinator without I/O and clock: the replicated log, the maintenance windows,
//! and the work of its leader.

mod coordinator;
mod interface;
mod leadership;
mod leadership_state;
mod replica;

pub use coordinator::CoordinatorCore;
pub use interface::{Input, Now, Order, Output, Reply, Settings, View};
pub use replica::Replica;
