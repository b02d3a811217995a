//! One steward without I/O and clock: agreement, the windows that it decides on, and what its leader has to do. Changes
//! with which parts of it its host may name.

mod contract;
mod lead;
mod replica;
mod steward;

pub use contract::{Input, Now, Order, Output, Reply, Settings, View};
pub use replica::Replica;
pub use steward::Steward;
