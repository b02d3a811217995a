//! What a sidecar restores after a crash or a loss of power (docs/snapshot.md): what is stored,
//! what of it is believed and up to which age, and the one thread that writes it. Nothing here
//! stands in the way of a request.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod belief;
mod desk;
mod directory;
mod form;
mod form_before;
mod keeper;
mod known;
mod reader;
mod section;
mod writer;

pub use belief::{Believed, Bounds, SKEW, believe, plausible};
pub use desk::Counts;
pub use directory::{Directory, FileKind, InUse, Place, Unusable};
pub use form::{SCHEMA, Unread};
pub use keeper::{Aside, Found, Keeper};
pub use known::{Changes, Entry, Known, Life, List, Process, Processes};
pub use reader::{Contents, contents};
pub use section::StateSection;
pub use writer::{Begun, Writer};

/// Microseconds of Unix time, or a duration.
pub type Micros = i64;
