//! The product parts of the sidecar as seen from outside: command line, product configuration, logs
//! and metrics.

#[path = "../stubs/mod.rs"]
mod stubs;

mod configuration;
mod gossip;
mod harness;
mod logs;
mod metrics;
mod snapshot;
