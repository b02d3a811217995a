//! What a sidecar restores after a crash or a loss of power (docs/snapshot.md): what is stored,
//! what of it is believed and up to which age, and the one thread that writes it. Nothing here
//! stands in the way of a request.
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
pub use reader::{Contents, contents};
pub use section::SnapshotSection;
pub use snapshot::{Changes, Entry, IncarnationRecord, List, Process, Processes, Snapshot};
pub use snapshot_store::{Found, QuarantinedFile, SnapshotStore};
pub use validation::{Bounds, Implausible, SKEW, ValidSnapshot, check_plausible, validate};
pub use write_queue::Counts;
pub use writer::{Begun, Writer};

/// Microseconds of Unix time, or a duration.
pub type Micros = i64;
