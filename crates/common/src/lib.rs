//! What every program of the project shares: conventions of the command line, product
//! configuration, structured logs and metrics. Knows no subsystem: sections of the configuration
//! belong to whom they configure.
#![forbid(unsafe_code)]
#![warn(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

pub mod cli;
pub mod config;
pub mod logging;
pub mod metering;
pub mod pages;
pub mod process;
pub mod stderr;
pub mod units;
