//! The ordinary path: turns, retries with waits, time-outs, breaker and bulkhead.

#[path = "../common/mod.rs"]
mod common;

mod guards;
mod retries;
mod round_robin;
mod settings;
