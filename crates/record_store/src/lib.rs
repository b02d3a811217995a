//! Checked records on disk, in tables that are committed together, and numbers that are never
//! reused.
//!
//! Every record carries a format version, its owner's name and a checksum over all of it and its
//! place. All are checked when a store is opened: a store of which one record fails is quarantined
//! whole under another name, never deleted and never half used.
#![forbid(unsafe_code)]
#![warn(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

pub mod disk;
mod file;
mod numbers;
mod record;
mod store;

pub use file::{Opened, Quarantined, open, quarantine};
pub use numbers::ReservedNumbers;
pub use record::{Corruption, FORMAT, MAX_OWNER_BYTES};
pub use store::{Change, OpenError, Store, StoreError};
