//! A coordinator: one replica of the log that decides on maintenance windows.
#![forbid(unsafe_code)]
#![warn(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

pub mod core;
pub mod observations;
pub mod replicated_log;
