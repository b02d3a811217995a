#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

pub mod api;
mod balancer;
#[cfg(feature = "settings")]
pub mod settings;
#[cfg(feature = "simulator")]
pub mod simulator_wire;

pub use api::*;
pub use balancer::Balancer;
