//! Checksummed records on disk, in collections that are committed together, and numbers that are
//! never reused.
//!
//! Every record has a format version, its owner's name and a checksum over its contents and its
//! key. All records are checked when a store is opened: a store with one invalid record is
//! quarantined as a whole under another name, and never deleted or partly used.
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
