//! Today's coordinator interface, under the names that `pairs/recorder/coordinator.rs` uses.

pub use load_balancer_coordinator::agreement::{
    Admission, Node, Options, Replicated, Shelf, decode, encode,
};
pub use load_balancer_record_store::open;
