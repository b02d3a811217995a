//! The state that a sidecar restores after a crash or a power loss (docs/snapshot.md): what is
//! stored, which of it is valid and up to which age, and the thread that writes it. Requests never
//! wait for it.
#![forbid(unsafe_code)]
#![warn(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

mod directory;
mod encoding;
mod previous_encoding;
mod reader;
mod section;
mod snapshot;
mod snapshot_store;
mod validation;
mod write_queue;
mod writer;

pub use directory::{Directory, DirectoryError, FileKind, InUse, StateStorage};
pub use encoding::{ReadError, SCHEMA};
pub use reader::{Contents, read_directory};
pub use section::SnapshotSection;
pub use snapshot::{Changes, Entry, IncarnationRecord, List, Process, Processes, Snapshot};
pub use snapshot_store::{Found, QuarantinedFile, SnapshotStore};
pub use validation::{
    Implausible, MAX_CLOCK_SKEW_US, StalenessBounds, ValidSnapshot, check_plausible, validate,
};
pub use write_queue::Counts;
pub use writer::{StartResult, Writer};

/// Microseconds of Unix time, or a duration.
pub type Micros = i64;
