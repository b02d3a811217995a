//! The form before the one that is written, as far as it was another, and what becomes of it.
//! Changes when the form does: this one then goes.

use crate::Micros;
use crate::snapshot;
use serde::Deserialize;

/// Its version.
pub(crate) const SCHEMA: u16 = 1;

/// See [`known::Processes`].
#[derive(Deserialize)]
pub(crate) struct Processes {
    seen: Micros,
    listed: u32,
    all: Vec<Process>,
}

/// See [`known::Process`]. How often a circuit had opened was not kept.
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
