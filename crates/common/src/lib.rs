//! Functions shared by all programs of the project: command line conventions, product
//! configuration, structured logs and metrics. Independent of the subsystems, which define their
//! own sections of the configuration.
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
