//! A coordinator: one replica of the log on which maintenance windows are decided.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod core;
pub mod observations;
pub mod replicated_log;
