//! The core of a coordinator, without I/O and clock: the replicated log, the maintenance state
//! machine, and the work of the leader.

mod coordinator;
mod interface;
mod leadership;
mod leadership_state;
mod replica;

pub use coordinator::CoordinatorCore;
pub use interface::{Input, Now, Order, Output, Reply, Settings, View};
pub use replica::Replica;
