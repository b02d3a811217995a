//! The previous schema, as far as it differs from the current one, and its conversion. Replaced
//! with the next change of the schema.

use crate::Micros;
use crate::snapshot;
use serde::Deserialize;

/// The version of the previous schema.
pub(crate) const SCHEMA: u16 = 1;

/// See [`snapshot::Processes`].
#[derive(Deserialize)]
pub(crate) struct Processes {
    seen: Micros,
    listed: u32,
    all: Vec<Process>,
}

/// See [`snapshot::Process`]. The number of openings was not stored.
#[derive(Deserialize)]
struct Process {
    name: String,
    started: Option<Micros>,
    seen: Micros,
    open: bool,
    slow: f64,
    cap: f64,
}

impl From<Processes> for snapshot::Processes {
    fn from(before: Processes) -> Self {
        let all = before.all.into_iter().map(|p| {
            let Process {
                name,
                started,
                seen,
                open,
                slow,
                cap,
            } = p;
            snapshot::Process {
                name,
                started,
                seen,
                open,
                openings: u32::from(open),
                slow,
                cap,
            }
        });
        Self {
            seen: before.seen,
            listed: before.listed,
            all: all.collect(),
        }
    }
}
